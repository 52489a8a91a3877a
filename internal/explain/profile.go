package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxAsked is the number of servers from which on a missing part counts in the last column.
const maxAsked = 2

// Profile tells, by route, how long queries over shards took, what their answers lack and
// what was spent on extra attempts.
type Profile struct {
	byRoute map[string]*routeProfile
}

// routeProfile sums up the queries of one route.
type routeProfile struct {
	// elapsed are the times of the queries, in milliseconds.
	elapsed []float64
	// lacking counts the answers that lack parts, missing the parts.
	lacking, missing int
	// hedges, retries and denied count extra attempts, and those for which no budget was left.
	hedges, retries, denied float64
	// asked counts missing parts by the number of servers that were asked for them.
	asked [maxAsked + 1]int
}

// ProfileOf reads the lines of queries over shards.
func ProfileOf(lines []Line) Profile {
	p := Profile{byRoute: map[string]*routeProfile{}}
	for _, l := range lines {
		if _, gathered := l.Fields["parts"]; l.Message != "request" || !gathered {
			continue
		}
		route := l.field("route")
		if p.byRoute[route] == nil {
			p.byRoute[route] = &routeProfile{}
		}
		p.byRoute[route].add(l)
	}
	return p
}

func (r *routeProfile) add(l Line) {
	r.elapsed = append(r.elapsed, l.number("elapsed"))
	r.hedges += l.number("hedges")
	r.retries += l.number("retries")
	r.denied += l.number("denied")
	missing := int(l.number("missing"))
	if missing > 0 {
		r.lacking++
		r.missing += missing
	}
	shards, _ := l.Fields["missing_shards"].([]any)
	for _, s := range shards {
		text, _ := s.(string)
		r.asked[min(askedOf(text), maxAsked)]++
	}
}

// askedOf returns how many servers were asked for a shard, from its text in a line.
func askedOf(text string) int {
	_, servers, _ := strings.Cut(text, ": ")
	if strings.HasPrefix(servers, "not asked") {
		return 0
	}
	return len(strings.Fields(servers))
}

// Write prints a row for each route.
func (p Profile) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "queries\troute\tms p50\tp90\tp99\tlack parts\tparts lacking\tnot asked\tasked once\tmore\thedges\tretries\tdenied") // Errors come with Flush.
	for _, route := range slices.Sorted(maps.Keys(p.byRoute)) {
		r := p.byRoute[route]
		slices.Sort(r.elapsed)
		n := float64(len(r.elapsed))
		_, _ = fmt.Fprintf(t, "%d\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", len(r.elapsed), route,
			at(r.elapsed, 0.5), at(r.elapsed, 0.9), at(r.elapsed, 0.99), float64(r.lacking)/n, float64(r.missing)/n,
			r.asked[0], r.asked[1], r.asked[2], r.hedges/n, r.retries/n, r.denied/n)
	}
	return t.Flush()
}

// at returns the value at a share of sorted values.
func at(sorted []float64, share float64) float64 {
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

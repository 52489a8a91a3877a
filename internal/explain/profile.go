package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// lastAskedColumn is the number of asked servers in the last column, which also counts more.
const lastAskedColumn = 2

// Profile summarizes queries over shards by route: their latency, the missing parts of their
// answers and their extra attempts.
type Profile struct {
	byRoute map[string]*routeProfile
}

// routeProfile holds the totals of the queries of one route.
type routeProfile struct {
	// elapsed holds the durations of the queries, in milliseconds.
	elapsed []float64
	// incomplete counts the answers with missing parts, missing the missing parts.
	incomplete, missing int
	// hedges and retries count extra attempts, denied those for which no budget was left.
	hedges, retries, denied float64
	// asked counts the missing parts by the number of servers that were asked for them.
	asked [lastAskedColumn + 1]int
}

// NewProfile builds a profile from the lines of queries over shards; others are ignored.
func NewProfile(lines []Line) Profile {
	p := Profile{byRoute: map[string]*routeProfile{}}
	for _, l := range lines {
		if _, gathered := l.Fields["parts"]; l.Message != "request" || !gathered {
			continue
		}
		route := l.textField("route")
		if p.byRoute[route] == nil {
			p.byRoute[route] = &routeProfile{}
		}
		p.byRoute[route].add(l)
	}
	return p
}

func (r *routeProfile) add(l Line) {
	r.elapsed = append(r.elapsed, l.numberField("elapsed"))
	r.hedges += l.numberField("hedges")
	r.retries += l.numberField("retries")
	r.denied += l.numberField("denied")
	missing := int(l.numberField("missing"))
	if missing > 0 {
		r.incomplete++
		r.missing += missing
	}
	shards, _ := l.Fields["missing_shards"].([]any)
	for _, s := range shards {
		text, _ := s.(string)
		r.asked[min(askedServers(text), lastAskedColumn)]++
	}
}

// askedServers returns how many servers were asked for a missing shard, from its text in
// missing_shards: "SHARD: SERVER...", or "SHARD: not asked...".
func askedServers(text string) int {
	_, servers, _ := strings.Cut(text, ": ")
	if strings.HasPrefix(servers, "not asked") {
		return 0
	}
	return len(strings.Fields(servers))
}

// Write prints a table with a row for each route. Missing parts and extra attempts are
// means per query; the columns by number of servers asked are totals.
func (p Profile) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "queries\troute\tms p50\tp90\tp99\tlack parts\tparts lacking\tnot asked\tasked once\tmore\thedges\tretries\tdenied") // Flush returns any write error.
	for _, route := range slices.Sorted(maps.Keys(p.byRoute)) {
		r := p.byRoute[route]
		slices.Sort(r.elapsed)
		n := float64(len(r.elapsed))
		_, _ = fmt.Fprintf(t, "%d\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", len(r.elapsed), route,
			quantile(r.elapsed, 0.5), quantile(r.elapsed, 0.9), quantile(r.elapsed, 0.99), float64(r.incomplete)/n, float64(r.missing)/n,
			r.asked[0], r.asked[1], r.asked[2], r.hedges/n, r.retries/n, r.denied/n)
	}
	return t.Flush()
}

// quantile returns the value at quantile q (0 to 1) of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

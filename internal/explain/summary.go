package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// summarySpan is the length of the spans of time of a summary.
const summarySpan = 2 * time.Second

// fate is what became of a request, as far as its caller is concerned.
type fate string

const (
	fateServed  fate = "in time"
	fatePartial fate = "partial"
	fateLate    fate = "late"
	fateRefused fate = "refused"
	fateFailed  fate = "failed"
	fateLeft    fate = "caller left"
)

// fates are in the order in which a summary shows them.
var fates = []fate{fateServed, fatePartial, fateLate, fateRefused, fateFailed, fateLeft}

// Summary counts what became of the requests in the logs of several hosts, by route
// and cause and by time. Hosts bound their lines, so that a day under heavy load is
// counted in part; the metrics have all of it.
type Summary struct {
	byCause map[causeKey]int
	byTime  map[time.Time]map[fate]int
}

// causeKey is a row of a summary.
type causeKey struct {
	route string
	rank  int
	fate  fate
	cause string
}

// Summarize reads the lines of requests.
func Summarize(lines []Line) Summary {
	s := Summary{byCause: map[causeKey]int{}, byTime: map[time.Time]map[fate]int{}}
	for _, l := range lines {
		if l.Message != "request" {
			continue
		}
		f := l.fate()
		s.byCause[causeKey{l.field("route"), int(l.number("rank")), f, l.field("cause")}]++
		span := l.Time.Truncate(summarySpan)
		if s.byTime[span] == nil {
			s.byTime[span] = map[fate]int{}
		}
		s.byTime[span][f]++
	}
	return s
}

// field returns a field that is a text, or an empty one.
func (l Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// number returns a field that is a number, or 0.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// fate works out what became of the request of a line.
func (l Line) fate() fate {
	elapsed, objective := l.number("elapsed"), l.number("objective")
	missing, status := l.number("missing"), l.number("status")
	switch outcome := l.field("outcome"); {
	case outcome == "not_run":
		return fateRefused
	case outcome == "caller_left":
		return fateLeft
	case outcome == "forwarded" && status >= 300 || outcome != "forwarded" && outcome != "gathered":
		return fateFailed
	case objective > 0 && elapsed > objective:
		return fateLate
	case missing > 0:
		return fatePartial
	}
	return fateServed
}

// Write prints a table of causes, the most frequent first, and one of times.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "requests\troute\trank\twhat became of them\tcause") // Errors come with Flush.
	keys := slices.SortedFunc(maps.Keys(s.byCause), func(a, b causeKey) int {
		return cmp.Or(cmp.Compare(s.byCause[b], s.byCause[a]), cmp.Compare(a.route, b.route), cmp.Compare(a.fate, b.fate), cmp.Compare(a.cause, b.cause))
	})
	for _, k := range keys {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\n", s.byCause[k], k.route, k.rank, k.fate, k.cause)
	}
	_, _ = fmt.Fprint(t, "\nfrom")
	for _, f := range fates {
		_, _ = fmt.Fprintf(t, "\t%s", f)
	}
	_, _ = fmt.Fprintln(t)
	for _, span := range slices.SortedFunc(maps.Keys(s.byTime), time.Time.Compare) {
		_, _ = fmt.Fprint(t, span.Format("15:04:05"))
		for _, f := range fates {
			_, _ = fmt.Fprintf(t, "\t%d", s.byTime[span][f])
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

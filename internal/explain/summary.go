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

// summaryInterval is the length of the intervals in the table by time.
const summaryInterval = 2 * time.Second

// maxTeams is the maximum number of teams in the table by team.
const maxTeams = 20

// result classifies the outcome of a request from its caller's point of view.
type result string

const (
	resultInTime     result = "in time"
	resultPartial    result = "partial"
	resultLate       result = "late"
	resultRefused    result = "refused"
	resultFailed     result = "failed"
	resultCallerLeft result = "caller left"
)

// results lists all results in the order of the table columns.
var results = []result{resultInTime, resultPartial, resultLate, resultRefused, resultFailed, resultCallerLeft}

// Summary counts the requests in the logs of several hosts by result, for each route
// and cause, for each interval and for each team. Hosts limit their log rate, so counts under heavy
// load are too low; the metrics are complete.
type Summary struct {
	byCause map[causeKey]int
	byTime  map[time.Time]map[result]int
	// byTeam counts requests without a team under the empty name.
	byTeam map[string]map[result]int
	// faults counts the lines about panics, answers that were not written and errors of HTTP servers.
	faults map[fault]int
}

// fault identifies a row of the table of faults.
type fault struct{ name, cause string }

// Messages of the lines about faults.
const (
	panicMessage      = "recovered from a panic: the operation fails, the gateway continues"
	unansweredMessage = "answer could not be written"
	httpErrorMessage  = "error of an HTTP server"
)

// fault returns the fault that a line tells of, if any.
func (l Line) fault() (f fault, ok bool) {
	switch l.Message {
	case panicMessage:
		f = fault{"panic", l.textField("work")}
		if answered, told := l.Fields["answered"].(bool); told && !answered {
			f.name = "response cut by a panic"
		}
	case unansweredMessage:
		f = fault{"answer not written", l.textField("cause")}
	case httpErrorMessage:
		f = fault{httpErrorMessage, ""}
	default:
		return fault{}, false
	}
	return f, true
}

// causeKey identifies a row of the table by cause.
type causeKey struct {
	route  string
	rank   int
	result result
	cause  string
}

// Summarize builds a summary from the lines of requests.
func Summarize(lines []Line) Summary {
	s := Summary{byCause: map[causeKey]int{}, byTime: map[time.Time]map[result]int{}, byTeam: map[string]map[result]int{}, faults: map[fault]int{}}
	for _, l := range lines {
		if f, ok := l.fault(); ok {
			s.faults[f]++
		}
		if l.Message != "request" {
			continue
		}
		f := l.result()
		s.byCause[causeKey{l.textField("route"), int(l.numberField("rank")), f, l.textField("cause")}]++
		countResult(s.byTime, l.Time.Truncate(summaryInterval), f)
		countResult(s.byTeam, l.textField("team"), f)
	}
	return s
}

func countResult[K comparable](counts map[K]map[result]int, key K, r result) {
	if counts[key] == nil {
		counts[key] = map[result]int{}
	}
	counts[key][r]++
}

// textField returns a string field, or "" if the line has no such field.
func (l Line) textField(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// numberField returns a numeric field, or 0 if the line has no such field.
func (l Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// result classifies the request of a line.
func (l Line) result() result {
	elapsed, objective := l.numberField("elapsed"), l.numberField("objective")
	missing, status := l.numberField("missing"), l.numberField("status")
	switch outcome := l.textField("outcome"); {
	case outcome == "not_run" || outcome == "over_limit" || outcome == "unauthorized":
		return resultRefused
	case outcome == "caller_left":
		return resultCallerLeft
	case outcome == "forwarded" && status >= 300 || outcome != "forwarded" && outcome != "gathered":
		return resultFailed
	case objective > 0 && elapsed > objective:
		return resultLate
	case missing > 0:
		return resultPartial
	}
	return resultInTime
}

// Write prints a table by cause, the most frequent first, a table by time, if there are teams, a table
// of the busiest teams, and, if there are faults, a table of these.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "requests\troute\trank\twhat became of them\tcause") // Flush returns any write error.
	keys := slices.SortedFunc(maps.Keys(s.byCause), func(a, b causeKey) int {
		return cmp.Or(cmp.Compare(s.byCause[b], s.byCause[a]), cmp.Compare(a.route, b.route), cmp.Compare(a.result, b.result), cmp.Compare(a.cause, b.cause))
	})
	for _, k := range keys {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\n", s.byCause[k], k.route, k.rank, k.result, k.cause)
	}
	writeHeading(t, "from")
	for _, interval := range slices.SortedFunc(maps.Keys(s.byTime), time.Time.Compare) {
		writeRow(t, interval.Format("15:04:05"), s.byTime[interval])
	}
	s.writeTeams(t)
	s.writeFaults(t)
	return t.Flush()
}

// writeFaults writes the table of faults, the most frequent first. It writes nothing if there are none.
func (s Summary) writeFaults(w io.Writer) {
	if len(s.faults) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nlines\tfault\tcause")
	for _, f := range slices.SortedFunc(maps.Keys(s.faults), func(a, b fault) int {
		return cmp.Or(cmp.Compare(s.faults[b], s.faults[a]), cmp.Compare(a.name, b.name), cmp.Compare(a.cause, b.cause))
	}) {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\n", s.faults[f], f.name, f.cause)
	}
}

// writeTeams writes the table by team, beginning with the requests without a team. It writes
// nothing if no request has a team.
func (s Summary) writeTeams(w io.Writer) {
	teams := slices.SortedFunc(maps.Keys(s.byTeam), func(a, b string) int {
		if a == "" || b == "" {
			return cmp.Compare(a, b)
		}
		return cmp.Or(cmp.Compare(total(s.byTeam[b]), total(s.byTeam[a])), cmp.Compare(a, b))
	})
	if len(teams) == 0 || len(teams) == 1 && teams[0] == "" {
		return
	}
	writeHeading(w, "team")
	for _, name := range teams[:min(len(teams), maxTeams)] {
		writeRow(w, cmp.Or(name, "(none)"), s.byTeam[name])
	}
	if left := len(teams) - maxTeams; left > 0 {
		_, _ = fmt.Fprintf(w, "%d more teams\n", left)
	}
}

func total(counts map[result]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

func writeHeading(w io.Writer, first string) {
	_, _ = fmt.Fprint(w, "\n"+first)
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "\t%s", r)
	}
	_, _ = fmt.Fprintln(w)
}

func writeRow(w io.Writer, first string, counts map[result]int) {
	_, _ = fmt.Fprint(w, first)
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "\t%d", counts[r])
	}
	_, _ = fmt.Fprintln(w)
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a table with a row for each class, and the totals of the
// leaves.
func (r *Report) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tsent\tanswered\tin time\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tnot run\tunknown\tcut\treasons")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.5f\t%d\t%d\t%d\t%s\n", c.Name, c.Sent, c.Answered,
			ratio(c.InTime, c.Sent), c.Quantile(50), c.Quantile(99), c.Quantile(99.9), c.Coverage(), c.NotRun, c.Unknown, c.NoReply, formatReasons(c.Reasons))
	}
	_ = t.Flush()
	fmt.Fprintf(w, "leaves: executed %d, shed %d, most in flight on one leaf %d, most connections to one leaf %d\n",
		r.Executed, r.Shed, r.MaxInFlight, r.MaxConnections)
}

// Mismatches describes the answers of all classes that failed CheckAnswer.
func (r *Report) Mismatches() []string {
	var mismatches []string
	for _, c := range r.Classes {
		mismatches = append(mismatches, c.Mismatches...)
	}
	return mismatches
}

// NoReply returns the number of requests that got no reply.
func (r *Report) NoReply() int {
	cut := 0
	for _, c := range r.Classes {
		cut += c.NoReply
	}
	return cut
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// formatReasons returns the counts as REASON=COUNT, sorted by reason.
func formatReasons(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

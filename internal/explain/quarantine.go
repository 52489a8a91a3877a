package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// crashMessage is the prefix of the message of a line about a server that crashed during a
	// request; standingMessage is the message of a change of quarantine standing.
	crashMessage    = "server ended with a request"
	standingMessage = "standing of a request under which servers ended has changed"
	// sameCrashWindow is the time within which lines about the crash of a server refer to the
	// same end.
	sameCrashWindow = 200 * time.Millisecond
)

// QuarantineSummary summarizes the requests during which servers crashed, by fingerprint: the
// servers that crashed, the quarantine standing, and the other requests that the servers' crashes
// affected.
type QuarantineSummary struct {
	reports map[string]*fingerprintReport
	// crashes holds the lines about crashed servers, by server.
	crashes map[string][]Line
}

// fingerprintReport holds what the logs contain about one fingerprint.
type fingerprintReport struct {
	fingerprint, request, standing string
	crashes                        int
	servers, hosts, requests       map[string]bool
	first, last                    time.Time
	// barredFirst and barredLast are the times at which the first and the last host barred it.
	barredFirst, barredLast time.Time
	barredBy                map[string]bool
	// refused counts the requests that were refused because the fingerprint is barred.
	refused int
	// collateral holds other requests that lost a server at the same crash.
	collateral map[string]bool
}

// NewQuarantineSummary builds a summary from the lines about requests during which servers crashed.
func NewQuarantineSummary(lines []Line) QuarantineSummary {
	q := QuarantineSummary{reports: map[string]*fingerprintReport{}, crashes: map[string][]Line{}}
	for _, l := range lines {
		fingerprint := l.textField("fingerprint")
		if fingerprint == "" {
			continue
		}
		switch {
		case strings.HasPrefix(l.Message, crashMessage):
			server := l.textField("server")
			q.crashes[server] = append(q.crashes[server], l)
			q.report(fingerprint).addCrash(l)
		case l.Message == standingMessage:
			q.report(fingerprint).addStandingChange(l)
		case l.Message == "request" && l.textField("cause") == "barred":
			q.report(fingerprint).refused++
		}
	}
	for _, crashes := range q.crashes {
		q.addCollateral(crashes)
	}
	return q
}

func (q QuarantineSummary) report(fingerprint string) *fingerprintReport {
	c := q.reports[fingerprint]
	if c == nil {
		c = &fingerprintReport{
			fingerprint: fingerprint, standing: "unknown", servers: map[string]bool{}, hosts: map[string]bool{},
			requests: map[string]bool{}, barredBy: map[string]bool{}, collateral: map[string]bool{},
		}
		q.reports[fingerprint] = c
	}
	return c
}

func (c *fingerprintReport) addCrash(l Line) {
	c.crashes++
	c.servers[l.textField("server")], c.hosts[l.Host], c.requests[l.Request] = true, true, true
	if c.first.IsZero() || l.Time.Before(c.first) {
		c.first = l.Time
	}
	if l.Time.After(c.last) {
		c.last = l.Time
	}
}

func (c *fingerprintReport) addStandingChange(l Line) {
	c.request, c.standing = l.textField("what"), l.textField("standing")
	if c.standing != "barred" {
		return
	}
	c.barredBy[l.Host] = true
	if c.barredFirst.IsZero() || l.Time.Before(c.barredFirst) {
		c.barredFirst = l.Time
	}
	if l.Time.After(c.barredLast) {
		c.barredLast = l.Time
	}
}

// addCollateral records, for each crash of a server, the requests with other fingerprints that
// lost the server at the same time. crashes are those of one server.
func (q QuarantineSummary) addCollateral(crashes []Line) {
	for _, crash := range crashes {
		for _, other := range crashes {
			gap := other.Time.Sub(crash.Time).Abs()
			if gap <= sameCrashWindow && other.textField("fingerprint") != crash.textField("fingerprint") {
				q.reports[crash.textField("fingerprint")].collateral[other.Request] = true
			}
		}
	}
}

// Write prints a table, the fingerprint with the most crashes first.
func (q QuarantineSummary) Write(w io.Writer) error {
	var sorted []*fingerprintReport
	for _, c := range q.reports {
		sorted = append(sorted, c)
	}
	slices.SortFunc(sorted, func(a, b *fingerprintReport) int {
		if a.crashes != b.crashes {
			return b.crashes - a.crashes
		}
		return strings.Compare(a.fingerprint, b.fingerprint)
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "fingerprint\tstanding\tservers ended\tattempts\tseen by\tfirst\tlast\tbarred (hosts)\trefused\tharmed beside\trequest")
	for _, c := range sorted {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", c.fingerprint, c.standing, len(c.servers), len(c.requests), len(c.hosts),
			formatClock(c.first), formatClock(c.last), c.barredTime(), c.refused, len(c.collateral), c.request)
	}
	return t.Flush()
}

// barredTime returns the times at which hosts barred the fingerprint, and the number of hosts.
func (c *fingerprintReport) barredTime() string {
	if c.barredFirst.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%s to %s (%d)", formatClock(c.barredFirst), formatClock(c.barredLast), len(c.barredBy))
}

func formatClock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}

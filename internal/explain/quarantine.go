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
	// messages of the lines about requests under which servers ended, without their ends.
	endedMessage    = "server ended with a request"
	standingMessage = "standing of a request under which servers ended has changed"
	// besideWithin is the time within which lines about the end of one server belong together.
	besideWithin = 200 * time.Millisecond
)

// Quarantine tells of each request under which servers ended, which it was, how many ended,
// where, since when it is turned away and who was harmed beside it.
type Quarantine struct {
	cases map[string]*contentCase
	// ends are the lines about ends, by server.
	ends map[string][]Line
}

// contentCase is what the logs tell of one fingerprint.
type contentCase struct {
	fingerprint, what, standing string
	ends                        int
	servers, hosts, requests    map[string]bool
	first, last                 time.Time
	// barredFirst and barredLast are when the first and the last host knew that it is barred.
	barredFirst, barredLast time.Time
	barredBy                map[string]bool
	refused                 int
	beside                  map[string]bool
}

// QuarantineOf reads the lines about requests under which servers ended.
func QuarantineOf(lines []Line) Quarantine {
	q := Quarantine{cases: map[string]*contentCase{}, ends: map[string][]Line{}}
	for _, l := range lines {
		fingerprint := l.field("fingerprint")
		if fingerprint == "" {
			continue
		}
		switch {
		case strings.HasPrefix(l.Message, endedMessage):
			server := l.field("server")
			q.ends[server] = append(q.ends[server], l)
			q.of(fingerprint).end(l)
		case l.Message == standingMessage:
			q.of(fingerprint).changed(l)
		case l.Message == "request" && l.field("cause") == "barred":
			q.of(fingerprint).refused++
		}
	}
	for _, ends := range q.ends {
		q.addBeside(ends)
	}
	return q
}

func (q Quarantine) of(fingerprint string) *contentCase {
	c := q.cases[fingerprint]
	if c == nil {
		c = &contentCase{
			fingerprint: fingerprint, standing: "not told", servers: map[string]bool{}, hosts: map[string]bool{},
			requests: map[string]bool{}, barredBy: map[string]bool{}, beside: map[string]bool{},
		}
		q.cases[fingerprint] = c
	}
	return c
}

func (c *contentCase) end(l Line) {
	c.ends++
	c.servers[l.field("server")], c.hosts[l.Host], c.requests[l.Request] = true, true, true
	if c.first.IsZero() || l.Time.Before(c.first) {
		c.first = l.Time
	}
	if l.Time.After(c.last) {
		c.last = l.Time
	}
}

func (c *contentCase) changed(l Line) {
	c.what, c.standing = l.field("what"), l.field("standing")
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

// addBeside notes, for each end of a server, the requests with other contents that lost it too.
func (q Quarantine) addBeside(ends []Line) {
	for _, end := range ends {
		for _, other := range ends {
			gap := other.Time.Sub(end.Time).Abs()
			if gap <= besideWithin && other.field("fingerprint") != end.field("fingerprint") {
				q.cases[end.field("fingerprint")].beside[other.Request] = true
			}
		}
	}
}

// Write prints a table, the request with the most ends first.
func (q Quarantine) Write(w io.Writer) error {
	var all []*contentCase
	for _, c := range q.cases {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *contentCase) int {
		if a.ends != b.ends {
			return b.ends - a.ends
		}
		return strings.Compare(a.fingerprint, b.fingerprint)
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "fingerprint\tstanding\tservers ended\tattempts\tseen by\tfirst\tlast\tbarred (hosts)\trefused\tharmed beside\trequest")
	for _, c := range all {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", c.fingerprint, c.standing, len(c.servers), len(c.requests), len(c.hosts),
			clock(c.first), clock(c.last), c.barredTime(), c.refused, len(c.beside), c.what)
	}
	return t.Flush()
}

func (c *contentCase) barredTime() string {
	if c.barredFirst.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%s to %s (%d)", clock(c.barredFirst), clock(c.barredLast), len(c.barredBy))
}

func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}

package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// LeastEnds is the number of servers that must have ended under a request before it is
	// barred: what the users allow.
	LeastEnds = 3
	// LeastTrials is the number of them that must have been sent the request alone. One is not
	// enough where two requests lost the same servers, go on trial at the same moment and meet
	// again at the next one.
	LeastTrials = 2
)

// Standing is what is to be done with a request.
type Standing int

const (
	// Clear: nothing is known against it.
	Clear Standing = iota
	// Suspect: servers ended under it. It is sent to one server alone before others.
	Suspect
	// Barred: it goes to no server.
	Barred
)

// String returns the name used in logs.
func (s Standing) String() string { return [...]string{"clear", "suspect", "barred"}[s] }

// Change is that of the standing of a request.
type Change struct {
	// Now is what is known of the request since.
	Now Summary
	// Before is its standing until then.
	Before Standing
}

// Summary is what all hosts saw of a request, for operators.
type Summary struct {
	Fingerprint Fingerprint
	Standing    Standing
	// Ended is the number of servers that ended under it.
	Ended int
	// Hosts are those that saw it.
	Hosts   []string
	Servers []string
	// Trials are those of the servers that ended on trial.
	Trials   []string
	Versions []string
	What     string
	At       int64
	// Claims is the number of trials that were claimed since it was barred.
	Claims int
	// ExplainedBy are barred requests to which ends of its servers are put down.
	ExplainedBy []Fingerprint
}

// history is what all hosts saw of one request.
type history struct {
	// records are by host.
	records map[string]Record
	// claims are the names of the trials that were claimed.
	claims map[string]bool
	// since is from when on something was known here, barredSince from when on it was barred;
	// zero where it is not.
	since, barredSince time.Time
	// told is when a record was last heard of.
	told time.Time
	// served is when it was heard that a server served it; zero after servedLife.
	served time.Time
	// total sums the records up, with the standing that follows from them alone.
	total Summary
	// standing is the one in force: without the ends that explainedBy stand in for.
	standing    Standing
	explainedBy []Fingerprint
}

func (c *history) sum(f Fingerprint) Summary {
	s := Summary{Fingerprint: f, Hosts: slices.Sorted(maps.Keys(c.records))}
	for _, host := range s.Hosts {
		r := c.records[host]
		s.Ended += r.Ended
		s.Servers = union(s.Servers, r.Servers)
		s.Versions = union(s.Versions, r.Versions)
		s.Trials = union(s.Trials, r.Trials)
		if r.At >= s.At {
			s.What, s.At = r.What, r.At
		}
	}
	s.Standing = standingOf(s.Servers, s.Trials)
	if !c.served.IsZero() {
		s.Standing = min(s.Standing, Suspect)
	}
	return s
}

func union(a, b []string) []string {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// standingOf returns the standing that follows from the servers that ended.
func standingOf(servers, trials []string) Standing {
	switch {
	case len(servers) >= LeastEnds && len(trials) >= LeastTrials:
		return Barred
	case len(servers) > 0:
		return Suspect
	}
	return Clear
}

// lost returns the servers that a summary names.
func (s Summary) lost() []string { return union(slices.Clone(s.Servers), s.Trials) }

// outweighs reports whether an end that two requests saw is put down to this one: hosts saw
// more ends under it. The end of one process counts once for each host that saw it.
func (s Summary) outweighs(other Summary) bool {
	if s.Ended != other.Ended {
		return s.Ended > other.Ended
	}
	return strings.Compare(s.Fingerprint.String(), other.Fingerprint.String()) < 0
}

func without(list, taken []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(taken, s) })
}

// reconsider sums a request up after something about it has changed. Whatever the reason was, an
// event, the time or room for another, what it changes in the standing of this request or any
// other is found here, and here alone.
func (b *Book) reconsider(f Fingerprint, now time.Time) {
	c := b.cases[f]
	before := c.total
	b.unlist(before)
	c.total = c.sum(f)
	b.list(c.total)
	switch {
	case c.total.Standing != Barred:
		c.barredSince = time.Time{}
	case c.barredSince.IsZero():
		c.barredSince = now
	}
	b.settle(f)
	b.settleExplained(before)
	b.settleExplained(c.total)
}

// drop forgets a request.
func (b *Book) drop(f Fingerprint) {
	c := b.cases[f]
	delete(b.cases, f)
	b.unlist(c.total)
	b.note(Summary{Fingerprint: f}, c.standing)
	b.settleExplained(c.total)
}

// settleExplained settles the requests whose ends one that is or was barred may stand in for.
func (b *Book) settleExplained(by Summary) {
	if by.Standing != Barred {
		return
	}
	for f := range b.sharing(by) {
		b.settle(f)
	}
}

// settle works out the standing of a request, and notes where that has changed.
func (b *Book) settle(f Fingerprint) {
	c := b.cases[f]
	before := c.standing
	c.standing, c.explainedBy = b.unexplained(c.total)
	b.note(b.Summary(f), before)
}

func (b *Book) note(s Summary, before Standing) {
	if s.Standing != before {
		b.changes = append(b.changes, Change{Now: s, Before: before})
	}
}

// unexplained returns the standing of a request by those ends of servers alone for which no
// other barred request stands in, and the requests that do. The end of one process has one cause,
// and every request that it ran saw it: a server on which two were on trial at the same moment,
// after one of them had ended others of both, would bar both.
func (b *Book) unexplained(s Summary) (Standing, []Fingerprint) {
	if s.Standing != Barred {
		return s.Standing, nil
	}
	var by []Fingerprint
	for f := range b.sharing(s) {
		other := b.cases[f].total
		if other.Standing == Barred && other.outweighs(s) {
			s.Servers, s.Trials = without(s.Servers, other.Servers), without(s.Trials, other.Servers)
			by = append(by, f)
		}
	}
	return max(standingOf(s.Servers, s.Trials), Suspect), by
}

// sharing returns the other requests that lost a server of this one.
func (b *Book) sharing(s Summary) map[Fingerprint]bool {
	found := map[Fingerprint]bool{}
	for _, server := range s.lost() {
		maps.Copy(found, b.lostBy[server])
	}
	delete(found, s.Fingerprint)
	return found
}

func (b *Book) list(s Summary) {
	for _, server := range s.lost() {
		if b.lostBy[server] == nil {
			b.lostBy[server] = map[Fingerprint]bool{}
		}
		b.lostBy[server][s.Fingerprint] = true
	}
}

func (b *Book) unlist(s Summary) {
	for _, server := range s.lost() {
		delete(b.lostBy[server], s.Fingerprint)
		if len(b.lostBy[server]) == 0 {
			delete(b.lostBy, server)
		}
	}
}

// Changes returns how standings have changed since this was last asked, in their order.
func (b *Book) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// Standing returns the standing of a request.
func (b *Book) Standing(f Fingerprint) Standing {
	if c := b.cases[f]; c != nil {
		return c.standing
	}
	return Clear
}

// Summary returns what is known of a request.
func (b *Book) Summary(f Fingerprint) Summary {
	c := b.cases[f]
	if c == nil {
		return Summary{Fingerprint: f}
	}
	s := c.total
	s.Standing, s.ExplainedBy, s.Claims = c.standing, c.explainedBy, len(c.claims)
	return s
}

// Summaries returns what is known of all requests, the barred ones first.
func (b *Book) Summaries() []Summary {
	all := make([]Summary, 0, len(b.cases))
	for f := range b.cases {
		all = append(all, b.Summary(f))
	}
	slices.SortFunc(all, func(a, b Summary) int {
		if a.Standing != b.Standing {
			return int(b.Standing - a.Standing)
		}
		return strings.Compare(a.Fingerprint.String(), b.Fingerprint.String())
	})
	return all
}

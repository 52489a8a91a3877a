package quarantine

import (
	"fmt"
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
	// MaxTrials is how often a barred request is tried again after a time. The users allow
	// three repeats in all; one more may be under way at another host when the request is
	// barred.
	MaxTrials = 2
	// FirstProbation is for how long a request is barred before its first trial, and
	// probationGrowth how many times longer each further one takes.
	FirstProbation  = 30 * time.Second
	probationGrowth = 10
	// suspicionLife is for how long a record counts of a request that is not barred: the time
	// in which a caller that tries again comes back, with room for an outage of the servers.
	suspicionLife = 2 * time.Minute
	// servedLife is for how long a request that a server served is not barred, whatever ends
	// under it: the time of an outage of servers for other reasons. Many attempts of a request
	// that many callers repeat are under way at once, so that each end of a server is seen by
	// some, and none of them is alone on its trial: without this 2 of 51 seeds of the soak
	// barred one that runs once only, beside others that ended the three servers of its service.
	servedLife = 30 * time.Second
	// barLife is for how long a bar counts.
	barLife = 24 * time.Hour
	// MaxCases bounds the requests of a Book. Each takes 2.7 KB here where two hosts saw twelve
	// servers end, and a key of the store for each host that saw it.
	MaxCases = 512
	// MaxNamed bounds the servers that a record names.
	MaxNamed = 4 * LeastEnds
	// MaxWhat bounds the description of a request for operators, in bytes.
	MaxWhat = 160
	// hostPart and trialPart tell the records of hosts and the claims of trials apart.
	hostPart, trialPart = "host/", "trial/"
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

// Record is what one host saw of a request.
type Record struct {
	// Servers are servers that ended under it, MaxNamed at most; Ended is the number of all.
	Servers []string
	Ended   int
	// Trials are those of them that ended on trial, MaxNamed at most.
	Trials []string
	// Versions are those of the servers that ended, MaxNamed at most.
	Versions []string
	// What describes the request to operators.
	What string
	// At is when the last server ended, in milliseconds of Unix time, for operators.
	At int64
	// Served tells that a server served it since.
	Served bool
}

// add takes another record of the same host into this one.
func (r *Record) add(more Record) {
	r.Servers = addBounded(r.Servers, more.Servers...)
	r.Trials = addBounded(r.Trials, more.Trials...)
	r.Versions = addBounded(r.Versions, more.Versions...)
	r.Ended += more.Ended
	r.What, r.At = more.What, more.At
}

// bounded returns a record with as much as one may hold.
func (r Record) bounded() Record {
	r.Servers, r.Trials, r.Versions = addBounded(nil, r.Servers...), addBounded(nil, r.Trials...), addBounded(nil, r.Versions...)
	r.What = r.What[:min(len(r.What), MaxWhat)]
	return r
}

func union(a, b []string) []string {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
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
	// served is when it was heard that a server served it; zero after servedLife.
	served time.Time
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
}

func (c *history) summary(f Fingerprint) Summary {
	s := Summary{Fingerprint: f, Claims: len(c.claims), Hosts: slices.Sorted(maps.Keys(c.records))}
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

// Book holds what is known of requests under which servers ended. It is not safe for
// concurrent use.
type Book struct {
	self  string
	cases map[Fingerprint]*history
}

// NewBook returns an empty book of a host.
func NewBook(self string) *Book { return &Book{self: self, cases: map[Fingerprint]*history{}} }

// Len returns the number of requests that the book knows.
func (b *Book) Len() int { return len(b.cases) }

// Standing returns the standing of a request.
func (b *Book) Standing(f Fingerprint) Standing { return b.Summary(f).Standing }

// Summary returns what is known of a request.
func (b *Book) Summary(f Fingerprint) Summary {
	c := b.cases[f]
	if c == nil {
		return Summary{Fingerprint: f}
	}
	s := c.summary(f)
	if s.Standing == Barred {
		s.Standing = b.unexplained(s)
	}
	return s
}

// unexplained returns the standing of a request by those ends of servers alone for which no
// other barred request stands in. The end of one process has one cause, and every request that
// it ran saw it: a server on which two were on trial at the same moment, after one of them had
// ended others of both, would bar both.
//
// Requests that lost none of its servers are passed over before they are summed up: this is
// asked with every attempt of a barred request. In a book full of barred ones that share no
// server it takes 0.1 ms here, 0.6 ms where each is summed up (BenchmarkStandingOfBarred).
func (b *Book) unexplained(s Summary) Standing {
	for f, c := range b.cases {
		if f == s.Fingerprint || c.barredSince.IsZero() || !c.lostOneOf(s) {
			continue
		}
		other := c.summary(f)
		if other.Standing == Barred && other.outweighs(s) {
			s.Servers, s.Trials = without(s.Servers, other.Servers), without(s.Trials, other.Servers)
		}
	}
	return max(standingOf(s.Servers, s.Trials), Suspect)
}

// lostOneOf reports whether a server that is named for the other request ended under this one.
func (c *history) lostOneOf(other Summary) bool {
	named := func(server string) bool {
		return slices.Contains(other.Servers, server) || slices.Contains(other.Trials, server)
	}
	for _, r := range c.records {
		if slices.ContainsFunc(r.Servers, named) {
			return true
		}
	}
	return false
}

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

// Note takes in what this host saw in one attempt, and returns its record as it is now.
func (b *Book) Note(f Fingerprint, seen Record, now time.Time) Record {
	r := b.caseOf(f, now).records[b.self]
	r.Servers, r.Trials, r.Versions = slices.Clone(r.Servers), slices.Clone(r.Trials), slices.Clone(r.Versions)
	r.add(seen)
	r.Served = false
	b.Learn(f, b.self, r, now)
	return r
}

// Learn takes in the record of a host, or one's own as the store has it, which may be older
// than what is known here.
func (b *Book) Learn(f Fingerprint, host string, r Record, now time.Time) {
	c := b.caseOf(f, now)
	if host == b.self && r.Ended < c.records[host].Ended {
		return
	}
	c.records[host] = r.bounded()
	if r.Served {
		c.served = now
	}
	if c.barredSince.IsZero() && c.summary(f).Standing == Barred {
		c.barredSince = now
	}
}

// LearnClaim takes in that a trial was claimed.
func (b *Book) LearnClaim(n Name, now time.Time) { b.caseOf(n.Fingerprint, now).claims[n.Claim] = true }

// Forget takes in that the record of a host, or a claim, is gone.
func (b *Book) Forget(n Name) {
	f := n.Fingerprint
	c := b.cases[f]
	if c == nil {
		return
	}
	delete(c.records, n.Host)
	delete(c.claims, n.Claim)
	if c.summary(f).Standing != Barred {
		c.barredSince = time.Time{}
	}
	if len(c.records)+len(c.claims) == 0 {
		delete(b.cases, f)
	}
}

// Clear takes in that a server served a request. It returns the record of this host, which says
// so, and the names of what others have on it, which is over. Where nothing is known of the
// request there is nothing to say.
func (b *Book) Clear(f Fingerprint, now time.Time) (own Record, over []string, known bool) {
	c := b.cases[f]
	if c == nil {
		return Record{}, nil, false
	}
	delete(c.records, b.self)
	over = names(f, c)
	own = Record{Served: true}
	*c = history{records: map[string]Record{b.self: own}, claims: map[string]bool{}, since: c.since, served: now}
	return own, over, true
}

func names(f Fingerprint, c *history) []string {
	var all []string
	for host := range c.records {
		all = append(all, RecordName(f, host))
	}
	for claim := range c.claims {
		all = append(all, claimName(f, claim))
	}
	slices.Sort(all)
	return all
}

// caseOf returns the case of a request, which may be a new one. Where the book is full the
// oldest that is not barred makes room, else the oldest.
func (b *Book) caseOf(f Fingerprint, now time.Time) *history {
	c := b.cases[f]
	if c == nil {
		if len(b.cases) >= MaxCases {
			delete(b.cases, b.oldest())
		}
		c = &history{records: map[string]Record{}, claims: map[string]bool{}, since: now}
		b.cases[f] = c
	}
	return c
}

// oldest returns the request that is to make room for another.
func (b *Book) oldest() Fingerprint {
	var found Fingerprint
	var best *history
	for f, c := range b.cases {
		if best == nil || c.goesBefore(best) {
			found, best = f, c
		}
	}
	return found
}

func (c *history) goesBefore(other *history) bool {
	if c.barredSince.IsZero() != other.barredSince.IsZero() {
		return c.barredSince.IsZero()
	}
	return c.since.Before(other.since)
}

// DueTrial returns the name under which a trial of a barred request has to be claimed, if one
// is due: its probation is over, or the servers in service have other versions than those
// that it ended, all of them. A host that has not heard of a claim fails to claim it again.
func (b *Book) DueTrial(f Fingerprint, inService []string, now time.Time) (name string, due bool) {
	c := b.cases[f]
	if c == nil || c.barredSince.IsZero() {
		return "", false
	}
	ended := c.summary(f).Versions
	old := func(version string) bool { return version == "" || slices.Contains(ended, version) }
	if len(ended) > 0 && len(inService) > 0 && !slices.ContainsFunc(inService, old) {
		claim := "version-" + strings.Join(slices.Sorted(slices.Values(inService)), "-")
		if !c.claims[claim] {
			return claimName(f, claim), true
		}
	}
	probation := FirstProbation
	for n := range MaxTrials {
		claim := fmt.Sprint("probation-", n+1)
		if !c.claims[claim] {
			return claimName(f, claim), now.Sub(c.barredSince) >= probation
		}
		probation *= probationGrowth
	}
	return "", false
}

// Expired returns the names of what is on requests whose time is over, and forgets them.
func (b *Book) Expired(now time.Time) []string {
	var over []string
	for f, c := range b.cases {
		if !c.served.IsZero() && now.Sub(c.served) < servedLife {
			continue
		}
		wasServed := !c.served.IsZero()
		c.served = time.Time{}
		if wasServed && b.Standing(f) == Clear {
			over = append(over, names(f, c)...)
			delete(b.cases, f)
			continue
		}
		barred := b.Standing(f) == Barred
		if barred && c.barredSince.IsZero() {
			c.barredSince = now // It was protected until now.
		}
		if !barred && now.Sub(c.since) >= suspicionLife || barred && now.Sub(c.barredSince) >= barLife {
			over = append(over, names(f, c)...)
			delete(b.cases, f)
		}
	}
	return over
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

// RecordName returns the name under which the store keeps what a host saw of a request.
func RecordName(f Fingerprint, host string) string { return f.String() + "/" + hostPart + host }

func claimName(f Fingerprint, claim string) string { return f.String() + "/" + trialPart + claim }

// Name is a name of the store taken apart: that of the record of a host, or of the claim of a
// trial. One of the two is empty.
type Name struct {
	Fingerprint Fingerprint
	Host, Claim string
}

// ParseName takes a name of the store apart.
func ParseName(name string) (Name, error) {
	text, part, _ := strings.Cut(name, "/")
	f, err := Parse(text)
	if err != nil {
		return Name{}, err
	}
	if host, ok := strings.CutPrefix(part, hostPart); ok && host != "" {
		return Name{Fingerprint: f, Host: host}, nil
	}
	if claim, ok := strings.CutPrefix(part, trialPart); ok && claim != "" {
		return Name{Fingerprint: f, Claim: claim}, nil
	}
	return Name{}, fmt.Errorf("%q names neither the record of a host nor a trial", name)
}

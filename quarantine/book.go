package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
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
	// some, and none of them is alone on its trial.
	servedLife = 30 * time.Second
	// verdictTime is for how long a host that has told of a request may have it on trial: two
	// calls at servers with queues, and the way of the news.
	verdictTime = 500 * time.Millisecond
	// barLife is for how long a bar counts.
	barLife = 24 * time.Hour
	// MaxCases bounds the requests of a Book. Each takes a few kilobytes here, and a key of the
	// store for each host that saw it.
	MaxCases = 512
)

// Book holds what is known of requests under which servers ended. It is not safe for
// concurrent use.
type Book struct {
	self  string
	cases map[Fingerprint]*history
	// lostBy has the requests under which a server ended, by server.
	lostBy map[string]map[Fingerprint]bool
	// changes are those of standings that were not asked for yet.
	changes []Change
}

// NewBook returns an empty book of a host.
func NewBook(self string) *Book {
	return &Book{self: self, cases: map[Fingerprint]*history{}, lostBy: map[string]map[Fingerprint]bool{}}
}

// Len returns the number of requests that the book knows.
func (b *Book) Len() int { return len(b.cases) }

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
	c.told = now
	if r.Served {
		c.served = now
	}
	b.reconsider(f, now)
}

// VerdictBy returns until when another query may have a suspect on trial. A trial of its own beside
// that one would tell nothing sooner, and may cost a server.
func (b *Book) VerdictBy(f Fingerprint) time.Time {
	if c := b.cases[f]; c != nil {
		return c.told.Add(verdictTime)
	}
	return time.Time{}
}

// LearnClaim takes in that a trial was claimed.
func (b *Book) LearnClaim(n Name, now time.Time) { b.caseOf(n.Fingerprint, now).claims[n.Claim] = true }

// Forget takes in that the record of a host, or a claim, is gone.
func (b *Book) Forget(n Name, now time.Time) {
	f := n.Fingerprint
	c := b.cases[f]
	if c == nil {
		return
	}
	delete(c.records, n.Host)
	delete(c.claims, n.Claim)
	if len(c.records)+len(c.claims) == 0 {
		b.drop(f)
		return
	}
	b.reconsider(f, now)
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
	c.records, c.claims, c.served = map[string]Record{b.self: own}, map[string]bool{}, now
	b.reconsider(f, now)
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
			b.drop(b.oldest())
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
	ended := c.total.Versions
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
		if wasServed {
			c.served = time.Time{}
			b.reconsider(f, now)
		}
		if wasServed && c.standing == Clear || c.expired(now) {
			over = append(over, names(f, c)...)
			b.drop(f)
		}
	}
	return over
}

// expired reports whether the time of a request is over.
func (c *history) expired(now time.Time) bool {
	if c.standing == Barred {
		return now.Sub(c.barredSince) >= barLife
	}
	return now.Sub(c.since) >= suspicionLife
}

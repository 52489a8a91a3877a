package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxTrials is the number of trials of a barred request that follow a probation. Users
	// accept three repeats; one more may be in flight at another host when the request is
	// barred.
	MaxTrials = 2
	// FirstProbation is the time that a request is barred before its first trial. Each
	// further probation is probationGrowth times longer.
	FirstProbation  = 30 * time.Second
	probationGrowth = 10
	// suspicionTTL is how long the records of a request that is not barred are kept. It covers
	// the retries of a caller, including an outage of the servers.
	suspicionTTL = 2 * time.Minute
	// servedGrace is how long a request that was served is not barred, so that an outage with
	// another cause does not bar a popular request: some of its many concurrent attempts see
	// every crash, and none of them is alone on trial.
	servedGrace = 30 * time.Second
	// verdictTimeout is how long after its last record another host may have a request on
	// trial. It covers two calls to servers with queues and the propagation of the result.
	verdictTimeout = 500 * time.Millisecond
	// barTTL is how long a request stays barred.
	barTTL = 24 * time.Hour
	// MaxRequests bounds the number of requests in a Book. Each takes a few kilobytes of memory,
	// and a key in the store for each host that reported it.
	MaxRequests = 512
)

// Book holds the records of all hosts about requests during which servers crashed. It is not safe
// for concurrent use.
type Book struct {
	// self is the name of this host.
	self      string
	histories map[Fingerprint]*history
	// byServer maps a crashed server to the requests that it ran.
	byServer map[string]map[Fingerprint]bool
	// served remembers the requests that servers served for this host.
	served servedSet
	// pendingChanges are the changes that TakeChanges has not returned yet.
	pendingChanges []Change
}

// NewBook returns an empty book for the host named self.
func NewBook(self string) *Book {
	return &Book{self: self, histories: map[Fingerprint]*history{}, byServer: map[string]map[Fingerprint]bool{}}
}

// Len returns the number of requests in the book.
func (b *Book) Len() int { return len(b.histories) }

// AddReport adds the crashes that a query of this host reports, like AddLocal. A crash on trial
// counts as one only if this host counted none under the request in the last trialQuietPeriod:
// many queries may be on trial at servers that are lost together.
func (b *Book) AddReport(f Fingerprint, seen Record, now time.Time) Record {
	h := b.historyOf(f, now)
	switch {
	case len(seen.Trials) == 0:
	case now.Sub(h.lastTrial) < trialQuietPeriod:
		seen.Trials = nil
	default:
		h.lastTrial = now
	}
	return b.AddLocal(f, seen, now)
}

// AddLocal adds what this host observed in one attempt to its record of a request, and returns the
// merged record.
func (b *Book) AddLocal(f Fingerprint, seen Record, now time.Time) Record {
	r := b.historyOf(f, now).records[b.self]
	r.Servers, r.Trials, r.Versions = slices.Clone(r.Servers), slices.Clone(r.Trials), slices.Clone(r.Versions)
	r.add(seen)
	_, r.Served = b.served.within(f, now) // Hosts that start later know it only from this record.
	b.ApplyRecord(f, b.self, r, now)
	return r
}

// ApplyRecord replaces the record of a host. The stored record of this host itself is ignored if it
// is older than the one in the book.
func (b *Book) ApplyRecord(f Fingerprint, host string, r Record, now time.Time) {
	h := b.historyOf(f, now)
	if host == b.self && r.Crashes < h.records[host].Crashes {
		return
	}
	h.records[host] = r.truncated()
	h.lastReport = now
	if at, served := b.served.within(f, now); served {
		h.noteServed(at)
	}
	if r.Served && (r.Crashes == 0 || h.servedAt.IsZero()) {
		h.noteServed(now) // A record with crashes does not tell when the request was served.
	}
	b.recompute(f, now)
}

// TrialDeadline returns the time until which another query may have a suspect on trial. A
// concurrent trial would give no earlier result and might crash another server.
func (b *Book) TrialDeadline(f Fingerprint) time.Time {
	if h := b.histories[f]; h != nil {
		return h.lastReport.Add(verdictTimeout)
	}
	return time.Time{}
}

// ApplyClaim records that a trial was claimed.
func (b *Book) ApplyClaim(key RecordKey, now time.Time) {
	b.historyOf(key.Fingerprint, now).claims[key.Claim] = true
}

// RemoveRecord removes the record of a host, or a claim, that was deleted from the store.
func (b *Book) RemoveRecord(key RecordKey, now time.Time) {
	f := key.Fingerprint
	h := b.histories[f]
	if h == nil {
		return
	}
	delete(h.records, key.Host)
	delete(h.claims, key.Claim)
	if len(h.records)+len(h.claims) == 0 {
		b.remove(f)
		return
	}
	b.recompute(f, now)
}

// NoteServed records that a server served a request for this host. It reports whether the request
// is suspect or barred, so that Clear must be called.
func (b *Book) NoteServed(f Fingerprint, now time.Time) (mustClear bool) {
	b.served.add(f, now)
	return b.Standing(f) != Clear
}

// Clear records that a server served a request. It returns the new record of this host and the
// names of the records and claims of other hosts, which are obsolete. known is false if the book
// does not contain the request.
func (b *Book) Clear(f Fingerprint, now time.Time) (own Record, obsolete []string, known bool) {
	b.served.add(f, now)
	h := b.histories[f]
	if h == nil {
		return Record{}, nil, false
	}
	delete(h.records, b.self)
	obsolete = storeNames(f, h)
	own = Record{Served: true}
	h.records, h.claims = map[string]Record{b.self: own}, map[string]bool{}
	h.noteServed(now)
	b.recompute(f, now)
	return own, obsolete, true
}

// storeNames returns the sorted names of the records and claims of a request.
func storeNames(f Fingerprint, h *history) []string {
	var all []string
	for host := range h.records {
		all = append(all, RecordKeyFor(f, host))
	}
	for claim := range h.claims {
		all = append(all, claimName(f, claim))
	}
	slices.Sort(all)
	return all
}

// historyOf returns the history of a request, and creates it if there is none. If the book is
// full, another request is evicted.
func (b *Book) historyOf(f Fingerprint, now time.Time) *history {
	h := b.histories[f]
	if h == nil {
		if len(b.histories) >= MaxRequests {
			b.remove(b.evictionCandidate())
		}
		h = &history{records: map[string]Record{}, claims: map[string]bool{}, firstSeen: now}
		b.histories[f] = h
	}
	return h
}

// evictionCandidate returns the oldest request that is not barred; if all are, the oldest.
func (b *Book) evictionCandidate() Fingerprint {
	var found Fingerprint
	var best *history
	for f, h := range b.histories {
		if best == nil || h.evictedBefore(best) {
			found, best = f, h
		}
	}
	return found
}

func (h *history) evictedBefore(other *history) bool {
	if h.barredSince.IsZero() != other.barredSince.IsZero() {
		return h.barredSince.IsZero()
	}
	return h.firstSeen.Before(other.firstSeen)
}

// DueTrial returns the name under which the next trial of a barred request must be claimed in the
// store, and whether the trial is due. It is if the probation has passed, or if all versions
// inService are known and differ from those that crashed. A host that has not received the claim of
// another one fails to claim the same name.
func (b *Book) DueTrial(f Fingerprint, inService []string, now time.Time) (name string, due bool) {
	h := b.histories[f]
	if h == nil || h.barredSince.IsZero() {
		return "", false
	}
	crashedVersions := h.summary.Versions
	mayCrash := func(version string) bool { return version == "" || slices.Contains(crashedVersions, version) }
	if len(crashedVersions) > 0 && len(inService) > 0 && !slices.ContainsFunc(inService, mayCrash) {
		claim := "version-" + strings.Join(slices.Sorted(slices.Values(inService)), "-")
		if !h.claims[claim] {
			return claimName(f, claim), true
		}
	}
	probation := FirstProbation
	for n := range MaxTrials {
		claim := fmt.Sprint("probation-", n+1)
		if !h.claims[claim] {
			return claimName(f, claim), now.Sub(h.barredSince) >= probation
		}
		probation *= probationGrowth
	}
	return "", false
}

// RemoveExpired removes expired requests and returns the names of their records and claims. It also
// updates the standing of requests whose servedGrace has passed.
func (b *Book) RemoveExpired(now time.Time) []string {
	var expired []string
	for f, h := range b.histories {
		if !h.servedAt.IsZero() && now.Sub(h.servedAt) < servedGrace {
			continue
		}
		wasServed := !h.servedAt.IsZero()
		if wasServed {
			h.servedAt = time.Time{}
			b.recompute(f, now)
		}
		if wasServed && h.standing == Clear || h.expired(now) {
			expired = append(expired, storeNames(f, h)...)
			b.remove(f)
		}
	}
	return expired
}

// expired reports whether the TTL of a request has passed.
func (h *history) expired(now time.Time) bool {
	if h.standing == Barred {
		return now.Sub(h.barredSince) >= barTTL
	}
	return now.Sub(h.firstSeen) >= suspicionTTL
}

package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MinCrashes is the number of servers that must crash under a request before it is
	// barred. The loss of this many servers to one request is accepted.
	MinCrashes = 3
	// MinTrialCrashes is the number of those servers that must crash on trial. One is not enough:
	// if the same servers crashed under two requests, both may go on trial at the same server at
	// the same time.
	MinTrialCrashes = 2
	// maxUndecidedTrials is the number of crashes on trial from which on those that another suspect
	// saw on trial count too. By then a harmless request is likely to have been served, but two
	// poison requests that are always sent together would never be told apart.
	maxUndecidedTrials = 2 * MinTrialCrashes
)

// Standing tells how a request is to be treated.
type Standing int

const (
	// Clear means that no crash is attributed to the request.
	Clear Standing = iota
	// Suspect means that servers crashed under the request. It is sent to one server alone first.
	Suspect
	// Barred means that the request is not sent to any server, except on a claimed trial.
	Barred
)

// String returns the name used in logs.
func (s Standing) String() string { return [...]string{"clear", "suspect", "barred"}[s] }

// Change is a change of the standing of a request.
type Change struct {
	// Now is the summary of the request after the change.
	Now Summary
	// Before is the standing before the change.
	Before Standing
}

// Summary merges the records of all hosts about a request.
type Summary struct {
	Fingerprint Fingerprint
	Standing    Standing
	// Crashes is the sum of the crashes that the hosts saw. A crash that several hosts saw counts
	// once for each.
	Crashes int
	// Hosts are the hosts that have a record of the request.
	Hosts []string
	// Servers are the servers that crashed.
	Servers []string
	// Trials are the servers that crashed on trial.
	Trials []string
	// Versions are the software versions of the servers that crashed.
	Versions []string
	// Description describes the request to operators.
	Description string
	// LastCrash is the time of the last crash, in Unix milliseconds.
	LastCrash int64
	// Claims is the number of claimed trials.
	Claims int
	// AttributedTo are other barred requests to which some of the crashes are attributed instead.
	// These crashes do not count for Standing.
	AttributedTo []Fingerprint
}

// history holds the records of all hosts about one request and the state derived from them.
type history struct {
	// records maps host names to records.
	records map[string]Record
	// claims is the set of claimed trials.
	claims map[string]bool
	// firstSeen is the time at which this host learned of the first record or claim. barredSince
	// is the time since which summary.Standing is Barred; zero if it is not.
	firstSeen, barredSince time.Time
	// lastTrial is the time of the last trial that AddReport counted.
	lastTrial time.Time
	// lastReport is the time at which the last record arrived.
	lastReport time.Time
	// servedAt is the time at which this host learned that a server served the request; zero
	// after servedGrace.
	servedAt time.Time
	// wasServed is whether servedAt was ever set.
	wasServed bool
	// summary merges the records, with the standing that follows from them alone.
	summary Summary
	// standing is the effective standing, which follows from the crashes that are not attributed
	// to the requests in attributedTo.
	standing     Standing
	attributedTo []Fingerprint
}

// noteServed records that a server served the request.
func (h *history) noteServed(at time.Time) {
	h.wasServed = true
	if at.After(h.servedAt) {
		h.servedAt = at
	}
}

// summarize merges the records of a request.
func (h *history) summarize(f Fingerprint) Summary {
	s := Summary{Fingerprint: f, Hosts: slices.Sorted(maps.Keys(h.records))}
	for _, host := range s.Hosts {
		r := h.records[host]
		s.Crashes += r.Crashes
		s.Servers = union(s.Servers, r.Servers)
		s.Versions = union(s.Versions, r.Versions)
		s.Trials = union(s.Trials, r.Trials)
		if r.LastCrash >= s.LastCrash {
			s.Description, s.LastCrash = r.Description, r.LastCrash
		}
	}
	s.Standing = standingOf(s.Servers, s.Trials)
	if !h.servedAt.IsZero() {
		s.Standing = min(s.Standing, Suspect)
	}
	return s
}

// union appends to a the elements of b that it does not contain.
func union(a, b []string) []string {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// standingOf returns the standing that follows from the crashed servers and those of them that
// crashed on trial.
func standingOf(servers, trials []string) Standing {
	switch {
	case len(servers) >= MinCrashes && len(trials) >= MinTrialCrashes:
		return Barred
	case len(servers) > 0:
		return Suspect
	}
	return Clear
}

// crashedServers returns all servers in the summary.
func (s Summary) crashedServers() []string { return union(slices.Clone(s.Servers), s.Trials) }

// outweighs reports whether a crash under two requests is attributed to s and not to other, because
// more servers crashed under s. Crashes does not decide, because each of the many concurrent queries
// of a popular request sees a crash. If equally many servers crashed, the lower fingerprint decides.
func (s Summary) outweighs(other Summary) bool {
	if len(s.Servers) != len(other.Servers) {
		return len(s.Servers) > len(other.Servers)
	}
	return strings.Compare(s.Fingerprint.String(), other.Fingerprint.String()) < 0
}

// difference returns the elements of list that are not in removed.
func difference(list, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(removed, s) })
}

// recompute updates the summary of a request after a change, and the standings of this request
// and of those that share crashed servers with it. Only recompute and remove change standings.
func (b *Book) recompute(f Fingerprint, now time.Time) {
	h := b.histories[f]
	before := h.summary
	b.unindex(before)
	h.summary = h.summarize(f)
	b.index(h.summary)
	switch {
	case h.summary.Standing != Barred:
		h.barredSince = time.Time{}
	case h.barredSince.IsZero():
		h.barredSince = now
	}
	b.updateStanding(f)
	b.updateRelated(before)
	b.updateRelated(h.summary)
}

// remove deletes a request from the book.
func (b *Book) remove(f Fingerprint) {
	h := b.histories[f]
	delete(b.histories, f)
	b.unindex(h.summary)
	b.recordChange(Summary{Fingerprint: f}, h.standing)
	b.updateRelated(h.summary)
}

// updateRelated updates the standings of the requests that share crashed servers with s. Without
// crashes on trial s does not affect them.
func (b *Book) updateRelated(s Summary) {
	if len(s.Trials) == 0 {
		return
	}
	for f := range b.requestsSharing(s) {
		b.updateStanding(f)
	}
}

// updateStanding recomputes the effective standing of a request, and records the change if there is
// one.
func (b *Book) updateStanding(f Fingerprint) {
	h := b.histories[f]
	before := h.standing
	h.standing, h.attributedTo = b.attributedStanding(h.summary)
	b.recordChange(b.Summary(f), before)
}

// recordChange adds a pending change if the standing of s differs from before.
func (b *Book) recordChange(s Summary, before Standing) {
	if s.Standing != before {
		b.pendingChanges = append(b.pendingChanges, Change{Now: s, Before: before})
	}
}

// undecidedWith reports whether the crashes on trial that both requests saw do not tell yet which of
// them was the cause: the other one was not served, and is only suspect or has equally many crashes.
func (s Summary) undecidedWith(other *history) bool {
	if len(s.Trials) >= maxUndecidedTrials || other.wasServed {
		return false
	}
	return other.summary.Standing == Suspect || other.summary.Standing == Barred && len(other.summary.Servers) == len(s.Servers)
}

// attributedStanding returns the standing that follows from the crashes of s that are not attributed
// to other barred requests, and those other requests. A crash has one cause but is recorded for
// every request that the process ran: without attribution, two requests on trial at the same server
// at the same time would both be barred. While the other one is only suspect, or its crashes are as
// many, a crash on trial that both saw counts for neither: requests that ran on the same crashed
// server retry at the same time, often at the same server. It counts again once the other one is
// served.
func (b *Book) attributedStanding(s Summary) (Standing, []Fingerprint) {
	if s.Standing != Barred {
		return s.Standing, nil
	}
	servers, trials := s.Servers, s.Trials
	var attributedTo []Fingerprint
	for f := range b.requestsSharing(s) {
		other := b.histories[f].summary
		switch {
		case s.undecidedWith(b.histories[f]):
			trials = difference(trials, other.Trials)
		case other.Standing == Barred && other.outweighs(s):
			servers, trials = difference(servers, other.Servers), difference(trials, other.Servers)
			attributedTo = append(attributedTo, f)
		}
	}
	return max(standingOf(servers, trials), Suspect), attributedTo
}

// requestsSharing returns the other requests that a crashed server of s was running.
func (b *Book) requestsSharing(s Summary) map[Fingerprint]bool {
	found := map[Fingerprint]bool{}
	for _, server := range s.crashedServers() {
		maps.Copy(found, b.byServer[server])
	}
	delete(found, s.Fingerprint)
	return found
}

// index adds a summary to byServer.
func (b *Book) index(s Summary) {
	for _, server := range s.crashedServers() {
		if b.byServer[server] == nil {
			b.byServer[server] = map[Fingerprint]bool{}
		}
		b.byServer[server][s.Fingerprint] = true
	}
}

// unindex removes a summary from byServer.
func (b *Book) unindex(s Summary) {
	for _, server := range s.crashedServers() {
		delete(b.byServer[server], s.Fingerprint)
		if len(b.byServer[server]) == 0 {
			delete(b.byServer, server)
		}
	}
}

// TakeChanges returns the changes of standings since the last call, in order.
func (b *Book) TakeChanges() []Change {
	changes := b.pendingChanges
	b.pendingChanges = nil
	return changes
}

// Standing returns the standing of a request.
func (b *Book) Standing(f Fingerprint) Standing {
	if h := b.histories[f]; h != nil {
		return h.standing
	}
	return Clear
}

// Summary returns the summary of a request; one that is not in the book is Clear.
func (b *Book) Summary(f Fingerprint) Summary {
	h := b.histories[f]
	if h == nil {
		return Summary{Fingerprint: f}
	}
	s := h.summary
	s.Standing, s.AttributedTo, s.Claims = h.standing, h.attributedTo, len(h.claims)
	return s
}

// Summaries returns the summaries of all requests, sorted by descending standing, then by
// fingerprint.
func (b *Book) Summaries() []Summary {
	all := make([]Summary, 0, len(b.histories))
	for f := range b.histories {
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

package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/quarantine"
)

const (
	// trialSettle is for how long no server may have ended under a query, but on trial, for
	// the end of one on trial to count: those that end together, as with a failure domain, are
	// noticed within a few milliseconds. A second trial waits for that time, so that the first
	// one holds nobody up.
	trialSettle = 25 * time.Millisecond
	// stopAfter is the number of servers that end under a query that none has served after
	// which it is taken from those that run it: one may be chance, and two before any has
	// served are not, where fewer than half of all are lost. It is also what a relay allows.
	// Of 40 servers of 20 shards, which run a request for 5 to 50 ms, a query ended 22 in its
	// first attempt without this, and 4 or 5 with it (fake time, 6 runs).
	stopAfter = 2
	// trialStep is how often attempts that wait for a trial are looked at again where nothing
	// happens before.
	trialStep = 20 * time.Millisecond
	// barredRetryAfter is when a caller whose request is barred may come back: before the
	// first probation is over nothing changes but by hand.
	barredRetryAfter = 30 * time.Second
)

// suspicion is what a query knows of servers that ended under it. While they are more than
// those that served it, it sends to one server at a time, on trial: if that serves, the
// others follow at once; if it ends too, the query is over and the request is barred on all
// hosts.
//
// It protects the other callers of a service. In fake time, with 60 repeats in 24 s of a query
// that ends each server beside 240 ordinary ones over 12 shards, 252 to 288 servers ended and
// 43 to 57 ordinary queries were served without it, 14 and 240 with it. Counting the servers
// alone ends 12, but refused 1,199 of 2,400 requests that ran beside such a query and had
// nothing to do with it, and 320 of 800 where all servers had been lost; on trial none was.
type suspicion struct {
	print     quarantine.Fingerprint
	hasPrint  bool
	suspected bool
	// probation tells that the request is barred and this query is its claimed trial.
	probation bool
	// ended are the servers that ended since one served the query, names of the first of
	// them; parts is the number of those that served it.
	ended    []string
	versions []string
	names    []string
	parts    int
	// lastEnd is when the last server ended that was not on trial.
	lastEnd time.Time
	// trialShard is the shard on trial, or -1; onTrial are the servers that were.
	trialShard int
	onTrial    []string
	trialEnded bool
	// trialFrom is when the next trial may begin.
	trialFrom time.Time
	// stopped tells that the query was taken from the servers that ran it.
	stopped bool
	// held are the shards whose attempts wait for the trial.
	held   []int
	barred bool
}

// holds reports whether only trials are sent.
func (s *suspicion) holds() bool {
	return s.parts == 0 && s.suspected || len(s.ended) > s.parts
}

// fingerprint returns that of the query's request.
func (q *query) fingerprint() quarantine.Fingerprint {
	s := &q.suspicion
	if !s.hasPrint {
		s.print, s.hasPrint = fingerprint(q.request), true
	}
	return s.print
}

// mayRun looks up what is known of the request. It returns false, and the answer, where it
// is barred and no trial of it is due.
func (q *query) mayRun(ctx context.Context) (Answer, bool) {
	s, guard := &q.suspicion, q.gateway.guard
	s.trialShard = -1
	if !guard.active() {
		return Answer{}, true
	}
	f := q.fingerprint()
	switch guard.standing(f) {
	case quarantine.Clear:
		return Answer{}, true
	case quarantine.Suspect:
		q.trace.fingerprint = f.String()
		s.suspected = true
		return Answer{}, true
	}
	name, due := guard.dueTrial(f, versions(q.groups), time.Now())
	if due && q.gateway.control.Claim(ctx, name) {
		quarantineTrials.Inc()
		s.suspected, s.probation = true, true
		return Answer{}, true
	}
	return q.barredAnswer(), false
}

// barredAnswer refuses a request that is barred, or ends it where servers have had it.
func (q *query) barredAnswer() Answer {
	quarantineRefused.Inc()
	known := q.gateway.guard.summary(q.fingerprint())
	q.trace.fingerprint = known.Fingerprint.String()
	reason := fmt.Sprintf("%d servers ended under this request, fingerprint %v, told by %v: clear it by hand when the servers are mended",
		known.Ended, known.Fingerprint, known.Hosts)
	if q.offered() {
		return Answer{Outcome: Failed, Code: CodeBarred, Reason: reason}
	}
	return notRun(CodeBarred, reason, barredRetryAfter)
}

// launchTrial sends the query to one server alone, unless it is on trial already. An attempt
// whose part is late gets a copy as any other.
func (q *query) launchTrial(ctx context.Context, now time.Time) {
	s := &q.suspicion
	s.held = s.held[:0]
	running := s.trialShard >= 0 && q.state.Running(s.trialShard) > 0
	for _, need := range q.state.Needs(now) {
		copyOfTrial := need.Hedge && need.Shard == s.trialShard
		if running && !copyOfTrial || !running && need.Hedge || now.Before(s.trialFrom) {
			s.held = append(s.held, need.Shard)
			q.state.Later(need.Shard, now.Add(trialStep))
			continue
		}
		a, ok := q.prepare(need, q.left(now), now)
		if !ok {
			continue
		}
		a.trial, running = true, true
		s.trialShard = need.Shard
		s.onTrial = append(s.onTrial, a.call.backend.ID)
		q.sendAttempts(ctx, []attempt{a}, now)
	}
}

// served notes that a server served the query: what waits for the trial follows at once.
func (q *query) served(now time.Time) {
	s := &q.suspicion
	s.parts++
	s.ended, s.names, s.versions, s.trialEnded = nil, nil, nil, false
	if s.parts == 1 && s.suspected {
		q.gateway.guard.clear(q.fingerprint())
	}
	for _, n := range s.held {
		q.state.Later(n, now)
	}
	s.held = nil
}

// serverEnded notes that a server ended with the query.
func (q *query) serverEnded(r result, now time.Time) {
	s := &q.suspicion
	q.trace.fingerprint = q.fingerprint().String()
	trial := slices.Contains(s.onTrial, r.server)
	b := q.gateway.fleet.server(r.server)
	if b == nil {
		b = &backend{}
		b.ID = r.server
	}
	q.gateway.guard.logEnd(q.fingerprint(), q.request, b, r.elapsed, r.reason, trial)
	s.ended = append(s.ended, r.server)
	if len(s.names) < quarantine.MaxNamed {
		s.names = append(s.names, fmt.Sprintf("%s#%d", r.server, b.Born))
	}
	if b.Version != "" && !slices.Contains(s.versions, b.Version) {
		s.versions = append(s.versions, b.Version)
	}
	if !trial {
		s.lastEnd = now
		if !s.stopped && s.parts == 0 && len(s.ended) >= stopAfter {
			s.stopped = true
			q.stopCalls()
		}
		return
	}
	if now.Sub(s.lastEnd) < trialSettle {
		s.trialFrom = s.lastEnd.Add(trialSettle)
		return
	}
	s.trialEnded = true
	q.noteEnds(now)
}

// noteEnds tells all hosts of the servers that ended under a query that none served since.
func (q *query) noteEnds(now time.Time) {
	s := &q.suspicion
	if len(s.names) == 0 || len(s.ended) <= s.parts {
		return
	}
	seen := quarantine.Record{
		Servers: s.names, Ended: len(s.ended), Trial: s.trialEnded, Versions: s.versions,
		What: describe(q.request, q.entry.Name), At: now.UnixMilli(),
	}
	s.ended, s.names = nil, nil
	s.suspected = true
	if q.gateway.guard.note(q.fingerprint(), seen, now) == quarantine.Barred {
		s.barred = true
	}
}

// heardNews looks up whether the request was barred meanwhile, by this host or another.
func (q *query) heardNews() {
	s := &q.suspicion
	if !s.probation && q.gateway.guard.standing(q.fingerprint()) == quarantine.Barred {
		s.barred = true
	}
}

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/quarantine"
)

const (
	// trialStep is how often attempts that wait for a trial are looked at again where nothing
	// happens before.
	trialStep = 20 * time.Millisecond
	// mostTrials is the number of trials of one query that may fail without it being known that
	// the server ended: a lost answer is no reason to give up, three in a row on trial are.
	mostTrials = 3
	// barredRetryAfter is when a caller whose request is barred may come back: before the
	// first probation is over nothing changes but by hand.
	barredRetryAfter = quarantine.FirstProbation
)

// trialsBegun counts trials of barred requests.
var trialsBegun = metrics.GetOrCreateCounter("mallowgap_quarantine_trials_total")

// trial is what a query does about servers that end under it.
type trial struct {
	quarantine.Suspicion
	// print is the fingerprint of its request, once hasPrint.
	print    quarantine.Fingerprint
	hasPrint bool
	// probation tells that the request is barred and this query is its claimed trial.
	probation bool
	// barred tells that the request is barred: the query ends.
	barred bool
	// shard is the one on trial, or -1; servers are those that the query was tried on.
	shard   int
	servers []string
	// broken are calls that broke off without it being known that their servers ended; failed
	// is the number of those on trial.
	broken []quarantine.End
	failed int
	// held are the shards whose attempts wait until a server has served the query.
	held []int
}

// fingerprint returns that of the query's request.
func (q *query) fingerprint() quarantine.Fingerprint {
	if !q.trial.hasPrint {
		q.trial.print, q.trial.hasPrint = fingerprint(q.request), true
	}
	return q.trial.print
}

// mayRun looks up what is known of the request. It returns false, and the answer, where it
// is barred and no trial of it is due.
func (q *query) mayRun(ctx context.Context) (Answer, bool) {
	q.trial.shard = -1
	guard := q.gateway.guard
	if !guard.Active() {
		return Answer{}, true
	}
	f := q.fingerprint()
	switch guard.Standing(f) {
	case quarantine.Clear:
		return Answer{}, true
	case quarantine.Suspect:
		q.trace.fingerprint = f.String()
		q.awaitVerdict(guard.VerdictBy(f))
		return Answer{}, true
	}
	name, due := guard.DueTrial(f, versions(q.groups), time.Now())
	if due && q.gateway.control.Claim(ctx, name) {
		trialsBegun.Inc()
		q.trial.Suspect(time.Time{})
		q.trial.probation = true
		return Answer{}, true
	}
	return q.barredAnswer(), false
}

// awaitVerdict lets a suspect wait until another query has had its trial, or a time, but for no more
// of its own time than it can spare: words on an innocent one may follow each other. It has not been
// offered to a server meanwhile, and is not refused for that. A single request does not wait, as it
// goes to one server at a time in any case.
func (q *query) awaitVerdict(by time.Time) {
	if q.entry.Query == nil {
		q.trial.Suspect(time.Time{})
		return
	}
	by = quarantine.AwaitVerdict(by, q.request.Arrived, q.end)
	q.trial.Suspect(by)
	if by.After(q.offerBy) {
		q.code, q.failure = CodeSuspect, "servers ended under this request; what becomes of its trial is awaited"
		q.offerBy = by.Add(q.longestHedgeDelay())
	}
}

// absolved reports whether the request was served elsewhere while the query waited for its trial.
func (q *query) absolved() bool {
	if q.trial.shard < 0 && !q.trial.probation && !q.offered() && q.gateway.guard.Standing(q.fingerprint()) == quarantine.Clear {
		q.trial.Absolve()
	}
	return !q.trial.OnTrial()
}

// barredAnswer refuses a request that is barred, or ends it where servers have had it.
func (q *query) barredAnswer() Answer {
	known := q.gateway.guard.Refused(q.fingerprint())
	q.trace.fingerprint = known.Fingerprint.String()
	reason := fmt.Sprintf("%d servers ended under this request, fingerprint %v, told by %v: clear it by hand when the servers are mended",
		known.Ended, known.Fingerprint, known.Hosts)
	if q.offered() {
		return Answer{Outcome: Failed, Code: CodeBarred, Reason: reason}
	}
	return notRun(CodeBarred, reason, barredRetryAfter)
}

// launchTrial sends the query to one server alone, unless it is on trial already. An attempt
// whose part is late gets a copy as any other. A trial beside other calls of the query would not
// be alone: the end of its server would tell nothing, and take from the others' callers what may
// be the last server of a shard. Where the query is not to blame, those calls bring a part, and
// the attempts that wait follow at once.
func (q *query) launchTrial(ctx context.Context, now time.Time) {
	t := &q.trial
	t.held = t.held[:0]
	running := q.running()
	needs := q.state.Needs(now)
	rand.Shuffle(len(needs), func(i, j int) { needs[i], needs[j] = needs[j], needs[i] })
	for _, need := range needs {
		copyOfTrial := need.Hedge && need.Shard == t.shard
		if running && !copyOfTrial || !running && need.Hedge || now.Before(t.TrialFrom()) {
			q.hold(need.Shard, now.Add(trialStep))
			continue
		}
		a, ok := q.prepare(need, q.left(now), now)
		if !ok {
			continue
		}
		a.trial, running = true, true
		t.shard = need.Shard
		t.servers = append(t.servers, a.call.backend.ID)
		q.sendAttempts(ctx, []attempt{a}, now)
	}
}

// served notes that a server served the query: what waits for the trial follows at once.
func (q *query) served(now time.Time) {
	if q.trial.Served() {
		q.gateway.guard.Clear(q.fingerprint(), now)
	}
	if len(q.doubt.open) == 0 {
		q.releaseHeld(now)
	}
}

// releaseHeld lets the shards that were held be asked at once.
func (q *query) releaseHeld(now time.Time) {
	for _, n := range q.trial.held {
		q.state.Later(n, now)
	}
	q.trial.held = nil
}

// serverEnded notes that a server ended with the query.
func (q *query) serverEnded(r result, now time.Time) {
	q.trace.fingerprint = q.fingerprint().String()
	end := q.endOf(r)
	q.gateway.guard.LogEnd(q.fingerprint(), q.request.ID, r.server, q.groups[r.shard].service, r.elapsed, r.reason, end)
	stop, told := q.trial.Ended(end, now)
	if stop {
		q.stopCalls()
		q.tellEnds(now) // A repeat at another host may come before the trial is over.
	}
	if told {
		q.trial.Wait(rand.N(quarantine.TrialSpread))
		q.tellEnds(now)
	}
}

// endOf returns what the end of a server under the query is.
func (q *query) endOf(r result) quarantine.End {
	end := quarantine.End{Server: r.server, OnTrial: slices.Contains(q.trial.servers, r.server)}
	if b := q.gateway.fleet.server(r.server); b != nil {
		end.Server, end.Version = processName(b.Server), b.Version
	}
	return end
}

// brokeOff notes that a call broke off at a server of which it is not known that it ended.
func (q *query) brokeOff(r result) {
	end := q.endOf(r)
	if len(q.trial.broken) < quarantine.MaxNamed || end.OnTrial {
		q.trial.broken = append(q.trial.broken, end)
	}
	if end.OnTrial {
		q.trial.failed++
	}
}

// trialFailed reports whether the query was on trial often enough without being served. Its
// servers may have ended, as their entries will tell.
func (q *query) trialFailed() bool { return q.trial.failed >= mostTrials && q.trial.OnTrial() }

// awaitWitnesses keeps the calls that broke off until their servers' entries tell what became
// of them, where nobody served the query.
func (q *query) awaitWitnesses(now time.Time) {
	if len(q.trial.broken) == 0 || q.trial.WasServed() {
		return
	}
	for _, end := range q.trial.broken {
		q.gateway.guard.Broke(quarantine.BrokenCall{Fingerprint: q.fingerprint(), End: end, What: describe(q.request, q.entry.Name), At: now})
	}
}

// tellEnds tells all hosts of the servers that ended under a query that none served since.
func (q *query) tellEnds(now time.Time) {
	seen, any := q.trial.Tell()
	if !any {
		return
	}
	seen.What = describe(q.request, q.entry.Name)
	q.trial.barred = q.gateway.guard.Note(q.fingerprint(), seen, now) == quarantine.Barred
}

// heardNews looks up whether the request was barred meanwhile, by this host or another.
func (q *query) heardNews() {
	if !q.trial.probation && q.gateway.guard.Standing(q.fingerprint()) == quarantine.Barred {
		q.trial.barred = true
	}
}

// describe says to operators what a request asks for.
func describe(r *Request, routeName string) string {
	what := r.Method + " " + r.Host + r.Target + " (route " + routeName + ")"
	return what[:min(len(what), quarantine.MaxWhat)]
}

// fingerprint stands for the content of a request and its caller.
func fingerprint(r *Request) quarantine.Fingerprint {
	return quarantine.Of(quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Caller: r.Header.Get("Authorization"), Body: r.Body})
}

// versions returns the versions of the servers in service of some groups.
func versions(groups []*group) []string {
	var found []string
	for _, g := range groups {
		g.mu.Lock()
		for _, b := range g.members {
			if !slices.Contains(found, b.Version) {
				found = append(found, b.Version)
			}
		}
		g.mu.Unlock()
	}
	return found
}

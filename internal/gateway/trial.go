package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/quarantine"
)

const (
	// trialPollInterval is how often a query on trial checks whether an attempt that it holds back
	// may be sent.
	trialPollInterval = 20 * time.Millisecond
	// maxFailedTrials is the number of failed trials after which a query ends even if no server is
	// known to have crashed. It is more than 1 because a single connection may be lost for other
	// reasons.
	maxFailedTrials = 3
	// barredRetryAfter is the delay after which a caller whose request is barred may retry. Until
	// the first probation ends, only an operator can clear the request.
	barredRetryAfter = quarantine.FirstProbation
)

// trialsBegun counts trials of barred requests.
var trialsBegun = metrics.GetOrCreateCounter("mallowgap_quarantine_trials_total")

// trial is the quarantine state of one query.
type trial struct {
	quarantine.Suspicion
	// fingerprint identifies the content of the request; valid if hasFingerprint is set.
	fingerprint    quarantine.Fingerprint
	hasFingerprint bool
	// probation reports that the request is barred and this query claimed its trial.
	probation bool
	// barred reports that the request is barred, so that the query must end.
	barred bool
	// shard is the shard of the latest trial, or -1 before the first one. servers lists the servers
	// to which the query was sent on trial.
	shard   int
	servers []string
	// brokenCalls lists the calls whose connection was lost although the server is not known to
	// have crashed; failedTrials counts those of them that were trials.
	brokenCalls  []quarantine.Crash
	failedTrials int
	// heldShards lists the shards to which attempts are postponed for a limited time, and are sent
	// earlier if a server serves the query.
	heldShards []int
}

// fingerprint returns the fingerprint of the request, computing it at most once.
func (q *query) fingerprint() quarantine.Fingerprint {
	if !q.trial.hasFingerprint {
		q.trial.fingerprint, q.trial.hasFingerprint = q.gateway.fingerprint(q.request), true
	}
	return q.trial.fingerprint
}

// checkQuarantine looks up the standing of the request. If the request is barred and this query
// may not try it, it returns the answer and false.
func (q *query) checkQuarantine(ctx context.Context) (Answer, bool) {
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
		q.awaitTrial(guard.TrialDeadline(f))
		return Answer{}, true
	}
	name, due := guard.DueTrial(f, serverVersions(q.groups), time.Now())
	if due && q.gateway.control.Claim(ctx, name) {
		trialsBegun.Inc()
		q.trial.Suspect(time.Time{})
		q.trial.probation = true
		return Answer{}, true
	}
	return q.barredAnswer(), false
}

// awaitTrial makes a query of a suspect request wait for the trial of another query, until
// trialDeadline at the latest. It waits for no more than a part of its own time, because reports
// about a popular request may extend trialDeadline again and again. The dispatch deadline is
// extended accordingly. A request that is not a query does not wait, because it is sent to one
// server at a time in any case.
func (q *query) awaitTrial(trialDeadline time.Time) {
	if q.entry.Query == nil {
		q.trial.Suspect(time.Time{})
		return
	}
	trialDeadline = quarantine.TrialWaitDeadline(trialDeadline, q.request.Arrived, q.end)
	q.trial.Suspect(trialDeadline)
	if trialDeadline.After(q.dispatchBy) {
		q.cause, q.failure = CauseSuspect, "servers crashed while running this request, and the trial of it by another query has not ended yet"
		q.dispatchBy = trialDeadline.Add(q.maxHedgeDelay())
	}
}

// clearedElsewhere reports whether the query is not or no longer on trial. If a server served the
// same request while this query waited, it ends the wait.
func (q *query) clearedElsewhere() bool {
	if q.trial.shard < 0 && !q.trial.probation && !q.dispatched() && q.gateway.guard.Standing(q.fingerprint()) == quarantine.Clear {
		q.trial.Clear()
	}
	return !q.trial.OnTrial()
}

// barredAnswer refuses a barred request, or fails it if a server may have run it.
func (q *query) barredAnswer() Answer {
	known := q.gateway.guard.CountRefusal(q.fingerprint())
	q.trace.fingerprint = known.Fingerprint.String()
	reason := fmt.Sprintf("%d servers crashed while running this request (fingerprint %v, seen by %v): fix the servers, then run mallowgap quarantine clear",
		known.Crashes, known.Fingerprint, known.Hosts)
	if q.dispatched() {
		return Answer{Outcome: Failed, Cause: CauseBarred, Reason: reason}
	}
	return notRun(CauseBarred, reason, barredRetryAfter)
}

// launchTrial sends the query to one server alone, if no call of it is in flight. A late trial is
// hedged like any other attempt. While other calls are in flight, the crash of a server would not
// prove anything, and might leave other callers no server of a shard. If the query is harmless, one
// of those calls returns a part, and the attempts held back are sent at once.
func (q *query) launchTrial(ctx context.Context, now time.Time) {
	t := &q.trial
	t.heldShards = t.heldShards[:0]
	running := q.running()
	needs := q.state.DueAttempts(now)
	rand.Shuffle(len(needs), func(i, j int) { needs[i], needs[j] = needs[j], needs[i] })
	for _, need := range needs {
		trialHedge := need.Hedge && need.Shard == t.shard
		if running && !trialHedge || !running && need.Hedge || now.Before(t.NextTrial()) {
			q.holdShard(need.Shard, now.Add(trialPollInterval))
			continue
		}
		a, ok := q.prepareAttempt(need, q.timeLeft(now), now)
		if !ok {
			continue
		}
		a.onTrial, running = true, true
		t.shard = need.Shard
		t.servers = append(t.servers, a.call.backend.ID)
		q.sendAttempts(ctx, []attempt{a}, now)
	}
}

// noteServed records that a server served the query, and releases the held shards unless an absence
// check still holds them.
func (q *query) noteServed(now time.Time) {
	if q.trial.Served() {
		q.gateway.guard.Clear(q.fingerprint(), now)
	}
	if len(q.absence.pending) == 0 {
		q.resumeHeldShards(now)
	}
}

// resumeHeldShards allows attempts to the held shards at once.
func (q *query) resumeHeldShards(now time.Time) {
	for _, n := range q.trial.heldShards {
		q.state.Postpone(n, now)
	}
	q.trial.heldShards = nil
}

// noteServerCrashed records that a server crashed while running the query.
func (q *query) noteServerCrashed(r result, now time.Time) {
	q.trace.fingerprint = q.fingerprint().String()
	crash := q.crashRecord(r)
	q.gateway.guard.LogCrash(q.fingerprint(), q.request.ID, r.server, q.groups[r.shard].service, r.elapsed, r.reason, crash)
	stop, trialEnded := q.trial.Crashed(crash, now)
	if stop {
		q.stopCalls()
		q.reportCrashes(now) // A repeat of the request may reach another host before the trial ends.
	}
	if trialEnded {
		q.trial.DelayTrial(rand.N(quarantine.MaxTrialJitter))
		q.reportCrashes(now)
	}
}

// crashRecord describes, for the quarantine, a server that crashed or whose connection was lost
// while it ran the query.
func (q *query) crashRecord(r result) quarantine.Crash {
	crash := quarantine.Crash{Server: r.server, OnTrial: slices.Contains(q.trial.servers, r.server)}
	if b := q.gateway.fleet.server(r.server); b != nil {
		crash.Server, crash.Version = processName(b.Server), b.Version
	}
	return crash
}

// noteConnectionLost records a lost connection to a server that is not known to have crashed.
func (q *query) noteConnectionLost(r result) {
	crash := q.crashRecord(r)
	if len(q.trial.brokenCalls) < quarantine.MaxListed || crash.OnTrial {
		q.trial.brokenCalls = append(q.trial.brokenCalls, crash)
	}
	if crash.OnTrial {
		q.trial.failedTrials++
	}
}

// trialsExhausted reports whether maxFailedTrials trials of the query lost their connections and no
// server served it. Whether the servers crashed is learned later from the store.
func (q *query) trialsExhausted() bool {
	return q.trial.failedTrials >= maxFailedTrials && q.trial.OnTrial()
}

// reportBrokenCalls hands lost connections to the guard, which learns from the store whether their
// servers crashed. It does nothing if a server served the query.
func (q *query) reportBrokenCalls(now time.Time) {
	if len(q.trial.brokenCalls) == 0 || q.trial.WasServed() {
		return
	}
	for _, crash := range q.trial.brokenCalls {
		q.gateway.guard.AddBrokenCall(quarantine.BrokenCall{Fingerprint: q.fingerprint(), Crash: crash, Description: describe(q.request, q.entry.Name), At: now})
	}
}

// reportCrashes tells all hosts about the servers that crashed while running the query since a
// server last served it, and reports whether there are any.
func (q *query) reportCrashes(now time.Time) bool {
	record, ok := q.trial.TakeReport()
	if !ok {
		return false
	}
	record.Description = describe(q.request, q.entry.Name)
	q.trial.barred = q.gateway.guard.AddLocal(q.fingerprint(), record, now) == quarantine.Barred
	return true
}

// reportServed records that the query was served, if the guard is active: another query of the same
// request may be in flight at a server that crashes. Otherwise the fingerprint is not worth its cost.
func (q *query) reportServed(now time.Time) {
	if q.trial.WasServed() && q.gateway.guard.Active() {
		q.gateway.guard.NoteServed(q.fingerprint(), now)
	}
}

// checkBarred records whether the request has become barred, unless this query is its claimed
// trial.
func (q *query) checkBarred() {
	q.barChanged = q.gateway.guard.BarredSignal()
	if !q.trial.probation && q.gateway.guard.Standing(q.fingerprint()) == quarantine.Barred {
		q.trial.barred = true
	}
}

// describe returns a description of a request for operators, in UTF-8.
func describe(r *Request, routeName string) string {
	description := r.Method + " " + r.Host + r.Target + " (route " + routeName + ")"
	return obs.ShortText(description, quarantine.MaxDescription)
}

// fingerprint returns the fingerprint of the content and caller of a request. Where requests carry
// keys of teams, the team stands for the caller, and the host that received the request and its
// relays find it in the same header.
func (g *Gateway) fingerprint(r *Request) quarantine.Fingerprint {
	caller := r.Header.Get(headerAuthorization)
	if caller == "" {
		caller = r.Header.Get(g.adapters.TeamHeader)
	}
	return quarantine.FingerprintOf(quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Caller: caller, Body: r.Body})
}

// serverVersions returns the software versions of the servers in service in the given groups.
func serverVersions(groups []*group) []string {
	var found []string
	for _, g := range groups {
		found = g.addVersions(found)
	}
	return found
}

// addVersions appends the software versions of the servers in service that are not in found.
func (g *group) addVersions(found []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		if !slices.Contains(found, b.Version) {
			found = append(found, b.Version)
		}
	}
	return found
}

package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/scarcity"
)

const (
	// slotRetryDelay is the delay before another attempt to obtain a slot.
	slotRetryDelay = 3 * time.Millisecond
	// refusalRetryDelay is the delay before a shard whose server refused is tried again.
	refusalRetryDelay = 8 * time.Millisecond
	// deniedRetryDelay is the delay before a shard is tried again that was denied an extra attempt
	// by the retry budget or had no server in service.
	deniedRetryDelay = 25 * time.Millisecond
	// lateAllowance is the time that a late query allows for a part, as a share of the time by
	// which it is late. Until the allowance reaches the objective the query yields to queries that
	// are on time.
	lateAllowance = 0.5
	// skipRecheck is the delay before a scarce shard that was skipped is considered again.
	skipRecheck = 50 * time.Millisecond
	// recheckStep and lateRecheckStep are the intervals, counted from the arrival of a query, at
	// which shards without a place are tried again, before and after the query is due. Common steps
	// let one relay call cover all shards of a failure domain.
	recheckStep     = 20 * time.Millisecond
	lateRecheckStep = 100 * time.Millisecond
	// maxRefusalsPerShard limits the attempts refused by servers, on average over the shards.
	maxRefusalsPerShard = 4
	// maxHedgeDelayShare limits the delay before a hedge, as a share of the objective.
	maxHedgeDelayShare = 0.4
	// maxSoftTimeoutShare limits how long a relay collects parts before its first reply, as a share
	// of the objective.
	maxSoftTimeoutShare = 0.2
	// singleProbeInterval is the interval at which one host probes an avoided server with a request
	// that is not a query. Such a request is not covered by other shards, so the caller pays for a
	// slow reply.
	singleProbeInterval = 8 * time.Second
	// fullRateProbers is the number of hosts up to which each probes at the full rate. In a larger
	// fleet the rate of each host is reduced in proportion.
	fullRateProbers = 6
	// lingerTimeout is how long calls that are no longer needed may run on, so that their
	// connections can be reused.
	lingerTimeout = 250 * time.Millisecond
)

// query serves one request. Its fields belong to the request's goroutine; calls report their
// results through events.
type query struct {
	gateway *Gateway
	view    *control.View
	entry   *route.Entry
	// rank is the rank of the request; 0 is the highest.
	rank      uint32
	request   *Request
	trace     *trace
	objective time.Duration
	// waited is how long the caller is estimated to have waited before this attempt.
	waited     time.Duration
	end        time.Time
	dispatchBy time.Time
	// due is when all parts must have arrived for the answer to meet the objective.
	due    time.Time
	groups []*group
	// farRegion is the preferred region for shards that have no server near this host.
	farRegion string
	state     *fanout.Query
	events    chan event
	// suspendedFor is the total suspension of the machine that was taken into account; resumed is
	// closed when the total grows.
	suspendedFor time.Duration
	resumed      <-chan struct{}
	// stopCalls cancels the calls in flight.
	stopCalls context.CancelFunc
	// barChanged is closed when some request becomes barred.
	barChanged <-chan struct{}
	// unsent holds the calls whose slots were taken and that are not sent yet.
	unsent []*call
	// askOrder decides which scarce shards are asked; skipped lists the shards that are currently not
	// asked.
	askOrder *scarcity.AskOrder
	skipped  []int
	// tried holds, by shard, the identifiers of the servers that were sent the request.
	tried [][]string
	// skipReasons holds, by shard, why it was not asked when it was last considered.
	skipReasons map[int]string
	// firstCounted records, by shard, whether the request was counted as a first attempt.
	firstCounted []bool
	// refusals counts the refusals by servers over all shards.
	refusals int
	// reachedServer reports whether an attempt reached a server, or may have.
	reachedServer bool
	// mayHaveRun reports whether a server failed while it had the request and may have run it.
	mayHaveRun bool
	// reply answers a request that is not a query: the reply of the server that served it, until then that
	// of the last one that failed.
	reply *Reply
	// trial tracks servers that crash while running the request.
	trial trial
	// absence tracks shards at whose servers nothing listened.
	absence absenceCheck
	// failure is the reason of the last failed attempt and cause its cause for metrics.
	failure string
	cause   Cause
}

// event holds what one call, direct or relayed, brought.
type event struct {
	results []result
	records []byte
	// floor is set if records smaller than it were omitted.
	floor []byte
}

// result is the result of one attempt at a shard.
type result struct {
	shard     int
	outcome   relaypb.Outcome
	signature string
	reply     *Reply
	server    string
	reason    string
	elapsed   time.Duration
	// unreachable reports that the request was not sent because the server could not be reached.
	// wait, if not zero, is the time after which to try a server again that was not sent the
	// request, because it would have been too late or the server is cold.
	unreachable bool
	// absent reports that the request was not sent because nothing listens at the server's address.
	absent bool
	wait   time.Duration
	// load is the load that the server reported. runTime is how long the request ran at the server,
	// without its wait there; 0 is unknown.
	load    Load
	runTime time.Duration
	// serverCrashed reports that the call failed and its server crashed; connectionLost, that the call
	// failed and only its connection is known to be gone; barred, that the relay did not send the
	// request because it knows it to be barred.
	serverCrashed, connectionLost, barred bool
}

// run makes attempts until the request is answered, refused or timed out.
func (q *query) run(ctx context.Context) Answer {
	callCtx := q.newCallContext(ctx)
	defer q.releaseCalls(ctx)
	for {
		now := time.Now()
		aborting := q.gateway.isAborting()
		if now.Before(q.end) && !aborting {
			q.launch(callCtx, now)
		}
		if q.trial.barred {
			return q.barredAnswer()
		}
		if q.absence.insufficient() && !q.dispatched() {
			return q.absentAnswer(now)
		}
		if q.trialsExhausted() {
			return Answer{Outcome: Failed, Cause: CauseServerFailed, Reason: "connections broke repeatedly when the request was tried on single servers, after other servers had exited while running it"}
		}
		if q.state.Finished(now) || q.onlySkippedRemain() {
			return q.answer(now)
		}
		if aborting {
			return q.abortedAnswer(now)
		}
		if !q.dispatched() && !now.Before(q.dispatchBy) {
			return notRun(q.cause, q.failure, q.retryAfter())
		}
		if callerLeft := q.awaitEvent(ctx, now); callerLeft {
			if q.state.Finished(time.Now()) {
				return q.answer(time.Now())
			}
			return Answer{Outcome: CallerLeft, Cause: CauseCallerLeft, Reason: "the caller closed its connection"}
		}
		if callCtx.Err() != nil {
			callCtx = q.newCallContext(ctx)
		}
	}
}

// onlySkippedRemain reports whether enough shards are covered and all others were skipped, so that
// there is nothing to wait for.
func (q *query) onlySkippedRemain() bool {
	return len(q.skipped) > 0 && q.state.HasMinShare() && !q.running() && len(q.skipped) == len(q.state.MissingShards())
}

// newCallContext returns the context for the calls made from now on. It is independent of ctx, so
// that calls may outlive the query briefly.
func (q *query) newCallContext(ctx context.Context) context.Context {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	q.stopCalls = cancel
	return callCtx
}

// releaseCalls cancels the calls in flight: at once if the caller has left or the request is
// barred, otherwise after lingerTimeout.
func (q *query) releaseCalls(ctx context.Context) {
	if ctx.Err() != nil || !q.running() || q.trial.barred {
		q.stopCalls()
		return
	}
	time.AfterFunc(lingerTimeout, q.stopCalls)
}

// dispatched reports whether a server has or had the request, or is being sent it.
func (q *query) dispatched() bool { return q.reachedServer || q.running() }

func (q *query) running() bool {
	for n := range q.groups {
		if q.state.Running(n) > 0 {
			return true
		}
	}
	return false
}

// awaitEvent waits for an event or the time of the next decision, and reports whether the caller
// has left.
func (q *query) awaitEvent(ctx context.Context, now time.Time) (callerLeft bool) {
	next := q.state.NextWakeup(now)
	if !q.dispatched() && q.dispatchBy.Before(next) {
		next = q.dispatchBy
	}
	timer := time.NewTimer(max(next.Sub(now), 0))
	defer timer.Stop()
	var afterReplies func()
	select {
	case e := <-q.events:
		q.handleEvent(e)
	case <-q.barChanged:
		afterReplies = q.checkBarred
	case <-q.resumed:
		afterReplies = q.applySuspension
	case <-q.gateway.aborting:
	case <-timer.C:
	case <-ctx.Done():
		callerLeft = true
	}
	// A host that was held up finds replies beside whatever else happened meanwhile.
	q.drainEvents()
	if afterReplies != nil {
		afterReplies()
	}
	return callerLeft
}

// drainEvents handles the events that are ready, without waiting.
func (q *query) drainEvents() {
	for {
		select {
		case e := <-q.events:
			q.handleEvent(e)
		default:
			return
		}
	}
}

func (q *query) handleEvent(e event) {
	block := fanout.Block{Records: e.records, Floor: e.floor}
	for _, r := range e.results {
		q.resolveAbsence(r)
		q.reachedServer = q.reachedServer || r.outcome != relaypb.Outcome_NOT_SENT
		switch r.outcome {
		case relaypb.Outcome_PART:
			q.state.Ended(r.shard)
			block.Shards = append(block.Shards, r.shard)
			block.Signatures = append(block.Signatures, r.signature)
			q.keepReply(r)
			q.noteServed(time.Now())
		case relaypb.Outcome_NOT_RUN, relaypb.Outcome_NOT_SENT:
			q.handleRefusal(r)
		default:
			q.handleFailure(r)
		}
	}
	if len(block.Shards) > 0 {
		q.recordCosts(e.results)
		q.state.Offer(block)
	}
}

// keepReply keeps the reply of a server, unless another one has served the request already.
func (q *query) keepReply(r result) {
	if r.reply != nil && !q.state.Covered(r.shard) {
		q.reply = r.reply
	}
}

func (q *query) handleRefusal(r result) {
	now := time.Now()
	q.trace.note("shard %d: %s refused after %v: %s", r.shard, r.server, r.elapsed, r.reason)
	q.failure = r.reason
	if r.barred && !q.trial.WasServed() && !q.trial.probation {
		q.trial.barred = true
	}
	if r.outcome == relaypb.Outcome_NOT_SENT {
		q.cause = CauseUnreachable
		q.state.NotSent(r.shard)
	} else {
		q.cause = CauseRefused
		q.state.Refused(r.shard)
		q.refusals++
	}
	if !q.groups[r.shard].hasUntried(q.tried[r.shard], q.entry.HomeRegions, now) {
		q.scheduleRecheck(r.shard, r.wait, now)
	}
	for _, n := range q.skipped {
		q.state.Postpone(n, now) // Another scarce shard may replace this one.
	}
	q.skipped = nil
	if q.refusals >= maxRefusalsPerShard*len(q.groups) {
		q.state.GiveUp(r.shard)
	}
}

// scheduleRecheck defers a shard whose server has no place until wait has passed, rounded up to the
// next step.
func (q *query) scheduleRecheck(n int, wait time.Duration, now time.Time) {
	if wait == 0 {
		q.state.Postpone(n, now.Add(refusalRetryDelay))
		return
	}
	step := recheckStep
	if !now.Before(q.due) {
		step = lateRecheckStep
	}
	steps := now.Add(wait).Sub(q.request.Arrived)/step + 1
	q.state.Postpone(n, q.request.Arrived.Add(steps*step))
}

func (q *query) handleFailure(r result) {
	q.trace.note("shard %d: %s failed after %v: %s", r.shard, r.server, r.elapsed, r.reason)
	q.failure = r.reason
	q.cause = CauseServerFailed
	q.mayHaveRun = true
	switch {
	case r.serverCrashed:
		q.noteServerCrashed(r, time.Now())
	case r.connectionLost:
		q.noteConnectionLost(r)
	}
	q.state.Ended(r.shard)
	q.keepReply(r)
	if !q.entry.Idempotent || r.isFinal() {
		q.state.GiveUp(r.shard)
	}
}

// isFinal reports whether another server would answer alike because the request itself is invalid.
func (r result) isFinal() bool {
	return r.reply != nil && r.reply.Status < http.StatusInternalServerError
}

// retryAfter returns the time after which a refused caller should retry.
func (q *query) retryAfter() time.Duration {
	return max(minRetryAfter, time.Duration(dispatchShare*float64(q.objective)))
}

// answer returns the answer of a query that is finished.
func (q *query) answer(now time.Time) Answer {
	if q.state.HasMinShare() {
		return q.success()
	}
	if q.entry.Query == nil && q.reply != nil {
		return Answer{Outcome: Forwarded, Reply: q.reply, Cause: CauseServerFailed, Reason: "the server failed"}
	}
	if !q.mayHaveRun && !q.running() && q.state.CoveredCount() == 0 {
		return notRun(q.cause, q.failure, q.retryAfter())
	}
	if q.running() {
		q.cause, q.failure = CauseSlow, "servers did not answer in time"
	}
	if !now.Before(q.end) {
		return Answer{Outcome: TimedOut, Cause: q.cause, Reason: q.failure}
	}
	return Answer{Outcome: Failed, Cause: q.cause, Reason: q.failure}
}

// abortedAnswer returns the answer of a query that is not finished when a graceful shutdown ends: what
// has arrived if it suffices, otherwise whether the request may have run.
func (q *query) abortedAnswer(now time.Time) Answer {
	a := q.answer(now)
	if a.Outcome == Failed || a.Outcome == NotRun {
		a.Cause, a.Reason = CauseStopping, "the host that served the request stops"
		q.gateway.aborted.Add(1)
	}
	return a
}

func (q *query) success() Answer {
	if q.entry.Query == nil {
		return Answer{Outcome: Forwarded, Reply: q.reply}
	}
	a := Answer{Outcome: Gathered, Gathered: q.state.Answer()}
	if a.Gathered.Missing > 0 {
		a.Cause, a.Reason = q.cause, q.failure
		if q.running() {
			a.Cause, a.Reason = CauseSlow, "servers did not answer in time"
		}
	}
	return a
}

// missingShards lists the shards that are not in the answer, each with the servers that were sent
// the request or the reason why none was.
func (q *query) missingShards() []string {
	var names []string
	for _, n := range q.state.MissingShards() {
		servers := strings.Join(q.tried[n], " ")
		if servers == "" {
			servers = "not asked: " + q.skipReasons[n]
		}
		names = append(names, q.groups[n].service+": "+servers)
	}
	return names
}

// finish reports servers that crashed while running the query and completes the trace for the log.
func (q *query) finish(a Answer) Answer {
	if !q.reportCrashes(time.Now()) {
		q.reportServed(time.Now())
	}
	q.reportBrokenCalls(time.Now())
	q.trace.limit = q.end.Sub(q.request.Arrived)
	if q.entry.Query == nil {
		q.trace.servers = q.tried[0]
	} else if a.Outcome != Gathered || a.Gathered.Missing > 0 {
		q.trace.missing = q.missingShards()
	}
	return a
}

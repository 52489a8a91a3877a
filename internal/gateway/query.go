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
	// slotRetry is the wait before a slot is looked for again.
	slotRetry = 3 * time.Millisecond
	// refusalRetry is the wait before a shard whose server refused is tried
	// again.
	refusalRetry = 8 * time.Millisecond
	// deniedRetry is the wait before the budget is asked again.
	deniedRetry = 25 * time.Millisecond
	// lateGrowth is the time that a late query allows a part, as a share of the time for
	// which it has been late: twice its objective late it takes part again.
	lateGrowth = 0.5
	// leftOutFor is after what time a scarce shard that was left out is considered again
	// where nothing else happens before.
	leftOutFor = 50 * time.Millisecond
	// lookStep and lateLookStep are the steps, from the arrival of a query, at which it looks
	// again for places that it did not get, before and after it is due: together, so that
	// one message asks for all of a failure domain.
	lookStep     = 20 * time.Millisecond
	lateLookStep = 100 * time.Millisecond
	// maxRefusals bounds the attempts of one shard that servers refused.
	maxRefusals = 4
	// hedgeCap bounds the delay before a hedge, as a share of the objective.
	hedgeCap = 0.4
	// softCap bounds for how long a relay gathers before its first reply, as a
	// share of the objective.
	softCap = 0.2
	// singleProbeEvery is how often one host sends an avoided server a request
	// that is not a query, and has no other server to make up for a slow one.
	singleProbeEvery = 8 * time.Second
	// probingHosts is the number of hosts that may each probe at the full rate:
	// more share that rate, as each has fewer queries to probe with.
	probingHosts = 6
	// lingerTime is for how long calls whose answer came too late may still
	// run, so that their connections can be used again.
	lingerTime = 250 * time.Millisecond
)

// query serves one request. Its fields belong to the goroutine of the request;
// calls report through events.
type query struct {
	gateway   *Gateway
	view      *control.View
	entry     *route.Entry
	request   *Request
	trace     *trace
	objective time.Duration
	end       time.Time
	offerBy   time.Time
	// due is when parts must have come for the answer to be in time.
	due    time.Time
	groups []*group
	// farRegion is the far region that this query prefers.
	farRegion string
	state     *fanout.Query
	events    chan event
	// asleep is for how long the machine has been suspended, woken is closed when that grows.
	asleep time.Duration
	woken  <-chan struct{}
	// stopCalls ends the calls that run.
	stopCalls context.CancelFunc
	// news is closed when some request is barred.
	news <-chan struct{}
	// choice decides which scarce shards are asked; leftOut are those that are not now.
	choice  *scarcity.Choice
	leftOut []int
	// tried holds the servers that were sent the request, by shard.
	tried [][]string
	// putOff says by shard why it was not asked when it was last looked at.
	putOff map[int]string
	// counted tells by shard that the request counts as a first attempt there.
	counted []bool
	// refusals counts what servers refused, all shards together.
	refusals int
	// arrived tells that an attempt reached a server, or may have.
	arrived bool
	// mayHaveRun tells that a server failed at the request, or may have run it.
	mayHaveRun bool
	// reply is the best reply of a request that is not a query.
	reply *Reply
	// trial is what the query does about servers that end under it.
	trial trial
	// doubt is what the query does about shards whose servers were absent.
	doubt doubt
	// failure is the last reason for which an attempt failed, code its kind.
	failure string
	code    Code
}

// event is what one call, direct or through a relay, brought.
type event struct {
	results []result
	records []byte
	// floor is set where smaller records were left out.
	floor []byte
}

// result is what became of the attempt at one shard.
type result struct {
	shard     int
	outcome   relaypb.Outcome
	signature string
	reply     *Reply
	server    string
	reason    string
	elapsed   time.Duration
	// unreachable tells of a call that was not sent that the server could not be reached,
	// wait of one that would have come too late how long those before it take.
	unreachable bool
	// absent tells of one that was not sent that nothing listens at the server's address.
	absent bool
	wait   time.Duration
	// load is what the server told of its load, ran how long the request ran there
	// without its wait; 0 is unknown.
	load Load
	ran  time.Duration
	// ended tells of a call that failed that the server ended with it, brokeOff that only its
	// connection is known to have ended; barred of one that was not sent that the relay knows
	// that servers end under the request.
	ended, brokeOff, barred bool
}

// run makes attempts until the request is answered or its time is up.
func (q *query) run(ctx context.Context) Answer {
	calls := q.newCalls(ctx)
	defer q.release(ctx)
	for {
		now := time.Now()
		if now.Before(q.end) {
			q.launch(calls, now)
		}
		if q.trial.barred {
			return q.barredAnswer()
		}
		if q.doubt.hopeless() && !q.offered() {
			return q.absentAnswer(now)
		}
		if q.trialFailed() {
			return Answer{Outcome: Failed, Code: CodeServerFailed, Reason: "servers broke off when they were sent the request alone, after others had ended under it"}
		}
		if q.state.Finished(now) || q.onlyLeftOut() {
			return q.answer(now)
		}
		if !q.offered() && !now.Before(q.offerBy) {
			return notRun(q.code, q.failure, q.retryAfter())
		}
		if left := q.wait(ctx, now); left {
			return Answer{Outcome: CallerLeft, Code: CodeCallerLeft, Reason: "the caller closed its connection"}
		}
		if calls.Err() != nil {
			calls = q.newCalls(ctx)
		}
	}
}

// onlyLeftOut reports whether enough shards are in and all others are left out, so that
// nothing is awaited.
func (q *query) onlyLeftOut() bool {
	return len(q.leftOut) > 0 && q.state.Enough() && !q.running() && len(q.leftOut) == len(q.state.MissingShards())
}

// newCalls returns the context of the calls that are made from now on, which outlive the
// query for a moment.
func (q *query) newCalls(ctx context.Context) context.Context {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	q.stopCalls = cancel
	return calls
}

// release ends the calls that still run: at once where the caller has left or servers end
// under the request, else after a while.
func (q *query) release(ctx context.Context) {
	if ctx.Err() != nil || !q.running() || q.trial.barred {
		q.stopCalls()
		return
	}
	time.AfterFunc(lingerTime, q.stopCalls)
}

// offered reports whether a server has the request, had it, or is being sent it.
func (q *query) offered() bool { return q.arrived || q.running() }

func (q *query) running() bool {
	for n := range q.groups {
		if q.state.Running(n) > 0 {
			return true
		}
	}
	return false
}

// wait waits for an event or the next decision, and reports whether the caller
// has left.
func (q *query) wait(ctx context.Context, now time.Time) bool {
	next := q.state.Next(now)
	if !q.offered() && q.offerBy.Before(next) {
		next = q.offerBy
	}
	timer := time.NewTimer(max(next.Sub(now), 0))
	defer timer.Stop()
	select {
	case e := <-q.events:
		q.take(e)
		q.takeReady()
	case <-q.news:
		q.news = q.gateway.guard.News()
		q.heardNews()
	case <-q.woken:
		q.slept()
	case <-timer.C:
	case <-ctx.Done():
		return true
	}
	return false
}

// takeReady takes what has come without waiting.
func (q *query) takeReady() {
	for {
		select {
		case e := <-q.events:
			q.take(e)
		default:
			return
		}
	}
}

func (q *query) take(e event) {
	block := fanout.Block{Records: e.records, Floor: e.floor}
	for _, r := range e.results {
		q.settleDoubt(r)
		q.arrived = q.arrived || r.outcome != relaypb.Outcome_NOT_SENT
		switch r.outcome {
		case relaypb.Outcome_PART:
			q.state.Ended(r.shard)
			block.Shards = append(block.Shards, r.shard)
			block.Signatures = append(block.Signatures, r.signature)
			q.keep(r)
			q.served(time.Now())
		case relaypb.Outcome_NOT_RUN, relaypb.Outcome_NOT_SENT:
			q.takeRefusal(r)
		default:
			q.takeFailure(r)
		}
	}
	if len(block.Shards) > 0 {
		q.noteCosts(e.results)
		q.state.Offer(block)
	}
}

func (q *query) keep(r result) {
	if r.reply != nil {
		q.reply = r.reply
	}
}

func (q *query) takeRefusal(r result) {
	now := time.Now()
	q.trace.note("shard %d: %s refused after %v: %s", r.shard, r.server, r.elapsed, r.reason)
	q.failure = r.reason
	if r.barred && !q.trial.WasServed() && !q.trial.probation {
		q.trial.barred = true
	}
	if r.outcome == relaypb.Outcome_NOT_SENT {
		q.code = CodeUnreachable
		q.state.NotSent(r.shard)
	} else {
		q.code = CodeRefused
		q.state.Refused(r.shard)
		q.refusals++
	}
	if !q.groups[r.shard].hasOther(q.tried[r.shard], q.entry.Homes, now) {
		q.lookAgain(r.shard, r.wait, now)
	}
	for _, n := range q.leftOut {
		q.state.Later(n, now) // Another scarce shard may take this one's place.
	}
	q.leftOut = nil
	if q.refusals >= maxRefusals*len(q.groups) {
		q.state.GiveUp(r.shard)
	}
}

// lookAgain puts a shard off for which there is no place until those before it have run.
func (q *query) lookAgain(n int, wait time.Duration, now time.Time) {
	if wait == 0 {
		q.state.Later(n, now.Add(refusalRetry))
		return
	}
	step := lookStep
	if !now.Before(q.due) {
		step = lateLookStep
	}
	steps := now.Add(wait).Sub(q.request.Arrived)/step + 1
	q.state.Later(n, q.request.Arrived.Add(steps*step))
}

func (q *query) takeFailure(r result) {
	q.trace.note("shard %d: %s failed after %v: %s", r.shard, r.server, r.elapsed, r.reason)
	q.failure = r.reason
	q.code = CodeServerFailed
	q.mayHaveRun = true
	switch {
	case r.ended:
		q.serverEnded(r, time.Now())
	case r.brokeOff:
		q.brokeOff(r)
	}
	q.state.Ended(r.shard)
	if r.reply != nil {
		q.reply = r.reply
	}
	if !q.entry.Idempotent || r.final() {
		q.state.GiveUp(r.shard)
	}
}

// final reports whether another server would answer alike: the request itself
// is at fault.
func (r result) final() bool {
	return r.reply != nil && r.reply.Status < http.StatusInternalServerError
}

// retryAfter is when a caller that was refused should come back.
func (q *query) retryAfter() time.Duration {
	return max(comeBack, time.Duration(offerShare*float64(q.objective)))
}

// answer returns what goes to the caller.
func (q *query) answer(now time.Time) Answer {
	if q.state.Enough() {
		return q.success()
	}
	if q.entry.Query == nil && q.reply != nil {
		return Answer{Outcome: Forwarded, Reply: q.reply, Code: CodeServerFailed, Reason: "the server failed"}
	}
	if !q.mayHaveRun && !q.running() && q.state.CoveredCount() == 0 {
		return notRun(q.code, q.failure, q.retryAfter())
	}
	if q.running() {
		q.code, q.failure = CodeSlow, "servers did not answer in time"
	}
	if !now.Before(q.end) {
		return Answer{Outcome: TimedOut, Code: q.code, Reason: q.failure}
	}
	return Answer{Outcome: Failed, Code: q.code, Reason: q.failure}
}

func (q *query) success() Answer {
	if q.entry.Query == nil {
		return Answer{Outcome: Forwarded, Reply: q.reply}
	}
	a := Answer{Outcome: Gathered, Gathered: q.state.Answer()}
	if a.Gathered.Missing > 0 {
		a.Code, a.Reason = q.code, q.failure
		if q.running() {
			a.Code, a.Reason = CodeSlow, "servers did not answer in time"
		}
	}
	return a
}

// missing names the shards that are not in the answer, each with the servers
// that were sent the request, or why none was.
func (q *query) missing() []string {
	var names []string
	for _, n := range q.state.MissingShards() {
		what := strings.Join(q.tried[n], " ")
		if what == "" {
			what = "not asked: " + q.putOff[n]
		}
		names = append(names, q.groups[n].service+": "+what)
	}
	return names
}

// finish notes for the log what the answer depended on.
func (q *query) finish(a Answer) Answer {
	q.tellEnds(time.Now())
	q.awaitWitnesses(time.Now())
	q.trace.limit = q.end.Sub(q.request.Arrived)
	if q.entry.Query == nil {
		q.trace.servers = q.tried[0]
	} else if a.Outcome != Gathered || a.Gathered.Missing > 0 {
		q.trace.missing = q.missing()
	}
	return a
}

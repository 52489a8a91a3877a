package home

import (
	"context"
	"errors"
	"time"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/scatter"
	"github.com/mallowgap/mallowgap/snapshot"
)

var errWrongAttempt = errors.New("the leaf replied with the attempt_id of another attempt: check that the backend server returns the attempt_id of the request")

const (
	// replyMarginShare is the share (0 to 1) of the remaining time that is reserved for
	// returning the reply to the caller.
	replyMarginShare = 0.05
	// maxReplyMargin bounds the time reserved by replyMarginShare.
	maxReplyMargin = 5 * time.Millisecond
	// redispatchInterval is how often a query with queued attempts retries dispatch,
	// since ejections and waits expire without an event.
	redispatchInterval = 5 * time.Millisecond
	// maxRestarts bounds how often a query may start over on another snapshot.
	maxRestarts = 1
)

// query is one admitted request. The mutex of its service guards the fields that
// change.
type query struct {
	service       *Service
	ctx           context.Context
	cancel        context.CancelFunc
	req           *callerpb.AskRequest
	rank          uint32
	notRepeatable bool
	deadline      time.Time
	start         time.Time
	results       chan attemptResult
	// closed is closed when the query finishes, so that late results are dropped.
	closed chan struct{}
	// wakeup wakes the query after a shard was given up.
	wakeup chan struct{}

	topology *topology
	gather   *scatter.Gather
	running  []*attempt
	// tried holds, for each shard, the bit set of replicas not to be used again.
	tried []uint64
	// hedgeAt holds the time at which each shard's hedge is due; zero if none is.
	hedgeAt []time.Time
	// retryAt holds the time of each shard's delayed retry after a leaf shed the
	// request; zero if none is due.
	retryAt []time.Time
	// wakeAt is the earliest time at which the query must wake up; zero if there is
	// none.
	wakeAt time.Time
	// sequence is the position of the query in the order of admission.
	sequence uint64
	// restarts is how often the query started over on another snapshot.
	restarts int
	// maybeExecuted is the number of attempts that a leaf may have executed.
	maybeExecuted int
	// done is set when the query finishes.
	done       bool
	quarantine quarantineState
	// result, serviceTime and barredText are set when the query finishes: the merged parts,
	// the usual time of a request of its class and, if its content is barred, why.
	result      scatter.Result
	serviceTime time.Duration
	barredText  string
}

// newQuery returns a query on the current topology. s.mu must be held.
func (s *Service) newQuery(ctx context.Context, req *callerpb.AskRequest, rank uint32, deadline time.Time, initial quarantineState) *query {
	q := &query{
		service:       s,
		req:           req,
		rank:          rank,
		topology:      s.topology,
		notRepeatable: req.GetNotRepeatable(),
		deadline:      deadline,
		start:         time.Now(),
		closed:        make(chan struct{}),
		wakeup:        make(chan struct{}, 1),
		quarantine:    initial,
	}
	q.ctx, q.cancel = context.WithCancel(ctx)
	q.results = make(chan attemptResult, 2*len(q.topology.shards))
	s.sequence++
	q.sequence = s.sequence
	q.topology.active++
	return q
}

// fanOut starts an attempt for every shard, pinned to the snapshot that the most shards
// can serve.
func (q *query) fanOut() {
	t, now := q.topology, time.Now()
	pinned := scatter.Snapshot{Epoch: t.spec.GetEpoch(), Version: t.tracker.Choose().Version}
	early := scatter.EarlyStop{
		Share: t.spec.GetEarlyShare(),
		After: time.Duration(t.spec.GetEarlyAfterMs()) * time.Millisecond,
	}
	q.gather = scatter.New(t.names, pinned, early, q.start)
	q.tried = make([]uint64, len(t.shards))
	q.hedgeAt = make([]time.Time, len(t.shards))
	q.retryAt = make([]time.Time, len(t.shards))
	q.service.budget.AddFirstAttempts(len(t.shards))
	for i := range t.shards {
		q.startAttempt(i, obs.First, now)
	}
}

// startAttempt sends an attempt for a shard, or queues it until a slot is free.
func (q *query) startAttempt(shard int, kind obs.AttemptKind, now time.Time) {
	if q.holdForTrial(shard, kind, now) {
		return
	}
	sh := q.topology.shards[shard]
	sh.enqueue(&slotWaiter{query: q, rank: q.service.slotRank(q.rank), sequence: q.sequence, excluded: q.excluded(shard), kind: kind})
	q.service.dispatch(q.topology, shard, now)
}

// excluded returns the bit set of a shard's replicas that this query must not use:
// those already tried and those without the pinned version.
func (q *query) excluded(shard int) uint64 {
	mask := q.tried[shard]
	version := q.gather.Snapshot().Version
	if version == snapshot.Any {
		return mask
	}
	for i := range q.topology.shards[shard].replicas.Leaves {
		if !q.topology.tracker.Holds(shard, i, version) {
			mask |= 1 << i
		}
	}
	return mask
}

// runningReplicas returns the bit set of a shard's replicas that have an attempt in
// flight.
func (q *query) runningReplicas(shard int) uint64 {
	var mask uint64
	for _, a := range q.running {
		if a.shard == shard {
			mask |= 1 << a.leaf
		}
	}
	return mask
}

// recordStart records an attempt that is about to be sent and schedules its hedge.
func (q *query) recordStart(a *attempt) {
	q.running = append(q.running, a)
	q.maybeExecuted++
	q.gather.Started(a.shard, a.id)
	if a.kind != obs.First || q.notRepeatable || !q.service.options.Hedging {
		return
	}
	if delay, ok := q.topology.shards[a.shard].hedgeDelay.Delay(); ok {
		q.hedgeAt[a.shard] = a.start.Add(delay)
		q.wakeBy(q.hedgeAt[a.shard])
	}
}

// wakeBy makes the query wake up at the given time or earlier.
func (q *query) wakeBy(at time.Time) {
	if q.wakeAt.IsZero() || at.Before(q.wakeAt) {
		q.wakeAt = at
	}
}

func (q *query) request(a *attempt) *leafpb.ExecuteRequest {
	return &leafpb.ExecuteRequest{
		AttemptId:     a.id,
		RequestId:     q.req.GetRequestId(),
		Service:       q.req.GetService(),
		Shard:         q.topology.names[a.shard],
		Epoch:         q.gather.Snapshot().Epoch,
		IndexVersion:  q.gather.Snapshot().Version,
		Query:         q.req.GetQuery(),
		NotRepeatable: q.notRepeatable,
	}
}

// closeUnreachable gives up a shard that has no usable replica left, unless an attempt
// for it is in flight.
func (q *query) closeUnreachable(shard int) {
	if q.gather.Running(shard) > 0 {
		return
	}
	reason := scatter.ReasonNone
	if q.tried[shard] == 0 {
		reason = scatter.NoReplica
		if q.excluded(shard) != 0 {
			reason = scatter.SnapshotUnavailable
		}
	}
	q.gather.GiveUp(shard, reason)
	if q.quarantine.trialShard == shard {
		q.quarantine.trialShard = noTrialShard
	}
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// loop runs the query until it is answered, barred, canceled or out of time, and finishes it.
func (q *query) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for wait, running := q.step(q.fanOut); running; {
		timer.Reset(wait)
		select {
		case r := <-q.results:
			wait, running = q.step(func() {
				q.onResultOrPanic(r)
				q.restartHeld(time.Now())
			})
		case <-timer.C:
			wait, running = q.step(func() {
				q.onTimer(time.Now())
				q.restartHeld(time.Now())
			})
		case <-q.wakeup:
			wait, running = q.step(func() { q.restartHeld(time.Now()) })
		case <-q.quarantine.barredChanged:
			wait, running = q.step(q.recheckBarred)
		case <-q.ctx.Done():
			wait, running = q.step(func() {})
		}
	}
}

// step handles an event under the lock. It returns how long the query may wait for the next one, or
// finishes the query and returns false.
func (q *query) step(handle func()) (wait time.Duration, running bool) {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	handle()
	now := time.Now()
	if q.quarantine.barred || q.gather.Finished(now) || !now.Before(q.deadline) || q.ctx.Err() != nil {
		q.finish()
		return 0, false
	}
	return q.sleepTime(now), true
}

// abort finishes a query that panicked, and returns how many of its attempts a leaf may have
// executed.
func (q *query) abort() int {
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	if !q.done {
		q.finish()
	}
	return q.maybeExecuted
}

// sleepTime returns how long the query may wait for an event.
func (q *query) sleepTime(now time.Time) time.Duration {
	at := q.deadline
	if early, ok := q.gather.EarlyAt(); ok && early.Before(at) {
		at = early
	}
	if !q.wakeAt.IsZero() && q.wakeAt.Before(at) {
		at = q.wakeAt
	}
	return max(at.Sub(now), 0)
}

// onTimer sends the queued attempts, delayed retries and hedges that are due.
func (q *query) onTimer(now time.Time) {
	q.wakeAt = time.Time{}
	for i := range q.topology.shards {
		if !q.gather.Open(i) {
			continue
		}
		q.service.dispatch(q.topology, i, now)
		if q.takeDue(&q.retryAt[i], now) {
			q.startAttempt(i, obs.RetryRefused, now)
		}
		if q.takeDue(&q.hedgeAt[i], now) && q.service.hedge(q, i, now) {
			q.hedgeAt[i] = now.Add(redispatchInterval)
			q.wakeBy(q.hedgeAt[i])
		}
	}
}

// takeDue reports whether the time in at has come and then clears it. Before that, it
// makes the query wake up at that time.
func (q *query) takeDue(at *time.Time, now time.Time) bool {
	if at.IsZero() {
		return false
	}
	if now.Before(*at) {
		q.wakeBy(*at)
		return false
	}
	*at = time.Time{}
	return true
}

// finish ends the query, frees its place in the queue and sets the result. s.mu must be held.
func (q *query) finish() {
	s := q.service
	q.done = true
	defer func() { q.serviceTime = s.queue.Service(q.rank) }()
	defer q.release()
	if q.gather != nil {
		q.result = q.gather.Close()
	}
	if now := time.Now(); !q.recordCrashes(now) {
		q.recordServed(now)
	}
	if q.quarantine.barred {
		q.barredText = s.barredMessage(fingerprint(q.req))
	}
}

// release cancels the running attempts and gives up what the query holds.
func (q *query) release() {
	s := q.service
	close(q.closed)
	for _, a := range q.running {
		if !a.outlivesQuery {
			a.cancel()
		}
	}
	s.queue.Done(q.rank, time.Since(q.start))
	s.queue.Admit()
	s.releaseTopology(q.topology)
}

// releaseTopology drops an old topology when its last query ends.
func (s *Service) releaseTopology(t *topology) {
	t.active--
	if t.active > 0 || t == s.topology {
		return
	}
	for i, other := range s.oldTopologies {
		if other == t {
			s.oldTopologies = append(s.oldTopologies[:i], s.oldTopologies[i+1:]...)
			s.removeUnusedLeaves()
			return
		}
	}
}

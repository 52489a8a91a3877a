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

var errWrongAttempt = errors.New("the leaf replied to another attempt: check the backend server")

const (
	// replyMargin is the share of the time left that is kept for the way back
	// to the caller.
	replyMargin = 0.05
	// longestMargin bounds it.
	longestMargin = 5 * time.Millisecond
	// dispatchTick is the interval at which a query with waiting shards looks
	// again, for replicas that became worth using by the passing of time.
	dispatchTick = 5 * time.Millisecond
	// maxRestarts is how often a query may begin anew on another snapshot.
	maxRestarts = 1
)

// query is one admitted request. Its fields are guarded by the mutex of its
// service, except those that never change.
type query struct {
	service  *Service
	ctx      context.Context
	cancel   context.CancelFunc
	ask      *callerpb.AskRequest
	rank     uint32
	once     bool
	deadline time.Time
	start    time.Time
	events   chan event
	gone     chan struct{}
	// nudge wakes the query when a shard was closed for it.
	nudge chan struct{}

	plan    *plan
	gather  *scatter.Gather
	running []*attempt
	// tried are the replicas of each shard not to be used again.
	tried   []uint64
	hedgeAt []time.Time
	// wantAt are the times at which shards whose replicas shed the request are
	// asked again.
	wantAt   []time.Time
	nextLook time.Time
	order    uint64
	restarts int
	// reached is the number of attempts that may have been executed.
	reached int
	done    bool
	// trial is what the query does about leaves that end under it.
	trial trial
}

// newQuery pins an admitted request to the plan in force.
func (s *Service) newQuery(ctx context.Context, ask *callerpb.AskRequest, rank uint32, deadline time.Time, begin trial) *query {
	q := &query{
		service:  s,
		ask:      ask,
		rank:     rank,
		plan:     s.plan,
		once:     ask.GetNotRepeatable(),
		deadline: deadline,
		start:    time.Now(),
		gone:     make(chan struct{}),
		nudge:    make(chan struct{}, 1),
		trial:    begin,
	}
	q.ctx, q.cancel = context.WithCancel(ctx)
	q.events = make(chan event, 2*len(q.plan.shards))
	s.order++
	q.order = s.order
	q.plan.active++
	return q
}

// fanOut begins the gather on the snapshot that the most shards can serve.
func (q *query) fanOut() {
	p, now := q.plan, time.Now()
	pinned := scatter.Snapshot{Epoch: p.spec.GetEpoch(), Version: p.tracker.Choose().Version}
	early := scatter.Early{
		Share: p.spec.GetEarlyShare(),
		After: time.Duration(p.spec.GetEarlyAfterMs()) * time.Millisecond,
	}
	q.gather = scatter.New(p.names, pinned, early, q.start)
	q.tried = make([]uint64, len(p.shards))
	q.hedgeAt = make([]time.Time, len(p.shards))
	q.wantAt = make([]time.Time, len(p.shards))
	q.service.budget.FirstAttempts(len(p.shards))
	for i := range p.shards {
		q.want(i, obs.First, now)
	}
}

// want asks for an attempt on a shard, now or when a slot is free.
func (q *query) want(shard int, kind obs.Attempt, now time.Time) {
	if q.hold(shard, kind, now) {
		return
	}
	sh := q.plan.shards[shard]
	sh.enqueue(&waiter{query: q, rank: q.service.waitRank(q.rank), order: q.order, exclude: q.exclude(shard), kind: kind})
	q.service.dispatch(q.plan, shard, now)
}

// exclude is the set of replicas that this query must not use for a shard.
func (q *query) exclude(shard int) uint64 {
	mask := q.tried[shard]
	version := q.gather.Snapshot().Version
	if version == snapshot.Any {
		return mask
	}
	for i := range q.plan.shards[shard].set.Leaves {
		if !q.plan.tracker.Holds(shard, i, version) {
			mask |= 1 << i
		}
	}
	return mask
}

func (q *query) runningMask(shard int) uint64 {
	var mask uint64
	for _, a := range q.running {
		if a.shard == shard {
			mask |= 1 << a.leaf
		}
	}
	return mask
}

// began notes an attempt that is about to be sent.
func (q *query) began(a *attempt) {
	q.running = append(q.running, a)
	q.reached++
	q.gather.Started(a.shard, a.id)
	if a.kind != obs.First || q.once || !q.service.options.Hedging {
		return
	}
	if delay, ok := q.plan.shards[a.shard].hedge.Delay(); ok {
		q.hedgeAt[a.shard] = a.start.Add(delay)
		q.look(q.hedgeAt[a.shard])
	}
}

// look makes the query wake up at a time, at the latest.
func (q *query) look(at time.Time) {
	if q.nextLook.IsZero() || at.Before(q.nextLook) {
		q.nextLook = at
	}
}

func (q *query) request(a *attempt) *leafpb.ExecuteRequest {
	return &leafpb.ExecuteRequest{
		AttemptId:     a.id,
		RequestId:     q.ask.GetRequestId(),
		Service:       q.ask.GetService(),
		Shard:         q.plan.names[a.shard],
		Epoch:         q.gather.Snapshot().Epoch,
		IndexVersion:  q.gather.Snapshot().Version,
		Query:         q.ask.GetQuery(),
		NotRepeatable: q.once,
	}
}

// unreachable closes a shard that no replica can be asked for, unless an
// attempt for it is still running.
func (q *query) unreachable(shard int) {
	if q.gather.Running(shard) > 0 {
		return
	}
	why := scatter.NotMissing
	if q.tried[shard] == 0 {
		why = scatter.NoReplica
		if q.exclude(shard) != 0 {
			why = scatter.NotHeld
		}
	}
	q.gather.GiveUp(shard, why)
	if q.trial.shard == shard {
		q.trial.shard = noTrial
	}
	select {
	case q.nudge <- struct{}{}:
	default:
	}
}

// loop drives the query to its end and returns with the lock held.
func (q *query) loop() {
	s := q.service
	timer := time.NewTimer(0)
	defer timer.Stop()
	s.mu.Lock()
	q.fanOut()
	for {
		now := time.Now()
		if q.trial.barred || q.gather.Finished(now) || !now.Before(q.deadline) || q.ctx.Err() != nil {
			return
		}
		timer.Reset(q.wake(now))
		s.mu.Unlock()
		select {
		case e := <-q.events:
			s.mu.Lock()
			q.handle(e)
			q.releaseHeld(time.Now())
		case <-timer.C:
			s.mu.Lock()
			q.onTimer(time.Now())
			q.releaseHeld(time.Now())
		case <-q.nudge:
			s.mu.Lock()
			q.releaseHeld(time.Now())
		case <-q.trial.news:
			s.mu.Lock()
			q.heardNews()
		case <-q.ctx.Done():
			s.mu.Lock()
		}
	}
}

// wake returns how long the query may sleep without an event.
func (q *query) wake(now time.Time) time.Duration {
	at := q.deadline
	if early, ok := q.gather.EarlyAt(); ok && early.Before(at) {
		at = early
	}
	if !q.nextLook.IsZero() && q.nextLook.Before(at) {
		at = q.nextLook
	}
	return max(at.Sub(now), 0)
}

// onTimer sends the hedges and the attempts after a pause that are due.
func (q *query) onTimer(now time.Time) {
	q.nextLook = time.Time{}
	for i := range q.plan.shards {
		if !q.gather.Open(i) {
			continue
		}
		q.service.dispatch(q.plan, i, now)
		if q.due(&q.wantAt[i], now) {
			q.want(i, obs.RetryRefused, now)
		}
		if q.due(&q.hedgeAt[i], now) && q.service.hedge(q, i, now) {
			q.hedgeAt[i] = now.Add(dispatchTick)
			q.look(q.hedgeAt[i])
		}
	}
}

// due reports, once, that a time has come; until then it keeps the query awake.
func (q *query) due(at *time.Time, now time.Time) bool {
	if at.IsZero() {
		return false
	}
	if now.Before(*at) {
		q.look(*at)
		return false
	}
	*at = time.Time{}
	return true
}

// finish ends the query and returns its answer. The lock is held.
func (q *query) finish() scatter.Result {
	q.tellEnds(time.Now())
	q.done = true
	close(q.gone)
	for _, a := range q.running {
		if !a.outlives {
			a.cancel()
		}
	}
	q.service.retire(q.plan)
	return q.gather.Close()
}

// retire drops an old plan with its last query.
func (s *Service) retire(p *plan) {
	p.active--
	if p.active > 0 || p == s.plan {
		return
	}
	for i, other := range s.old {
		if other == p {
			s.old = append(s.old[:i], s.old[i+1:]...)
			s.forgetUnused()
			return
		}
	}
}

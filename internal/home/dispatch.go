package home

import (
	"context"
	"time"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/replica"
)

// attempt is one request to one leaf.
type attempt struct {
	id      string
	shard   int
	leaf    int
	address string
	kind    obs.Attempt
	start   time.Time
	cancel  context.CancelFunc
	// outlives lets a probe go on when another attempt won.
	outlives bool
	// generation is the number of restarts of the query before the attempt.
	generation int
	// onTrial tells that the leaf is sent the query alone, after others had ended.
	onTrial bool
}

// event tells a query what became of an attempt.
type event struct {
	attempt *attempt
	reply   *leafpb.ExecuteReply
	err     error
	// ended tells that the leaf ended with the attempt.
	ended bool
}

// dispatchAll sends whatever waits and has a slot, on all shards of all plans.
func (s *Service) dispatchAll() {
	now := time.Now()
	for _, p := range s.plans() {
		for i := range p.shards {
			s.dispatch(p, i, now)
		}
	}
}

// dispatch sends the requests waiting for one shard while slots are free.
func (s *Service) dispatch(p *plan, shard int, now time.Time) {
	sh := p.shards[shard]
	for i := 0; i < len(sh.waiting); {
		w := sh.waiting[i]
		if w.query.done || !w.query.gather.Open(shard) {
			sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
			continue
		}
		if !sh.set.Reachable(w.exclude) {
			sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
			w.query.unreachable(shard)
			continue
		}
		chosen := sh.set.Pick(now, len(sh.waiting)-i-1, w.exclude)
		if chosen == replica.None {
			w.query.look(now.Add(dispatchTick))
			i++
			continue
		}
		sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
		s.send(w.query, shard, chosen, w.kind, now)
		s.probe(w.query, shard, chosen, now)
	}
}

// probe sends a copy of a repeatable request to a replica that is avoided, to
// learn whether it has recovered. The query does not wait for it.
func (s *Service) probe(q *query, shard, chosen int, now time.Time) {
	if q.once || q.trial.OnTrial() {
		return
	}
	set := q.plan.shards[shard].set
	exclude := q.exclude(shard) | 1<<chosen
	if i := set.Probe(now, exclude, replica.ProbeEvery); i != replica.None {
		s.send(q, shard, i, obs.Probe, now)
	}
}

// send takes a slot and starts an attempt.
func (s *Service) send(q *query, shard, chosen int, kind obs.Attempt, now time.Time) {
	set := q.plan.shards[shard].set
	if !set.Acquire(chosen, now) {
		return
	}
	parent := q.ctx
	if kind == obs.Probe {
		parent = context.WithoutCancel(q.ctx)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	a := &attempt{
		id:         s.attemptID(),
		shard:      shard,
		leaf:       chosen,
		address:    set.Leaves[chosen].Address,
		kind:       kind,
		start:      now,
		cancel:     cancel,
		outlives:   kind == obs.Probe,
		generation: q.restarts,
		onTrial:    q.trial.shard == shard,
	}
	q.began(a)
	obs.CountAttempt(kind)
	go s.run(ctx, q, a, q.request(a))
}

// run makes the call of an attempt, outside of the lock, and reports its end.
func (s *Service) run(ctx context.Context, q *query, a *attempt, request *leafpb.ExecuteRequest) {
	defer a.cancel()
	reply, err := s.client.Execute(ctx, a.address, request)
	if err == nil && reply.GetAttemptId() != a.id {
		err = errWrongAttempt
	}
	cut := ctx.Err() != nil && err != nil
	ended := err != nil && !cut && !leaf.NotSent(err) && s.hasEnded(ctx, a.address)
	s.mu.Lock()
	report := s.ended(q.plan, a, reply, err, cut)
	s.mu.Unlock()
	report()
	select {
	case q.events <- event{attempt: a, reply: reply, err: err, ended: ended}:
	case <-q.gone:
	}
}

// ended gives the slot back, takes in what the attempt showed about its leaf
// and sends what waits for the slot.
func (s *Service) ended(p *plan, a *attempt, reply *leafpb.ExecuteReply, err error, cut bool) func() {
	now := time.Now()
	sh := p.shards[a.shard]
	set := sh.set
	l := set.Leaves[a.leaf]
	l.Slots.Release()
	report := s.observe(a.address, reply.GetStatus(), now)
	switch {
	case cut:
		set.CutShort(a.leaf, now.Sub(a.start), now)
	case err != nil:
		set.Failed(a.leaf, now)
	case reply.GetRefusal() != nil:
		s.refused(l, reply.GetRefusal().GetKind(), now)
	default:
		set.Answered(a.leaf, now.Sub(a.start), now)
		sh.hedge.Observe(now.Sub(a.start))
	}
	for _, other := range s.plans() {
		for _, at := range other.byLeaf[a.address] {
			s.dispatch(other, at.shard, now)
		}
	}
	return report
}

func (s *Service) refused(l *replica.Leaf, kind leafpb.Refusal_Kind, now time.Time) {
	obs.CountRefusal(kind.String())
	if kind == leafpb.Refusal_SHED || kind == leafpb.Refusal_COLD {
		l.Slots.Shed(now)
	}
}

// hedge sends a second attempt for a shard whose first is late, if the budget
// permits it and no request of the same or a higher class waits for the shard.
// Without a free slot the attempt waits for one by its class. hedge reports
// whether it is worth looking again soon.
func (s *Service) hedge(q *query, shard int, now time.Time) bool {
	if q.trial.OnTrial() && q.trial.shard != shard {
		return true
	}
	sh := q.plan.shards[shard]
	exclude := q.exclude(shard) | q.runningMask(shard) | sh.set.AvoidedMask(now)
	if q.gather.Running(shard) != 1 || !sh.set.Reachable(exclude) {
		return false
	}
	rank := s.waitRank(q.rank)
	if len(sh.waiting) > 0 && sh.waiting[0].rank <= rank {
		return true
	}
	chosen := sh.set.Pick(now, 0, exclude)
	if !s.extra(obs.Hedge, q.rank) {
		return false
	}
	if chosen == replica.None {
		sh.enqueue(&waiter{query: q, rank: rank, order: q.order, exclude: exclude, kind: obs.Hedge})
		return false
	}
	s.send(q, shard, chosen, obs.Hedge, now)
	return false
}

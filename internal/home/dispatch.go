package home

import (
	"context"
	"time"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/replica"
)

// attempt is one request sent to one leaf.
type attempt struct {
	id    string
	shard int
	// leaf is the index of the leaf among the replicas of the shard.
	leaf    int
	address string
	kind    obs.AttemptKind
	start   time.Time
	cancel  context.CancelFunc
	// outlivesQuery is set for probes, which are not canceled when the query has its
	// part or ends.
	outlivesQuery bool
	// generation is the value of query.restarts when the attempt was sent. Parts of
	// earlier generations are not used.
	generation int
	// onTrial is set if the attempt is a quarantine trial of a query under which leaves
	// crashed.
	onTrial bool
	// ended is set when the query has handled the result.
	ended bool
}

// attemptResult is the outcome of an attempt, as passed to its query.
type attemptResult struct {
	attempt *attempt
	reply   *leafpb.ExecuteReply
	err     error
	// leafCrashed is set if the leaf's process ended during the attempt.
	leafCrashed bool
}

// dispatchAll runs dispatch for every shard of every topology.
func (s *Service) dispatchAll() {
	now := time.Now()
	for _, t := range s.topologies() {
		for i := range t.shards {
			s.dispatch(t, i, now)
		}
	}
}

// dispatch sends the attempts queued for one shard while slots are free.
func (s *Service) dispatch(t *topology, shard int, now time.Time) {
	sh := t.shards[shard]
	for i := 0; i < len(sh.waiting); {
		w := sh.waiting[i]
		if w.query.done || !w.query.gather.Open(shard) {
			sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
			continue
		}
		if !sh.replicas.Reachable(w.excluded) {
			sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
			w.query.closeUnreachable(shard)
			continue
		}
		chosen := sh.replicas.Pick(now, len(sh.waiting)-i-1, w.excluded)
		if chosen == replica.None {
			w.query.wakeBy(now.Add(redispatchInterval))
			i++
			continue
		}
		sh.waiting = append(sh.waiting[:i], sh.waiting[i+1:]...)
		s.send(w.query, shard, chosen, w.kind, now)
		s.probe(w.query, shard, chosen, now)
	}
}

// probe sends a copy of a repeatable request to a replica that is being avoided, to
// learn whether it has recovered. The query does not wait for the copy.
func (s *Service) probe(q *query, shard, chosen int, now time.Time) {
	if q.notRepeatable || q.quarantine.OnTrial() {
		return
	}
	replicas := q.topology.shards[shard].replicas
	excluded := q.excluded(shard) | 1<<chosen
	if i := replicas.Probe(now, excluded, replica.ProbeInterval); i != replica.None {
		s.send(q, shard, i, obs.Probe, now)
	}
}

// send acquires a slot and starts an attempt; if no slot is free it does nothing.
func (s *Service) send(q *query, shard, chosen int, kind obs.AttemptKind, now time.Time) {
	replicas := q.topology.shards[shard].replicas
	if !replicas.Acquire(chosen, now) {
		return
	}
	started := false
	defer func() {
		if !started { // A panic.
			replicas.Leaves[chosen].Slots.Release()
		}
	}()
	parent := q.ctx
	if kind == obs.Probe {
		parent = context.WithoutCancel(q.ctx)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	a := &attempt{
		id:            s.newAttemptID(),
		shard:         shard,
		leaf:          chosen,
		address:       replicas.Leaves[chosen].Address,
		kind:          kind,
		start:         now,
		cancel:        cancel,
		outlivesQuery: kind == obs.Probe,
		generation:    q.restarts,
		onTrial:       q.quarantine.trialShard == shard,
	}
	request := q.request(a)
	q.recordStart(a)
	obs.CountAttempt(kind)
	started = true
	go s.runAttempt(ctx, q, a, request)
}

// runAttempt makes the call of an attempt and passes the result to the query. s.mu must
// not be held. After a panic the attempt has failed, and the query gets a result all the same.
func (s *Service) runAttempt(ctx context.Context, q *query, a *attempt, request *leafpb.ExecuteRequest) {
	defer a.cancel()
	reply, err := s.execute(ctx, a, request)
	if err == nil && reply.GetAttemptId() != a.id {
		err = errWrongAttempt
	}
	canceled := ctx.Err() != nil && err != nil
	leafCrashed := err != nil && !canceled && !leaf.NotSent(err) && !isPanic(err) && s.hasCrashedOrPanic(ctx, a.address, request.GetRequestId())
	s.recordEnd(q, a, reply, err, canceled)
	select {
	case q.results <- attemptResult{attempt: a, reply: reply, err: err, leafCrashed: leafCrashed}:
	case <-q.closed:
	}
}

// execute calls the leaf of an attempt.
func (s *Service) execute(ctx context.Context, a *attempt, request *leafpb.ExecuteRequest) (reply *leafpb.ExecuteReply, err error) {
	defer recoverTo(&err, &s.options.PanicLog, "attempt", request.GetRequestId())
	return s.client.Execute(ctx, a.address, request)
}

// hasCrashedOrPanic is hasCrashed for an attempt. A panic proves no crash.
func (s *Service) hasCrashedOrPanic(ctx context.Context, address, request string) (crashed bool) {
	_ = s.recoverPanic("check of a leaf", request, func() { crashed = s.hasCrashed(ctx, address) })
	return crashed
}

// recordEnd records the end of an attempt and tells what its leaf reported.
func (s *Service) recordEnd(q *query, a *attempt, reply *leafpb.ExecuteReply, err error, canceled bool) {
	var panicked error
	defer recoverTo(&panicked, &s.options.PanicLog, "end of an attempt", q.req.GetRequestId())
	s.finishAttempt(q.topology, a, reply, err, canceled)()
}

// finishAttempt releases the slot, records what the attempt showed about its leaf and
// dispatches the attempts queued for the leaf's shards. The caller must call the returned
// function, without the lock.
func (s *Service) finishAttempt(t *topology, a *attempt, reply *leafpb.ExecuteReply, err error, canceled bool) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sh := t.shards[a.shard]
	replicas := sh.replicas
	l := replicas.Leaves[a.leaf]
	l.Slots.Release()
	notify := s.observeStatus(a.address, reply.GetStatus(), now)
	switch {
	case err != nil && isPanic(err):
		// A fault of this process says nothing about the leaf.
	case canceled:
		replicas.Canceled(a.leaf, now.Sub(a.start), now)
	case err != nil:
		replicas.Failed(a.leaf, now)
	case reply.GetRefusal() != nil:
		s.recordRefusal(l, reply.GetRefusal().GetKind(), now)
	default:
		replicas.Answered(a.leaf, now.Sub(a.start), now)
		sh.hedgeDelay.Observe(now.Sub(a.start))
	}
	for _, other := range s.topologies() {
		for _, ref := range other.byAddress[a.address] {
			s.dispatch(other, ref.shard, now)
		}
	}
	return notify
}

// recordRefusal counts a refusal and, if the leaf was full or cold, limits its slots for
// a while.
func (s *Service) recordRefusal(l *replica.Leaf, kind leafpb.Refusal_Kind, now time.Time) {
	obs.CountRefusal(kind.String())
	if kind == leafpb.Refusal_SHED || kind == leafpb.Refusal_COLD {
		l.Slots.Shed(now)
	}
}

// hedge sends a second attempt for a shard whose first is late, if the budget permits
// it and no request of the same or a higher class is queued for the shard. If no slot is
// free the attempt is queued. hedge reports whether the caller should try again soon.
func (s *Service) hedge(q *query, shard int, now time.Time) bool {
	if q.quarantine.OnTrial() && q.quarantine.trialShard != shard {
		return true
	}
	sh := q.topology.shards[shard]
	excluded := q.excluded(shard) | q.runningReplicas(shard) | sh.replicas.AvoidedMask(now)
	if q.gather.Running(shard) != 1 || !sh.replicas.Reachable(excluded) {
		return false
	}
	rank := s.slotRank(q.rank)
	if len(sh.waiting) > 0 && sh.waiting[0].rank <= rank {
		return true
	}
	chosen := sh.replicas.Pick(now, 0, excluded)
	if !s.takeExtraAttempt(obs.Hedge, q.rank) {
		return false
	}
	if chosen == replica.None {
		sh.enqueue(&slotWaiter{query: q, rank: rank, sequence: q.sequence, excluded: excluded, kind: obs.Hedge})
		return false
	}
	s.send(q, shard, chosen, obs.Hedge, now)
	return false
}

package home

import (
	"time"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/scatter"
)

// onResultOrPanic handles the end of an attempt. After a panic its shard gets no more attempts, and the
// query goes on with the others.
func (q *query) onResultOrPanic(r attemptResult) {
	if q.handleResult(r) == nil {
		return
	}
	a := r.attempt
	if a.generation != q.restarts {
		return
	}
	q.gather.Ended(a.shard, a.id, scatter.Failed)
	if q.gather.Open(a.shard) && q.gather.Running(a.shard) == 0 {
		q.gather.GiveUp(a.shard, scatter.ReasonNone)
	}
}

// handleResult is onResult with a panic as an error.
func (q *query) handleResult(r attemptResult) (err error) {
	defer recoverTo(&err, &q.service.options.PanicLog, "result of an attempt", q.req.GetRequestId())
	q.onResult(r)
	return nil
}

// onResult handles the end of an attempt. A second result of an attempt is ignored.
func (q *query) onResult(r attemptResult) {
	a, now := r.attempt, time.Now()
	if a.ended {
		return
	}
	a.ended = true
	q.removeRunning(a)
	if q.quarantine.trialShard == a.shard {
		q.quarantine.trialShard = noTrialShard
	}
	if r.leafCrashed {
		q.onLeafCrash(a, now)
	}
	if a.generation != q.restarts {
		q.onStaleResult(r)
		return
	}
	switch {
	case leaf.NotSent(r.err):
		q.maybeExecuted--
		q.gather.Ended(a.shard, a.id, scatter.Failed)
		q.retryAttempt(a, obs.RetryNotSent, true, now)
	case r.err != nil:
		q.gather.Ended(a.shard, a.id, scatter.Failed)
		q.retryAttempt(a, obs.RetryFailed, false, now)
	case r.reply.GetRefusal() != nil:
		q.maybeExecuted--
		q.gather.Ended(a.shard, a.id, scatter.Refused)
		q.onRefusal(a, r.reply.GetRefusal().GetKind(), now)
	default:
		q.onPart(a, r.reply.GetPart(), now)
	}
}

// onStaleResult handles the end of an attempt sent before a restart: only whether it
// was executed still matters.
func (q *query) onStaleResult(r attemptResult) {
	if leaf.NotSent(r.err) || r.reply.GetRefusal() != nil {
		q.maybeExecuted--
	}
}

func (q *query) removeRunning(a *attempt) {
	for i, r := range q.running {
		if r == a {
			q.running = append(q.running[:i], q.running[i+1:]...)
			return
		}
	}
}

// onPart offers a part to the gather and retries the shard if the part was rejected.
func (q *query) onPart(a *attempt, p *leafpb.Part, now time.Time) {
	verdict := q.gather.Reply(a.shard, a.id, scatter.Part{
		Shard:    p.GetShard(),
		Snapshot: scatter.Snapshot{Epoch: p.GetEpoch(), Version: p.GetIndexVersion()},
		Rows:     p.GetRows(),
		RowCount: int(p.GetRowCount()),
	})
	obs.CountPart(verdict.String())
	switch verdict {
	case scatter.Merged:
		q.onServed(now)
		q.cancelOthers(a.shard)
	case scatter.OtherSnapshot:
		q.retryAttempt(a, obs.RetrySnapshot, false, now)
	case scatter.Truncated:
		q.retryAttempt(a, obs.RetryFailed, false, now)
	}
}

// cancelOthers cancels the remaining attempts for a shard, except probes.
func (q *query) cancelOthers(shard int) {
	for _, a := range q.running {
		if a.shard == shard && !a.outlivesQuery {
			a.cancel()
		}
	}
}

// onRefusal retries a refused attempt according to the kind of refusal.
func (q *query) onRefusal(a *attempt, kind leafpb.Refusal_Kind, now time.Time) {
	switch kind {
	case leafpb.Refusal_DRAINING:
		q.retryAttempt(a, obs.RetryDraining, true, now)
	case leafpb.Refusal_VERSION_GONE, leafpb.Refusal_WRONG_SHARD:
		q.retryAttempt(a, obs.RetrySnapshot, false, now)
		q.maybeRestart()
	default:
		q.retryAttempt(a, obs.RetryRefused, false, now)
	}
}

// retryAttempt retries a shard after an attempt ended without a part. A non-repeatable
// request is retried only if no leaf can have executed it. A retry that is budgetExempt
// takes no token.
func (q *query) retryAttempt(a *attempt, kind obs.AttemptKind, budgetExempt bool, now time.Time) {
	if !q.gather.Open(a.shard) || q.gather.Running(a.shard) > 0 {
		return
	}
	if kind != obs.RetryRefused {
		q.tried[a.shard] |= 1 << a.leaf
	}
	if q.notRepeatable && q.maybeExecuted > 0 {
		q.gather.GiveUp(a.shard, scatter.ReasonNone)
		return
	}
	replicas := q.topology.shards[a.shard].replicas
	if !replicas.Reachable(q.excluded(a.shard)) {
		q.closeUnreachable(a.shard)
		return
	}
	if !budgetExempt && !q.service.takeExtraAttempt(kind, q.rank) {
		if kind == obs.RetryRefused {
			q.retryLater(a.shard, now)
			return
		}
		q.gather.GiveUp(a.shard, scatter.ReasonNone)
		return
	}
	q.startAttempt(a.shard, kind, now)
}

// retryLater schedules a retry without a token. A shed request costs its leaf almost
// nothing, and the delay bounds the extra load.
func (q *query) retryLater(shard int, now time.Time) {
	q.retryAt[shard] = now.Add(limit.ShedPause)
	q.wakeBy(q.retryAt[shard])
}

// maybeRestart starts the query over on another snapshot if that serves more shards
// than the pinned one and at most half of the query's time has passed.
func (q *query) maybeRestart() {
	now := time.Now()
	if q.notRepeatable || q.restarts >= maxRestarts || now.Sub(q.start) > q.deadline.Sub(now) {
		return
	}
	pinned := q.gather.Snapshot().Version
	choice := q.topology.tracker.Choose()
	if choice.Version == pinned || choice.Shards <= q.servableShards() {
		return
	}
	q.restarts++
	for _, a := range q.running {
		a.cancel()
	}
	q.running = nil
	q.fanOut()
}

// servableShards counts the shards that contributed or still can.
func (q *query) servableShards() int {
	n := 0
	for i := range q.topology.shards {
		if q.gather.Contributed(i) || q.topology.shards[i].replicas.Reachable(q.excluded(i)) {
			n++
		}
	}
	return n
}

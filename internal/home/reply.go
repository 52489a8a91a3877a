package home

import (
	"time"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/scatter"
)

// handle takes in the end of an attempt.
func (q *query) handle(e event) {
	a, now := e.attempt, time.Now()
	q.drop(a)
	if q.trial.shard == a.shard {
		q.trial.shard = noTrial
	}
	if e.ended {
		q.leafEnded(a, now)
	}
	if a.generation != q.restarts {
		q.late(e)
		return
	}
	switch {
	case leaf.NotSent(e.err):
		q.reached--
		q.gather.Ended(a.shard, a.id, scatter.Failed)
		q.again(a, obs.RetryNotSent, true, now)
	case e.err != nil:
		q.gather.Ended(a.shard, a.id, scatter.Failed)
		q.again(a, obs.RetryFailed, false, now)
	case e.reply.GetRefusal() != nil:
		q.reached--
		q.gather.Ended(a.shard, a.id, scatter.Refused)
		q.onRefusal(a, e.reply.GetRefusal().GetKind(), now)
	default:
		q.onPart(a, e.reply.GetPart(), now)
	}
}

// late takes in the end of an attempt from before a restart.
func (q *query) late(e event) {
	if leaf.NotSent(e.err) || e.reply.GetRefusal() != nil {
		q.reached--
	}
}

func (q *query) drop(a *attempt) {
	for i, r := range q.running {
		if r == a {
			q.running = append(q.running[:i], q.running[i+1:]...)
			return
		}
	}
}

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
		q.served(now)
		q.cancelOthers(a.shard)
	case scatter.OtherSnapshot:
		q.again(a, obs.RetrySnapshot, false, now)
	case scatter.CutShort:
		q.again(a, obs.RetryFailed, false, now)
	}
}

func (q *query) cancelOthers(shard int) {
	for _, a := range q.running {
		if a.shard == shard && !a.outlives {
			a.cancel()
		}
	}
}

func (q *query) onRefusal(a *attempt, kind leafpb.Refusal_Kind, now time.Time) {
	switch kind {
	case leafpb.Refusal_DRAINING:
		q.again(a, obs.RetryDraining, true, now)
	case leafpb.Refusal_VERSION_GONE, leafpb.Refusal_WRONG_SHARD:
		q.again(a, obs.RetrySnapshot, false, now)
		q.reconsider()
	default:
		q.again(a, obs.RetryRefused, false, now)
	}
}

// again decides about another attempt after one ended without a part. A
// request that must not run twice gets one only if the ended attempt is known
// not to have been executed. free attempts need no budget.
func (q *query) again(a *attempt, kind obs.Attempt, free bool, now time.Time) {
	if !q.gather.Open(a.shard) || q.gather.Running(a.shard) > 0 {
		return
	}
	if kind != obs.RetryRefused {
		q.tried[a.shard] |= 1 << a.leaf
	}
	if q.once && q.reached > 0 {
		q.gather.GiveUp(a.shard, scatter.NotMissing)
		return
	}
	set := q.plan.shards[a.shard].set
	if !set.Reachable(q.exclude(a.shard)) {
		q.unreachable(a.shard)
		return
	}
	if !free && !q.service.extra(kind, q.rank) {
		if kind == obs.RetryRefused {
			q.wantLater(a.shard, now)
			return
		}
		q.gather.GiveUp(a.shard, scatter.NotMissing)
		return
	}
	q.want(a.shard, kind, now)
}

// wantLater asks for another attempt after a pause. A request that was shed
// cost its leaf next to nothing, and slots become free; without budget it is
// the pause that keeps the load down.
func (q *query) wantLater(shard int, now time.Time) {
	q.wantAt[shard] = now.Add(limit.ShedPause)
	q.look(q.wantAt[shard])
}

// reconsider begins anew on another snapshot where the pinned one is going
// away, if another serves more shards and half of the time is left.
func (q *query) reconsider() {
	now := time.Now()
	if q.once || q.restarts >= maxRestarts || now.Sub(q.start) > q.deadline.Sub(now) {
		return
	}
	pinned := q.gather.Snapshot().Version
	choice := q.plan.tracker.Choose()
	if choice.Version == pinned || choice.Shards <= q.servable() {
		return
	}
	q.restarts++
	for _, a := range q.running {
		a.cancel()
	}
	q.running = nil
	q.fanOut()
}

// servable counts the shards that contributed or can still do so.
func (q *query) servable() int {
	n := 0
	for i := range q.plan.shards {
		if q.gather.Contributed(i) || q.plan.shards[i].set.Reachable(q.exclude(i)) {
			n++
		}
	}
	return n
}

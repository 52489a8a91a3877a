package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/scarcity"
)

// attempt is a call about to be made.
type attempt struct {
	shard int
	kind  attemptKind
	call  *call
	// onTrial reports that the request is sent to this server alone, because other servers crashed
	// while running it.
	onTrial bool
}

// launch makes the attempts that are due.
func (q *query) launch(ctx context.Context, now time.Time) {
	if q.trial.OnTrial() && !q.clearedElsewhere() {
		q.launchTrial(ctx, now)
		return
	}
	var attempts []attempt
	verdicts := q.scarcityVerdicts(now)
	for _, need := range q.state.DueAttempts(now) {
		if need.Hedge && q.holdsHedges(now) {
			q.holdShard(need.Shard, q.hedgesFrom())
			continue
		}
		if q.absence.defers(need.Shard) && now.Before(q.hedgesFrom()) {
			q.holdShard(need.Shard, q.hedgesFrom())
			continue
		}
		verdict := scarcity.Ask
		if verdicts != nil && !need.Hedge && !q.absence.pending[need.Shard] {
			verdict = verdicts[need.Shard]
		}
		if verdict == scarcity.Skip {
			q.skip(need.Shard, now)
			continue
		}
		a, ok := q.prepareAttempt(need, q.timeLeftFor(verdict, now), now)
		if !ok {
			continue
		}
		attempts = append(attempts, a)
	}
	q.sendAttempts(ctx, attempts, now)
}

// holdsHedges reports whether hedges are held back because no shard of the query has answered yet:
// then no call is late compared with others, and the query itself may be the cause. This protects
// the remaining servers of each shard from a request that makes servers crash. Hedges are sent
// after hedgesFrom in any case, because all calls may be silent for another reason.
func (q *query) holdsHedges(now time.Time) bool {
	return q.entry.Query != nil && !q.trial.WasServed() && now.Before(q.hedgesFrom())
}

// hedgesFrom returns the time from which hedges are sent even if no shard has answered.
func (q *query) hedgesFrom() time.Time {
	return q.request.Arrived.Add(q.maxHedgeDelay())
}

// holdShard defers a shard until a server has served the query, but no longer than until the given
// time.
func (q *query) holdShard(n int, until time.Time) {
	q.trial.heldShards = append(q.trial.heldShards, n)
	q.state.Postpone(n, until)
}

// sendAttempts sends attempts directly, or grouped by failure domain through a relay there if one
// is available.
func (q *query) sendAttempts(ctx context.Context, attempts []attempt, now time.Time) {
	var direct []attempt
	relayed := map[string][]attempt{}
	for _, a := range attempts {
		if q.useRelay(a.call) {
			domain := a.call.backend.Domain
			relayed[domain] = append(relayed[domain], a)
		} else {
			direct = append(direct, a)
		}
	}
	for domain, attempts := range relayed {
		relay, ok := q.gateway.peerHealth.Choose(q.relayCandidates(domain, attempts[0].call), q.gateway.name)
		if !ok {
			direct = append(direct, attempts...)
			continue
		}
		q.sendRelayed(ctx, relay, attempts, now)
	}
	for _, a := range direct {
		if a.call.needsColdCaller {
			q.deferColdAttempt(a, now)
			continue
		}
		q.sendDirect(ctx, a, now)
	}
	q.unsent = q.unsent[:0]
}

// abandonUnsent releases the slots of calls that were prepared when a panic ended the request.
func (q *query) abandonUnsent() {
	for _, c := range q.unsent {
		c.abandon()
	}
	q.unsent = nil
}

// deferColdAttempt gives up an attempt at a cold server that this host may not call itself.
func (q *query) deferColdAttempt(a attempt, now time.Time) {
	a.call.abandon()
	q.failure, q.cause = "the server is cold and none of the hosts that may call it can be reached", CauseBusy
	q.state.Postpone(a.shard, now.Add(deniedRetryDelay))
}

// scarcityVerdicts returns a verdict for each shard, or nil if no shard is scarce.
func (q *query) scarcityVerdicts(now time.Time) []scarcity.Verdict {
	if q.askOrder == nil {
		return nil
	}
	shards := make([]scarcity.Shard, len(q.groups))
	for n, g := range q.groups {
		expected, run := g.earliestCompletion(q.entry.HomeRegions, now)
		shards[n] = scarcity.Shard{State: q.shardState(n, now), ServiceTime: run, Expected: expected}
	}
	return q.askOrder.Decide(shards, scarcity.Requirements{Needed: q.state.MinShards(), MaxMissing: q.entry.MaxMissing, Objective: q.objective, Remaining: q.timeLeft(now)})
}

func (q *query) shardState(n int, now time.Time) scarcity.State {
	running, waiting, closed := q.state.ShardState(n, now)
	switch {
	case q.state.Covered(n):
		return scarcity.Covered
	case running:
		return scarcity.Running
	case closed:
		return scarcity.Closed
	case waiting:
		return scarcity.Waiting
	}
	return scarcity.BackingOff
}

// skip defers a scarce shard until another one is refused, or for skipRecheck.
func (q *query) skip(n int, now time.Time) {
	if !slices.Contains(q.skipped, n) {
		q.skipped = append(q.skipped, n)
	}
	q.skipReasons[n] = "left out, as its servers are slow and enough other shards can answer"
	q.state.Postpone(n, now.Add(skipRecheck))
}

// useRelay reports whether a server is called through a relay: because this host is not among its
// callers, or because the parts of a query are merged in the server's failure domain.
func (q *query) useRelay(c *call) bool {
	if q.entry.Query != nil && c.backend.Domain != q.gateway.self.GetDomain() {
		return true
	}
	name, domain := q.gateway.name, q.gateway.self.GetDomain()
	return !c.share.Calls(name, domain) && q.view.HasHost(name, domain)
}

// relayCandidates returns the hosts that may relay a call to a server of a failure domain: those in
// the homes of the route.
func (q *query) relayCandidates(domain string, c *call) []control.Host {
	if q.entry.Query != nil {
		hosts := q.view.Relays(domain, int(q.gateway.settings.GetRelay().GetHostsPerDomain()))
		if len(q.entry.HomeRegions) == 0 {
			return hosts
		}
		return slices.DeleteFunc(slices.Clone(hosts), func(h control.Host) bool { return !q.entry.HomeRegions.Allow(h.Region) })
	}
	return slices.DeleteFunc(slices.Clone(c.share.Callers()), func(h control.Host) bool {
		return !h.RelaysWhole || !q.entry.HomeRegions.Allow(h.Region)
	})
}

// prepareAttempt takes a slot on a server and, for a retry or hedge, a token of the retry budget.
func (q *query) prepareAttempt(need fanout.DueAttempt, timeLeft time.Duration, now time.Time) (attempt, bool) {
	kind := firstAttempt
	if need.Hedge {
		kind = hedgeAttempt
	} else if !need.First {
		kind = retryAttempt
	}
	g := q.groups[need.Shard]
	c, err := g.pick(now, pickOptions{tried: q.tried[need.Shard], hedge: need.Hedge, region: q.farRegion, probeInterval: q.probeInterval(), homes: q.entry.HomeRegions, timeBudget: replica.TimeBudget{Objective: q.objective, Remaining: timeLeft}})
	if err != nil {
		q.deferShard(need, err, now)
		return attempt{}, false
	}
	q.unsent = append(q.unsent, c)
	if kind != firstAttempt && !q.takeBudget(g, kind, now) {
		c.abandon()
		countDenied(kind)
		q.trace.denied++
		q.state.Postpone(need.Shard, now.Add(deniedRetryDelay))
		return attempt{}, false
	}
	if !q.firstCounted[need.Shard] {
		q.firstCounted[need.Shard] = true
		g.countFirst(now)
	}
	if !slices.Contains(q.tried[need.Shard], c.backend.ID) {
		q.tried[need.Shard] = append(q.tried[need.Shard], c.backend.ID)
	}
	q.traceAttempt(kind)
	return attempt{shard: need.Shard, kind: kind, call: c}, true
}

// timeLeft returns the time within which a part must arrive for the query to be on time. A late
// query yields (0) to queries that are on time, until its allowance reaches the objective; this
// keeps it from being deferred until its end.
func (q *query) timeLeft(now time.Time) time.Duration {
	if now.Before(q.due) {
		return q.due.Sub(now)
	}
	allowance := time.Duration(lateAllowance * float64(now.Sub(q.due)))
	if allowance < q.objective {
		return 0
	}
	return allowance
}

// timeLeftFor returns timeLeft for a shard with a verdict. A call that is not needed yields to all
// others.
func (q *query) timeLeftFor(verdict scarcity.Verdict, now time.Time) time.Duration {
	if verdict == scarcity.AskIfIdle {
		return 0
	}
	return q.timeLeft(now)
}

// probeInterval returns how often this host probes a slow or failed server with a request of this
// kind: less often if the caller pays for the probe with its time, and less often in larger fleets.
func (q *query) probeInterval() time.Duration {
	interval := singleProbeInterval
	if q.entry.Query != nil {
		interval = replica.ProbeInterval
	}
	return interval * time.Duration(max(1, q.view.HostCount/fullRateProbers))
}

func (q *query) traceAttempt(kind attemptKind) {
	switch kind {
	case firstAttempt:
		q.trace.first++
	case retryAttempt:
		q.trace.retries++
	case hedgeAttempt:
		q.trace.hedges++
	}
}

// deferShard defers a shard for which no slot was available.
func (q *query) deferShard(need fanout.DueAttempt, err error, now time.Time) {
	q.failure = err.Error()
	q.skipReasons[need.Shard] = q.failure
	q.cause = CauseNoServer
	if errors.Is(err, errNoSlot) {
		q.cause = CauseBusy
	}
	var late *tooLateError
	var cold *coldError
	var absent *absentError
	switch {
	case errors.As(err, &absent):
		q.cause = CauseAbsent
		q.state.Postpone(need.Shard, now.Add(max(absent.wait, slotRetryDelay)))
	case errors.As(err, &cold):
		q.cause = CauseBusy
		q.state.Postpone(need.Shard, now.Add(cold.wait))
	case errors.As(err, &late):
		q.cause = CauseBusy
		q.scheduleRecheck(need.Shard, late.wait, now)
	case need.Hedge:
		q.state.Postpone(need.Shard, now.Add(deniedRetryDelay))
	case errors.Is(err, errNoSlot):
		q.state.Postpone(need.Shard, now.Add(slotRetryDelay))
	default:
		q.state.Postpone(need.Shard, now.Add(deniedRetryDelay))
	}
}

// noteSent records an attempt that is about to be sent.
func (q *query) noteSent(a attempt, now time.Time, relayed bool) {
	hedgeAt := time.Time{}
	if q.entry.Idempotent {
		hedgeAt = now.Add(q.hedgeDelay(relayed))
	}
	q.state.Sent(a.shard, hedgeAt)
	if a.kind != firstAttempt {
		q.trace.note("shard %d: %s to %s in %s at %v", a.shard, a.kind, a.call.backend.ID, a.call.backend.Domain, now.Sub(q.request.Arrived))
	}
}

func (q *query) hedgeDelay(relayed bool) time.Duration {
	return q.gateway.latency.hedgeDelay(latencyKey{q.entry.Name, relayed}, q.maxHedgeDelay())
}

// maxHedgeDelay returns the delay after which a call counts as late regardless of the observed
// latency.
func (q *query) maxHedgeDelay() time.Duration {
	return time.Duration(maxHedgeDelayShare * float64(q.objective))
}

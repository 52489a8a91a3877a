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

// attempt is one call about to be made.
type attempt struct {
	shard int
	kind  attemptKind
	call  *call
	// trial tells that the server is sent the request alone, after others had ended.
	trial bool
}

// launch makes the attempts that are due.
func (q *query) launch(ctx context.Context, now time.Time) {
	if q.trial.OnTrial() && !q.absolved() {
		q.launchTrial(ctx, now)
		return
	}
	var attempts []attempt
	verdicts := q.decide(now)
	for _, need := range q.state.Needs(now) {
		if need.Hedge && q.holdsCopies(now) {
			q.hold(need.Shard, q.copiesFrom())
			continue
		}
		if q.doubt.holds(need.Shard) && now.Before(q.copiesFrom()) {
			q.hold(need.Shard, q.copiesFrom())
			continue
		}
		verdict := scarcity.Ask
		if verdicts != nil && !need.Hedge && !q.doubt.open[need.Shard] {
			verdict = verdicts[need.Shard]
		}
		if verdict == scarcity.LeaveOut {
			q.leaveOut(need.Shard, now)
			continue
		}
		a, ok := q.prepare(need, q.leftFor(verdict, now), now)
		if !ok {
			continue
		}
		attempts = append(attempts, a)
	}
	q.sendAttempts(ctx, attempts, now)
}

// holdsCopies reports whether copies of late calls are held back, as no shard of the query has
// answered yet: then none is late beside others, and what keeps them all may be the query itself.
// It protects the second server of each shard from a query under which the first ones are about
// to end. Copies go out in the end, as all calls may be silent for another reason.
func (q *query) holdsCopies(now time.Time) bool {
	return q.entry.Query != nil && !q.trial.WasServed() && now.Before(q.copiesFrom())
}

// copiesFrom is from when on copies are sent of a query that no shard has answered.
func (q *query) copiesFrom() time.Time {
	return q.request.Arrived.Add(q.longestHedgeDelay())
}

// hold puts a shard off until a server has served the query, or a time.
func (q *query) hold(n int, until time.Time) {
	q.trial.held = append(q.trial.held, n)
	q.state.Later(n, until)
}

// sendAttempts makes attempts: directly, or by domain through a host there, if one can be had.
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
		relay, ok := q.gateway.peers.Choose(q.relays(domain, attempts[0].call), q.gateway.name)
		if !ok {
			direct = append(direct, attempts...)
			continue
		}
		q.sendRelayed(ctx, relay, attempts, now)
	}
	for _, a := range direct {
		if a.call.cold {
			q.notAllowed(a, now)
			continue
		}
		q.sendDirect(ctx, a, now)
	}
}

// notAllowed puts an attempt off at a cold server that this host does not call itself.
func (q *query) notAllowed(a attempt, now time.Time) {
	a.call.drop()
	q.failure, q.code = "the server is cold and called by few hosts, none of which can be reached", CodeBusy
	q.state.Later(a.shard, now.Add(deniedRetry))
}

// decide returns what becomes of each shard, or nil where none is scarce.
func (q *query) decide(now time.Time) []scarcity.Verdict {
	if q.choice == nil {
		return nil
	}
	shards := make([]scarcity.Shard, len(q.groups))
	for n, g := range q.groups {
		expected, run := g.soonest(q.entry.Homes, now)
		shards[n] = scarcity.Shard{State: q.stateOf(n, now), Run: run, Expected: expected}
	}
	return q.choice.Decide(shards, scarcity.Terms{Needed: q.state.Needed(), Spare: q.entry.Spare, Objective: q.objective, Left: q.left(now)})
}

func (q *query) stateOf(n int, now time.Time) scarcity.State {
	running, waiting, closed := q.state.Attempts(n, now)
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
	return scarcity.Resting
}

// leaveOut puts a scarce shard off until another one refuses, or for a while.
func (q *query) leaveOut(n int, now time.Time) {
	if !slices.Contains(q.leftOut, n) {
		q.leftOut = append(q.leftOut, n)
	}
	q.putOff[n] = "left to others, as its servers take long"
	q.state.Later(n, now.Add(leftOutFor))
}

// useRelay reports whether a server is called through a relay: where this host is none of
// those that call it, and for a query also where it stands in another domain, so that its
// parts are merged there.
func (q *query) useRelay(c *call) bool {
	if q.entry.Query != nil && c.backend.Domain != q.gateway.self.GetDomain() {
		return true
	}
	name, domain := q.gateway.name, q.gateway.self.GetDomain()
	return !c.share.Calls(name, domain) && q.view.Knows(name, domain)
}

// relays returns the hosts that calls to servers of a domain may go through: those that may
// see the request.
func (q *query) relays(domain string, c *call) []control.Host {
	if q.entry.Query != nil {
		hosts := q.view.Relays(domain, int(q.gateway.settings.GetRelay().GetHostsPerDomain()))
		if len(q.entry.Homes) == 0 {
			return hosts
		}
		return slices.DeleteFunc(slices.Clone(hosts), func(h control.Host) bool { return !q.entry.Homes.Allow(h.Region) })
	}
	return slices.DeleteFunc(slices.Clone(c.share.Callers()), func(h control.Host) bool {
		return !h.Whole || !q.entry.Homes.Allow(h.Region)
	})
}

// prepare takes a server and, for an extra attempt, a token of the budget.
func (q *query) prepare(need fanout.Need, left time.Duration, now time.Time) (attempt, bool) {
	kind := firstAttempt
	if need.Hedge {
		kind = hedgeAttempt
	} else if !need.First {
		kind = retryAttempt
	}
	g := q.groups[need.Shard]
	c, err := g.pick(now, pickOptions{tried: q.tried[need.Shard], hedge: need.Hedge, region: q.farRegion, probeEvery: q.probeEvery(), homes: q.entry.Homes, due: replica.Due{Objective: q.objective, Left: left}})
	if err != nil {
		q.postpone(need, err, now)
		return attempt{}, false
	}
	if kind != firstAttempt && !q.takeBudget(g, kind, now) {
		c.drop()
		countDenied(kind)
		q.trace.denied++
		q.state.Later(need.Shard, now.Add(deniedRetry))
		return attempt{}, false
	}
	if !q.counted[need.Shard] {
		q.counted[need.Shard] = true
		g.first(now)
	}
	if !slices.Contains(q.tried[need.Shard], c.backend.ID) {
		q.tried[need.Shard] = append(q.tried[need.Shard], c.backend.ID)
	}
	q.count(kind)
	return attempt{shard: need.Shard, kind: kind, call: c}, true
}

// left is the time within which a part has to come for the query to be in time. A late
// query gives way to those that are not, until it has been late for so long that it takes
// part again, so that it is not put off until its end.
func (q *query) left(now time.Time) time.Duration {
	if now.Before(q.due) {
		return q.due.Sub(now)
	}
	patience := time.Duration(lateGrowth * float64(now.Sub(q.due)))
	if patience < q.objective {
		return 0
	}
	return patience
}

// leftFor is left for a shard with a verdict: a call that is not needed gives way to all.
func (q *query) leftFor(verdict scarcity.Verdict, now time.Time) time.Duration {
	if verdict == scarcity.AskIfIdle {
		return 0
	}
	return q.left(now)
}

// probeEvery is how often a server that is slow or failed gets a request like
// this one from here: rarely where the caller pays for it with its time, and
// the more rarely the more hosts probe it.
func (q *query) probeEvery() time.Duration {
	every := singleProbeEvery
	if q.entry.Query != nil {
		every = replica.ProbeEvery
	}
	return every * time.Duration(max(1, q.view.Count/probingHosts))
}

func (q *query) count(kind attemptKind) {
	switch kind {
	case firstAttempt:
		q.trace.first++
	case retryAttempt:
		q.trace.retries++
	case hedgeAttempt:
		q.trace.hedges++
	}
}

// postpone puts off a shard for which no server can be had.
func (q *query) postpone(need fanout.Need, err error, now time.Time) {
	q.failure = err.Error()
	q.putOff[need.Shard] = q.failure
	q.code = CodeNoServer
	if errors.Is(err, errNoSlot) {
		q.code = CodeBusy
	}
	var late *tooLateError
	var cold *coldError
	var absent *absentError
	switch {
	case errors.As(err, &absent):
		q.code = CodeAbsent
		q.state.Later(need.Shard, now.Add(max(absent.wait, slotRetry)))
	case errors.As(err, &cold):
		q.code = CodeBusy
		q.state.Later(need.Shard, now.Add(cold.wait))
	case errors.As(err, &late):
		q.code = CodeBusy
		q.lookAgain(need.Shard, late.wait, now)
	case need.Hedge:
		q.state.Later(need.Shard, now.Add(deniedRetry))
	case errors.Is(err, errNoSlot):
		q.state.Later(need.Shard, now.Add(slotRetry))
	default:
		q.state.Later(need.Shard, now.Add(deniedRetry))
	}
}

// sent notes an attempt that is being made.
func (q *query) sent(a attempt, now time.Time, relayed bool) {
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
	return q.gateway.latency.delay(latencyKey{q.entry.Name, relayed}, q.longestHedgeDelay())
}

// longestHedgeDelay is after what time a call is late whatever was observed.
func (q *query) longestHedgeDelay() time.Duration {
	return time.Duration(hedgeCap * float64(q.objective))
}

package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/route"
)

// admit decides, before any server is asked, whether the servers have capacity for the request. If
// not, it returns the refusal.
func (q *query) admit(now time.Time) (Answer, bool) {
	offered := admission.Request{Rank: q.rank, Objective: q.objective, Late: q.waited > q.objective, Wait: q.serverWait(now)}
	decision := q.groups[0].askGate(offered, now)
	q.trace.wait, q.trace.probability = offered.Wait, decision.Probability
	if decision.Admitted {
		return Answer{}, true
	}
	reason := fmt.Sprintf("overloaded: expected wait at the servers %v, objective %v, caller waited %v, admission probability %.2f at rank %d",
		offered.Wait.Round(time.Millisecond), q.objective, q.waited, decision.Probability, offered.Rank)
	return notRun(CauseOverloaded, reason, decision.RetryAfter), false
}

// callerWaited estimates how long a caller of a route had waited before this attempt.
func (g *Gateway) callerWaited(route string, timeout time.Duration, now time.Time) time.Duration {
	if timeout <= 0 {
		return 0
	}
	g.callerWaitsMu.Lock()
	defer g.callerWaitsMu.Unlock()
	wait := g.callerWaits[route]
	if wait == nil {
		wait = &admission.WaitEstimator{}
		g.callerWaits[route] = wait
	}
	return wait.Waited(timeout, now)
}

// pruneCallerWaits removes the state of routes that are no longer known.
func (g *Gateway) pruneCallerWaits(known func(route string) bool) {
	g.callerWaitsMu.Lock()
	defer g.callerWaitsMu.Unlock()
	maps.DeleteFunc(g.callerWaits, func(route string, _ *admission.WaitEstimator) bool { return !known(route) })
}

// serverWait estimates how long the request would wait at the servers: the shortest wait within
// which enough shards for an answer have a server.
func (q *query) serverWait(now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(q.groups))
	for _, g := range q.groups {
		waits = append(waits, g.minWait(q.entry.HomeRegions, now))
	}
	slices.Sort(waits)
	return waits[q.state.MinShards()-1]
}

// askGate asks the admission gate of the service about a request.
func (g *group) askGate(offered admission.Request, now time.Time) admission.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Offer(offered, now)
}

// minWait estimates the wait of a request at the server with the shortest wait.
func (g *group) minWait(homes route.HomeRegions, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.MinWait(g.outsideHomes(homes), now)
}

// overloaded reports whether requests are being refused for lack of capacity.
func (q *query) overloaded() bool {
	g := q.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded()
}

// recordCosts reports to the admission gate how much server time requests of this rank take.
func (q *query) recordCosts(results []result) {
	g := q.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range results {
		if r.outcome == relaypb.Outcome_PART && r.runTime > 0 {
			g.gate.ObserveCost(q.rank, r.runTime)
		}
	}
}

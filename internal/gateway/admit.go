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
	offered := admission.Request{
		Rank: q.rank, Objective: q.objective, Late: q.waited > q.objective, Wait: q.serverWait(now),
		Returning: q.waited >= admission.ShortestRetry(q.objective), Team: q.request.Team,
	}
	decision := q.groups[0].askGate(offered, now)
	if q.gateway.sharesGates(q.view) {
		q.gateway.coordination.Offer(q.groups[0].service, decision.Offered)
	}
	q.trace.wait, q.trace.probability, q.trace.shared, q.trace.verdictAge = offered.Wait, decision.Probability, decision.Shared, decision.VerdictAge
	if decision.Admitted {
		return Answer{}, true
	}
	reason := fmt.Sprintf("overloaded: expected wait at the servers %v, objective %v, caller waited %v, admission probability %.2f at rank %d, decided by the %s",
		offered.Wait.Round(time.Millisecond), q.objective, q.waited, decision.Probability, offered.Rank, describeGate(decision))
	return notRun(CauseOverloaded, reason, decision.RetryAfter), false
}

// describeGate says which gate decided.
func describeGate(d admission.Decision) string {
	if d.Shared {
		return fmt.Sprintf("gate of all hosts %v ago", d.VerdictAge.Round(time.Millisecond))
	}
	return "gate of this host"
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

// serverWait estimates how long the request would wait at the servers.
func (q *query) serverWait(now time.Time) time.Duration {
	return serverWait(q.groups, q.state.MinShards(), q.entry.HomeRegions, now)
}

// serverWait estimates how long a request would wait at the servers: the shortest wait within which
// the needed number of groups have a server.
func serverWait(groups []*group, needed int, homes route.HomeRegions, now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(groups))
	for _, g := range groups {
		waits = append(waits, g.minWait(homes, now))
	}
	slices.Sort(waits)
	return waits[needed-1]
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
func (q *query) overloaded(now time.Time) bool {
	g := q.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded(now)
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

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

// admit decides before any server is asked whether the servers have room for the
// request; otherwise it returns the refusal.
func (q *query) admit(now time.Time) (Answer, bool) {
	waited := q.gateway.waited(q.entry.Name, q.request.Timeout, now)
	ask := admission.Ask{Rank: q.entry.Rank(), Objective: q.objective, Late: waited > q.objective, Wait: q.serverWait(now)}
	v := q.groups[0].offer(ask, now)
	q.trace.wait, q.trace.chance = ask.Wait, v.Chance
	if v.Admitted {
		return Answer{}, true
	}
	reason := fmt.Sprintf("overloaded: it would wait %v at the servers, with an objective of %v and after %v; let in with a chance of %.2f at rank %d",
		ask.Wait.Round(time.Millisecond), q.objective, waited, v.Chance, ask.Rank)
	return notRun(CodeOverloaded, reason, v.RetryAfter), false
}

// waited infers for how long the caller of a route has waited before this attempt.
func (g *Gateway) waited(route string, timeout time.Duration, now time.Time) time.Duration {
	if timeout <= 0 {
		return 0
	}
	g.patienceMu.Lock()
	defer g.patienceMu.Unlock()
	p := g.patience[route]
	if p == nil {
		p = &admission.Patience{}
		g.patience[route] = p
	}
	return p.Waited(timeout, now)
}

// forgetPatience forgets the routes that keep does not know.
func (g *Gateway) forgetPatience(keep func(route string) bool) {
	g.patienceMu.Lock()
	defer g.patienceMu.Unlock()
	maps.DeleteFunc(g.patience, func(route string, _ *admission.Patience) bool { return !keep(route) })
}

// serverWait estimates how long the request would wait at the servers: the wait
// within which as many shards as an answer needs have a server.
func (q *query) serverWait(now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(q.groups))
	for _, g := range q.groups {
		waits = append(waits, g.leastWait(q.entry.Homes, now))
	}
	slices.Sort(waits)
	return waits[q.state.Needed()-1]
}

// offer asks the gate of the service about a request.
func (g *group) offer(ask admission.Ask, now time.Time) admission.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Offer(ask, now)
}

// leastWait estimates how long a request would wait at the server where it waits
// least.
func (g *group) leastWait(homes route.Homes, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.LeastWait(g.outside(homes), now)
}

// overloaded reports whether requests are refused for want of room.
func (q *query) overloaded() bool {
	g := q.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Overloaded()
}

// noteCosts tells the gate what a request of this rank costs a server.
func (q *query) noteCosts(results []result) {
	g := q.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range results {
		if r.outcome == relaypb.Outcome_PART && r.ran > 0 {
			g.gate.Ran(q.entry.Rank(), r.ran)
		}
	}
}

package gateway

import (
	"fmt"
	"slices"

	"github.com/mallowgap/mallowgap/internal/control"
)

// noServers refuses a request that no server may serve now.
func (q *query) noServers() Answer {
	if len(q.entry.Homes) > 0 {
		return notRun(CodeNoHome, fmt.Sprintf("no server in service stands in a home of the route (%v)", q.entry.Homes), q.retryAfter())
	}
	for _, g := range q.groups {
		if g.isEvacuated() && g.size(nil) == 0 {
			return notRun(CodeEvacuated, "the failure domains of all servers of "+g.service+" are evacuated", q.retryAfter())
		}
	}
	return notRun(CodeNoServer, errNoServer.Error(), q.retryAfter())
}

// enoughServers reports whether as many shards as an answer needs have a server that may
// see the request.
func (q *query) enoughServers() bool {
	return q.enough(func(g *group) bool { return g.size(q.entry.Homes) > 0 })
}

// enough reports whether something holds for as many shards as an answer needs.
func (q *query) enough(holds func(*group) bool) bool {
	n := 0
	for _, g := range q.groups {
		if holds(g) {
			n++
		}
	}
	return n >= q.state.Needed()
}

// outOfReach reports whether this host is cut off and its own failure domain does not have
// what an answer needs. Such a query was held to its end, 46 of them in a cut of five
// seconds, and each sent 50 attempts to servers that could not be reached.
func (q *query) outOfReach() bool {
	if q.view.StoreLost.IsZero() {
		return false
	}
	domains := map[string]bool{}
	for _, g := range q.groups {
		g.addDomains(domains)
	}
	own := q.gateway.self.GetDomain()
	return q.gateway.silent(q.view, domains) && !q.enough(func(g *group) bool { return g.standsIn(own) })
}

// silent reports whether no host of the failure domains but the own one answers, of those
// that would be asked. They are asked again until one does.
func (g *Gateway) silent(v *control.View, domains map[string]bool) bool {
	lost := 0
	for domain := range domains {
		if domain == g.self.GetDomain() {
			continue
		}
		for _, h := range v.Relays(domain, int(g.settings.GetRelay().GetHostsPerDomain())) {
			if !g.peers.Suspected(h.Address) {
				return false
			}
			lost++
		}
	}
	return lost > 0
}

// addDomains adds the failure domains in which servers in service stand.
func (g *group) addDomains(domains map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		domains[b.Domain] = true
	}
}

// standsIn reports whether a server in service stands in a failure domain.
func (g *group) standsIn(domain string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.members, func(b *backend) bool { return b.Domain == domain })
}

// isEvacuated reports whether the failure domain of some server is evacuated.
func (g *group) isEvacuated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated
}

package gateway

import (
	"fmt"
	"slices"

	"github.com/mallowgap/mallowgap/internal/control"
)

// noServersAnswer refuses a request for which too few servers are in service.
func (q *query) noServersAnswer() Answer {
	if len(q.entry.HomeRegions) > 0 {
		return notRun(CauseNoHome, fmt.Sprintf("no server in service in the home regions of the route (%v)", q.entry.HomeRegions), q.retryAfter())
	}
	for _, g := range q.groups {
		if g.isEvacuated() && g.eligibleCount(nil) == 0 {
			return notRun(CauseEvacuated, "the failure domains of all servers of "+g.service+" are evacuated", q.retryAfter())
		}
	}
	return notRun(CauseNoServer, errNoServer.Error(), q.retryAfter())
}

// enoughServers reports whether enough shards for an answer have a server that may see the request.
func (q *query) enoughServers() bool {
	return q.enoughShards(func(g *group) bool { return g.eligibleCount(q.entry.HomeRegions) > 0 })
}

// enoughShards reports whether a condition holds for as many shards as an answer needs.
func (q *query) enoughShards(holds func(*group) bool) bool {
	n := 0
	for _, g := range q.groups {
		if holds(g) {
			n++
		}
	}
	return n >= q.state.MinShards()
}

// isCutOff reports whether this host is cut off and its own failure domain lacks servers that an
// answer needs. Such a query would otherwise run until its timeout, sending attempts to unreachable
// servers.
func (q *query) isCutOff() bool {
	if q.view.StoreLost.IsZero() {
		return false
	}
	domains := map[string]bool{}
	for _, g := range q.groups {
		g.addDomains(domains)
	}
	own := q.gateway.self.GetDomain()
	return q.gateway.otherDomainsSilent(q.view, domains) && !q.enoughShards(func(g *group) bool { return g.hasServerIn(own) })
}

// otherDomainsSilent reports whether all relays of the given failure domains, except the host's
// own, are suspected. Peers are probed until one answers.
func (g *Gateway) otherDomainsSilent(v *control.View, domains map[string]bool) bool {
	lost := 0
	for domain := range domains {
		if domain == g.self.GetDomain() {
			continue
		}
		for _, h := range v.Relays(domain, int(g.settings.GetRelay().GetHostsPerDomain())) {
			if !g.peerHealth.Suspected(h.Address) {
				return false
			}
			lost++
		}
	}
	return lost > 0
}

// addDomains adds the failure domains of the servers in service.
func (g *group) addDomains(domains map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		domains[b.Domain] = true
	}
}

// hasServerIn reports whether a server in service is in a failure domain.
func (g *group) hasServerIn(domain string) bool {
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

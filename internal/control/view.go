package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// host is a gateway as its entry in the store describes it.
type host struct {
	name     string
	address  string
	domain   string
	region   string
	strength float64
	// packs tells that it understands packed lists.
	packs bool
}

// view is the control state that traffic reads. It is immutable.
type view struct {
	table *route.Table
	// tableSince is when the table came into force here.
	tableSince time.Time
	// hosts are all gateways known, this one included, by domain: the strongest
	// first.
	hosts map[string][]host
	count int
	// farRegions are the other regions in which hosts stand.
	farRegions []string
	// known tells that the configuration and the servers are known.
	known bool
	// ready tells that requests are wanted.
	ready bool
	// storeLost is when the store was last found away; zero while it answers.
	storeLost time.Time
	revision  uint64
}

// relays returns the hosts of a failure domain that call the servers there.
func (v *view) relays(domain string, most int) []host {
	hosts := v.hosts[domain]
	return hosts[:min(most, len(hosts))]
}

// isRelay reports whether a host is one of the relays of its domain. A host
// that the store does not name yet is its own relay.
func (v *view) isRelay(name, domain string, most int) bool {
	known := false
	for i, h := range v.hosts[domain] {
		if h.name == name {
			known = true
			if i < most {
				return true
			}
		}
	}
	return !known
}

// anyFarRegion returns one of the regions in which other hosts stand, at
// random, or an empty string.
func (v *view) anyFarRegion() string {
	if len(v.farRegions) == 0 {
		return ""
	}
	return v.farRegions[rand.IntN(len(v.farRegions))]
}

// otherRegions returns the regions of the hosts without one's own, sorted.
func otherRegions(hosts map[string]host, own string) []string {
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.region != own {
			seen[h.region] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// knows reports whether a host has an address.
func (v *view) knows(address string) bool {
	for _, group := range v.hosts {
		for _, h := range group {
			if h.address == address {
				return true
			}
		}
	}
	return false
}

// byDomain groups hosts by their failure domain, the strongest first.
func byDomain(hosts map[string]host) map[string][]host {
	groups := map[string][]host{}
	for _, h := range hosts {
		groups[h.domain] = append(groups[h.domain], h)
	}
	for _, group := range groups {
		slices.SortFunc(group, compareHosts)
	}
	return groups
}

// compareHosts orders the strongest first, and by name between equals.
func compareHosts(a, b host) int {
	if c := cmp.Compare(b.strength, a.strength); c != 0 {
		return c
	}
	return strings.Compare(a.name, b.name)
}

// share is a host's part of a server.
type share struct {
	// conns is the number of connections that the host may open.
	conns int
	// hosts is the number of hosts that call the server.
	hosts int
}

// share returns this host's part of a server. Of the connections that the server
// accepts a part is divided by the hosts that call it: those are the relays of its
// domain for a shard, and all hosts for other services.
func (v *view) share(s discovery.Server, relaysPerDomain int) share {
	if v.table == nil {
		return share{conns: defaultConns, hosts: 1}
	}
	hosts := v.count
	if v.table.IsShard(s.Service) {
		hosts = len(v.relays(s.Domain, relaysPerDomain))
	}
	hosts = max(hosts, 1)
	cap := v.table.Service(s.Service).MaxConns
	if cap <= 0 {
		return share{conns: defaultConns, hosts: hosts}
	}
	return share{conns: max(int(connShare*float64(cap))/hosts, 1), hosts: hosts}
}

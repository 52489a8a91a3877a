package control

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/route"
)

// Host is a gateway as its entry in the store describes it.
type Host struct {
	Name     string
	Address  string
	Domain   string
	Region   string
	Strength float64
	// Packs tells that it understands packed lists.
	Packs bool
	// Whole tells that it passes on requests that are not queries.
	Whole bool
	// revision is that of its entry.
	revision uint64
}

// hostOf returns the host that an entry describes.
func hostOf(h *relaypb.Host) Host {
	return Host{Name: h.GetName(), Address: h.GetAddress(), Domain: h.GetDomain(), Region: h.GetRegion(), Strength: h.GetStrength(), Packs: h.GetPacks(), Whole: h.GetWhole()}
}

// View is the control state that traffic reads. It is immutable.
type View struct {
	Table *route.Table
	// TableSince is when the table came into force here.
	TableSince time.Time
	// Hosts are all gateways known, this one included, by domain: the strongest
	// first.
	Hosts map[string][]Host
	// chooser chooses among them for servers with few connections.
	chooser *chooser
	// Count is the number of hosts.
	Count int
	// Sharers is the number of hosts that share what is divided over a span of time, as the
	// retry budget: those that went not long ago count.
	Sharers int
	// farRegions are the other regions in which hosts stand.
	farRegions []string
	// Known tells that the configuration and the servers are known.
	Known bool
	// Outdated is closed when another view is published.
	Outdated <-chan struct{}
	// Doubted tells that the machine has just woken from a suspension and heard of nobody yet.
	Doubted bool
	// Ready tells that requests are wanted.
	Ready bool
	// StoreLost is when the store was last found away; zero while it answers.
	StoreLost time.Time
	// Revision is that of the store up to which all is known.
	Revision uint64
	// cold is what a cold server takes, but for what its service says of it.
	cold limit.ColdBound
}

// revisions returns the revisions of the entries of all hosts.
func (v *View) revisions() map[string]uint64 {
	revisions := make(map[string]uint64, v.Count)
	for _, group := range v.Hosts {
		for _, h := range group {
			revisions[h.Name] = h.revision
		}
	}
	return revisions
}

// Relays returns the hosts of a failure domain that call the servers there.
func (v *View) Relays(domain string, most int) []Host {
	hosts := v.Hosts[domain]
	if len(hosts) == 0 {
		return []Host{}
	}
	return hosts[:min(most, len(hosts))]
}

// Knows reports whether the store names a host of a failure domain. One that it does not
// name yet calls servers itself.
func (v *View) Knows(name, domain string) bool {
	return isAmong(v.Hosts[domain], name)
}

// AnyFarRegion returns one of the regions in which other hosts stand, at
// random, or an empty string.
func (v *View) AnyFarRegion() string {
	if len(v.farRegions) == 0 {
		return ""
	}
	return v.farRegions[rand.IntN(len(v.farRegions))]
}

// otherRegions returns the regions of the hosts without one's own, sorted.
func otherRegions(hosts map[string]Host, own string) []string {
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.Region != own {
			seen[h.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// knowsAddress reports whether a host has an address.
func (v *View) knowsAddress(address string) bool {
	for _, group := range v.Hosts {
		for _, h := range group {
			if h.Address == address {
				return true
			}
		}
	}
	return false
}

// byDomain groups hosts by their failure domain, the strongest first.
func byDomain(hosts map[string]Host) map[string][]Host {
	groups := map[string][]Host{}
	for _, h := range hosts {
		groups[h.Domain] = append(groups[h.Domain], h)
	}
	for _, group := range groups {
		slices.SortFunc(group, compareHosts)
	}
	return groups
}

// compareHosts orders the strongest first, and by name between equals.
func compareHosts(a, b Host) int {
	if c := cmp.Compare(b.Strength, a.Strength); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

const (
	// defaultConns is the share of connections to a server whose limit is not
	// known.
	defaultConns = 8
	// connShare is the part of a server's connections that the gateways near it
	// divide. Less than half, because a server does not notice at once that a
	// gateway lost power: the connections of before and after must both fit.
	connShare = 0.45
)

// Share returns this host's part of a server. Of the connections that the server accepts a
// part is divided by the hosts that call it: the relays of its domain for a shard. Any other
// server is called by every host where each can have a connection, and by a choice of them,
// spread over the failure domains, where they are too many.
func (v *View) Share(s discovery.Server, relaysPerDomain int) Share {
	if v.Table == nil {
		return Share{Conns: defaultConns, Hosts: 1}
	}
	service := v.Table.Service(s.Service)
	own := Share{Conns: defaultConns, Hosts: max(v.Count, 1), Cold: v.cold, hosts: v.chooser, server: s}
	own.Cold.PerSecond = service.ColdPerSecond
	usable := v.Count
	if service.MaxConns > 0 {
		usable = max(int(connShare*float64(service.MaxConns)), 1)
	}
	if v.Table.IsShard(s.Service) {
		own.relays = v.Relays(s.Domain, min(relaysPerDomain, usable))
		own.Hosts = max(len(own.relays), 1)
	} else if v.Count > usable {
		own.chooser, own.Hosts = v.chooser, usable
	}
	if service.MaxConns > 0 {
		own.Conns = max(usable/own.Hosts, 1)
	}
	return own
}

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

// Host is a gateway as described by its entry in the store.
type Host struct {
	Name     string
	Address  string
	Domain   string
	Region   string
	Strength float64
	// SupportsPacking is set if the host understands compressed lists.
	SupportsPacking bool
	// RelaysWhole is set if the host also forwards requests that are not queries.
	RelaysWhole bool
	// revision is the store revision of the entry.
	revision uint64
}

// hostFromEntry converts a store entry.
func hostFromEntry(h *relaypb.Host) Host {
	return Host{Name: h.GetName(), Address: h.GetAddress(), Domain: h.GetDomain(), Region: h.GetRegion(), Strength: h.GetStrength(), SupportsPacking: h.GetPacks(), RelaysWhole: h.GetWhole()}
}

// View is an immutable snapshot of the control state for request handling.
type View struct {
	Table *route.Table
	// TableSince is when Table took effect on this host.
	TableSince time.Time
	// Hosts are all known gateways by failure domain, including this one, strongest first.
	Hosts map[string][]Host
	// subsetter selects among Hosts for servers that accept few connections.
	subsetter *subsetter
	// HostCount is the number of hosts.
	HostCount int
	// BudgetSharers is the number of hosts that share limits over a time window, such as the retry
	// budget. It includes hosts that disappeared recently.
	BudgetSharers int
	// remoteRegions are the regions of all hosts except this host's own.
	remoteRegions []string
	// Initialized is set once the configuration and the servers are known.
	Initialized bool
	// Superseded is closed when a newer view is published.
	Superseded <-chan struct{}
	// Unconfirmed is set after a suspension of the machine until the store or a leader has been
	// heard.
	Unconfirmed bool
	// Ready is set while the host accepts requests.
	Ready bool
	// StoreLost is when the store became unreachable; zero while it responds.
	StoreLost time.Time
	// Revision is the store revision of this view.
	Revision uint64
	// cold limits the requests to a cold server, apart from the settings of its service.
	cold limit.ColdBound
}

// revisions returns the revisions of all host entries by host name.
func (v *View) revisions() map[string]uint64 {
	revisions := make(map[string]uint64, v.HostCount)
	for _, group := range v.Hosts {
		for _, h := range group {
			revisions[h.Name] = h.revision
		}
	}
	return revisions
}

// Relays returns at most limit hosts of a failure domain, the ones that call the servers
// there.
func (v *View) Relays(domain string, limit int) []Host {
	hosts := v.Hosts[domain]
	if len(hosts) == 0 {
		return []Host{}
	}
	return hosts[:min(limit, len(hosts))]
}

// HasHost reports whether the host has an entry in a failure domain. A host without one calls
// servers directly.
func (v *View) HasHost(name, domain string) bool {
	return containsHost(v.Hosts[domain], name)
}

// RandomRemoteRegion returns a random region other than this host's own that has hosts, or an empty
// string.
func (v *View) RandomRemoteRegion() string {
	if len(v.remoteRegions) == 0 {
		return ""
	}
	return v.remoteRegions[rand.IntN(len(v.remoteRegions))]
}

// regionsExcept returns the sorted regions of the hosts without own.
func regionsExcept(hosts map[string]Host, own string) []string {
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.Region != own {
			seen[h.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// knowsAddress reports whether address is that of a known host.
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

// groupByDomain groups hosts by failure domain, strongest first.
func groupByDomain(hosts map[string]Host) map[string][]Host {
	groups := map[string][]Host{}
	for _, h := range hosts {
		groups[h.Domain] = append(groups[h.Domain], h)
	}
	for _, group := range groups {
		slices.SortFunc(group, compareHosts)
	}
	return groups
}

// compareHosts orders hosts by descending strength, then by name.
func compareHosts(a, b Host) int {
	if c := cmp.Compare(b.Strength, a.Strength); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

const (
	// defaultConns is the number of connections to a server without a connection limit.
	defaultConns = 8
	// connShare is the fraction of a server's connection limit that its callers divide. It is
	// less than half, because a server does not notice at once that a gateway lost power: the
	// old connections and those after its restart must both fit.
	connShare = 0.45
)

// Share returns this host's share of a server. The callers divide a fraction of the
// connections the server accepts. A shard is called by the relays of its failure domain. Any
// other server is called by every host if each can have a connection, and otherwise by a
// subset of the hosts, spread over the failure domains.
func (v *View) Share(s discovery.Server, relaysPerDomain int) Share {
	if v.Table == nil {
		return Share{Conns: defaultConns, CallerCount: 1}
	}
	service := v.Table.Service(s.Service)
	share := Share{Conns: defaultConns, CallerCount: max(v.HostCount, 1), ColdBound: v.cold, allHosts: v.subsetter, server: s}
	share.ColdBound.PerSecond = service.ColdPerSecond
	usable := v.HostCount
	if service.MaxConns > 0 {
		usable = max(int(connShare*float64(service.MaxConns)), 1)
	}
	if v.Table.IsShard(s.Service) {
		share.relays = v.Relays(s.Domain, min(relaysPerDomain, usable))
		share.CallerCount = max(len(share.relays), 1)
	} else if v.HostCount > usable {
		share.subset, share.CallerCount = v.subsetter, usable
	}
	if service.MaxConns > 0 {
		share.Conns = max(usable/share.CallerCount, 1)
	}
	return share
}

package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/rendezvous"
)

// subsetter selects the subset of hosts that call a server, where not all hosts may call it: the
// server accepts fewer connections than there are hosts, or is cold. Subsets are selected by
// rendezvous hashing, so that a new or lost host changes few of them. The numbers of hosts that a
// subset takes from each failure domain differ by at most one, if the domains have enough hosts. A
// new subsetter is created whenever hosts change. It computes subsets on first use, because
// recomputing them for every server on every change would be expensive. It is safe for concurrent
// use.
type subsetter struct {
	// hosts and members hold the hosts by failure domain; domains lists the domains in order.
	hosts   map[string][]Host
	members map[string][]rendezvous.Member
	domains []string
	mu      sync.Mutex
	// subsets caches the subsets by server, domain and size.
	subsets map[subsetKey][]Host
}

// subsetKey identifies those hosts of a server's subset of n hosts that are in one domain.
type subsetKey struct {
	server, domain string
	n              int
}

// newSubsetter returns a subsetter for the hosts, grouped by failure domain.
func newSubsetter(hosts map[string][]Host) *subsetter {
	s := &subsetter{hosts: hosts, members: map[string][]rendezvous.Member{}, subsets: map[subsetKey][]Host{}}
	for domain, group := range hosts {
		s.domains = append(s.domains, domain)
		for _, h := range group {
			s.members[domain] = append(s.members[domain], rendezvous.Member{ID: h.Name})
		}
	}
	slices.Sort(s.domains)
	return s
}

// quota returns how many of n hosts are taken from a domain. The remainder of n divided by
// the number of domains goes to different domains for different servers.
func (s *subsetter) quota(server, domain string, n int) int {
	if len(s.domains) == 0 {
		return 0
	}
	perDomain := n / len(s.domains)
	if remainder := n % len(s.domains); remainder > 0 {
		var members []rendezvous.Member
		for _, d := range s.domains {
			members = append(members, rendezvous.Member{ID: d})
		}
		if slices.ContainsFunc(rendezvous.Rank(server, members, remainder), func(m rendezvous.Member) bool { return m.ID == domain }) {
			perDomain++
		}
	}
	return perDomain
}

// inDomain returns those hosts of a server's subset of n hosts that are in one domain.
func (s *subsetter) inDomain(server, domain string, n int) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := subsetKey{server, domain, n}
	if hosts, ok := s.subsets[key]; ok {
		return hosts
	}
	hosts := []Host{}
	for _, m := range rendezvous.Rank(server, s.members[domain], s.quota(server, domain, n)) {
		i := slices.IndexFunc(s.hosts[domain], func(h Host) bool { return h.Name == m.ID })
		hosts = append(hosts, s.hosts[domain][i])
	}
	s.subsets[key] = hosts
	return hosts
}

// all returns a server's subset of n hosts, with the hosts of the server's own domain first.
func (s *subsetter) all(server discovery.Server, n int) []Host {
	domains := slices.Clone(s.domains)
	slices.SortStableFunc(domains, func(a, b string) int {
		return cmp.Compare(distance(a, server.Domain), distance(b, server.Domain))
	})
	var hosts []Host
	for _, domain := range domains {
		hosts = append(hosts, s.inDomain(server.ID, domain, n)...)
	}
	return hosts
}

// distance returns the sort key of a domain as seen from another: 0 if they are equal, else 1.
func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}

// Share describes which hosts call a server, and how many of its connections and requests each of
// them may use.
type Share struct {
	// Conns is the number of connections this host may open.
	Conns int
	// CallerCount is the number of hosts that call the server.
	CallerCount int
	// ColdBound limits the requests that all hosts together send while the server is cold, that
	// is for a while after its start.
	ColdBound limit.ColdBound
	// allHosts selects the callers of a cold server that is not a shard.
	allHosts *subsetter
	// relays are the hosts that call the server if it is a shard; nil for other servers.
	relays []Host
	// subset selects the hosts that call the server if it is not a shard and accepts too few
	// connections for all hosts; nil otherwise.
	subset *subsetter
	server discovery.Server
}

// Callers returns the hosts that call the server directly, those in its own failure domain first;
// all other hosts forward their calls to one of these. It returns nil if every host calls the server.
func (s Share) Callers() []Host {
	if s.subset != nil {
		return s.subset.all(s.server, s.CallerCount)
	}
	return s.relays
}

// ColdCallers returns the number of hosts that call the server while it is cold.
func (s Share) ColdCallers() int { return s.ColdBound.Callers(s.CallerCount) }

// CallsWhileCold reports whether a host is one of those that call the server directly while it is
// cold. It is false for a host without an entry in the store.
func (s Share) CallsWhileCold(name, domain string) bool {
	n := s.ColdCallers()
	if s.relays != nil {
		return containsHost(s.relays[:min(n, len(s.relays))], name)
	}
	return s.allHosts != nil && containsHost(s.allHosts.inDomain(s.server.ID, domain, n), name)
}

// Calls reports whether a host calls the server directly.
func (s Share) Calls(name, domain string) bool {
	callers := s.relays
	if s.subset != nil {
		callers = s.subset.inDomain(s.server.ID, domain, s.CallerCount)
	}
	return callers == nil || containsHost(callers, name)
}

// containsHost reports whether hosts contains a host of the given name.
func containsHost(hosts []Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name })
}

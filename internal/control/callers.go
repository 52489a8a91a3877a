package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/rendezvous"
)

// chooser chooses the hosts that call a server with fewer connections than there are
// hosts: always the same for a server as long as they are there, as many of each failure
// domain. It is made anew when hosts come or go, and works out a choice when it is asked
// for the first time, as to do so for each server at each change of any entry would double
// the processor time of a host. It is safe for concurrent use.
type chooser struct {
	hosts   map[string][]Host
	members map[string][]rendezvous.Member
	domains []string
	mu      sync.Mutex
	// chosen holds what was worked out, by server and domain.
	chosen map[choiceKey][]Host
}

type choiceKey struct {
	server, domain string
	n              int
}

func newChooser(hosts map[string][]Host) *chooser {
	c := &chooser{hosts: hosts, members: map[string][]rendezvous.Member{}, chosen: map[choiceKey][]Host{}}
	for domain, group := range hosts {
		c.domains = append(c.domains, domain)
		for _, h := range group {
			c.members[domain] = append(c.members[domain], rendezvous.Member{ID: h.Name})
		}
	}
	slices.Sort(c.domains)
	return c
}

// quota returns how many of n hosts are of a domain. Where n is less than the number of
// domains, some have none; which ones differs from server to server.
func (c *chooser) quota(server, domain string, n int) int {
	if len(c.domains) == 0 {
		return 0
	}
	each := n / len(c.domains)
	if rest := n % len(c.domains); rest > 0 {
		var members []rendezvous.Member
		for _, d := range c.domains {
			members = append(members, rendezvous.Member{ID: d})
		}
		if slices.ContainsFunc(rendezvous.Rank(server, members, rest), func(m rendezvous.Member) bool { return m.ID == domain }) {
			each++
		}
	}
	return each
}

// in returns the chosen hosts of one domain.
func (c *chooser) in(server, domain string, n int) []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := choiceKey{server, domain, n}
	if hosts, ok := c.chosen[key]; ok {
		return hosts
	}
	hosts := []Host{}
	for _, m := range rendezvous.Rank(server, c.members[domain], c.quota(server, domain, n)) {
		i := slices.IndexFunc(c.hosts[domain], func(h Host) bool { return h.Name == m.ID })
		hosts = append(hosts, c.hosts[domain][i])
	}
	c.chosen[key] = hosts
	return hosts
}

// all returns the chosen hosts of all domains, those near the server first.
func (c *chooser) all(server discovery.Server, n int) []Host {
	domains := slices.Clone(c.domains)
	slices.SortStableFunc(domains, func(a, b string) int {
		return cmp.Compare(distance(a, server.Domain), distance(b, server.Domain))
	})
	var hosts []Host
	for _, domain := range domains {
		hosts = append(hosts, c.in(server.ID, domain, n)...)
	}
	return hosts
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}

// Share is a host's part of a server.
type Share struct {
	// Conns is the number of connections that the host may open.
	Conns int
	// Hosts is the number of hosts that call the server.
	Hosts int
	// Cold is what the server takes from all hosts together while it is cold.
	Cold limit.ColdBound
	// hosts chooses among all hosts.
	hosts *chooser
	// relays are the hosts that call a shard; not nil for shards only.
	relays []Host
	// chooser chooses the hosts that call another server; nil where all do.
	chooser *chooser
	server  discovery.Server
}

// Callers returns the hosts that call the server, the nearest to it first; the others pass
// their calls to one of these. Nil: every host calls it.
func (s Share) Callers() []Host {
	if s.chooser != nil {
		return s.chooser.all(s.server, s.Hosts)
	}
	return s.relays
}

// ColdCallers returns the number of hosts that call the server while it is cold.
func (s Share) ColdCallers() int { return s.Cold.Callers(s.Hosts) }

// CallsCold reports whether a host calls the server itself while it is cold: one of a few
// that the store names.
func (s Share) CallsCold(name, domain string) bool {
	n := s.ColdCallers()
	if s.relays != nil {
		return isAmong(s.relays[:min(n, len(s.relays))], name)
	}
	return s.hosts != nil && isAmong(s.hosts.in(s.server.ID, domain, n), name)
}

// Calls reports whether a host calls the server itself.
func (s Share) Calls(name, domain string) bool {
	among := s.relays
	if s.chooser != nil {
		among = s.chooser.in(s.server.ID, domain, s.Hosts)
	}
	return among == nil || isAmong(among, name)
}

// isAmong reports whether a host is one of some.
func isAmong(hosts []Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name })
}

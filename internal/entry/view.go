package entry

import (
	"slices"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/member"
	"github.com/mallowgap/mallowgap/rendezvous"
)

// View is an immutable snapshot of the control state, as request handling sees it.
type View struct {
	Revision uint64
	Self     member.Fact
	Members  []member.Fact
	// Synced is set once this host knows the current configuration and the members.
	// Until then the host takes no role, because it may not know the hosts that hold
	// the role.
	Synced bool
	// Ready is set if the host is synced, has a configuration and is not stopping; it
	// then accepts new requests.
	Ready bool
	// Stopping is set once a graceful shutdown of this host has begun.
	Stopping bool

	// services holds the placements by service, ranks the class ranks by desk, and
	// leavingLeaves the incarnations of the leaves that are leaving, by address.
	services      map[string]*Placement
	ranks         map[string]uint32
	leavingLeaves map[string]uint64
}

// Placement is a service and its homes, the hosts that coordinate its queries.
type Placement struct {
	Spec  *configpb.Service
	Homes []member.Fact
	// Index is the position of this host among Homes, or -1.
	Index int
}

// Service returns the placement of a service.
func (v *View) Service(name string) (*Placement, bool) {
	p, ok := v.services[name]
	return p, ok
}

// Rank returns the rank of a desk's class; 0 is the highest.
func (v *View) Rank(desk string) (uint32, bool) {
	rank, ok := v.ranks[desk]
	return rank, ok
}

// Member returns what is known about a host.
func (v *View) Member(host string) (member.Fact, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return member.Fact{}, false
}

// LeavingLeaf returns the incarnation of a leaf that is leaving; the second result
// is false if it is not.
func (v *View) LeavingLeaf(address string) (uint64, bool) {
	incarnation, ok := v.leavingLeaves[address]
	return incarnation, ok
}

// slotShare returns this host's share of the service's slots. A host that is not a home
// may still get requests from a host with a different member list; it then uses the share
// of the first home, and the leaf's own limit applies.
func (p *Placement) slotShare() home.SlotShare {
	return home.SlotShare{Homes: max(len(p.Homes), 1), Index: max(p.Index, 0)}
}

// candidates returns the members that are alive, on which homes and roles may be placed.
// Suspect members are excluded, so that their work moves at once.
func candidates(members []member.Fact) []rendezvous.Member {
	alive := make([]rendezvous.Member, 0, len(members))
	for _, m := range members {
		if m.State == member.Alive {
			alive = append(alive, rendezvous.Member{ID: m.Host, Domain: m.Domain})
		}
	}
	return alive
}

// placeServices computes the homes of every service by rendezvous hashing.
func placeServices(c *configpb.Config, members []member.Fact, self string) map[string]*Placement {
	byHost := make(map[string]member.Fact, len(members))
	for _, m := range members {
		byHost[m.Host] = m
	}
	hosts := candidates(members)
	placements := make(map[string]*Placement, len(c.GetServices()))
	for _, spec := range c.GetServices() {
		p := &Placement{Spec: spec, Index: -1}
		for i, m := range rendezvous.Rank("service/"+spec.GetName(), hosts, int(max(spec.GetHomes(), 1))) {
			p.Homes = append(p.Homes, byHost[m.ID])
			if m.ID == self {
				p.Index = i
			}
		}
		placements[spec.GetName()] = p
	}
	return placements
}

// deskRanks maps each desk to the rank of its class.
func deskRanks(c *configpb.Config) map[string]uint32 {
	classes := make(map[string]uint32, len(c.GetClasses()))
	for _, class := range c.GetClasses() {
		classes[class.GetName()] = class.GetRank()
	}
	ranks := make(map[string]uint32, len(c.GetDesks()))
	for _, d := range c.GetDesks() {
		ranks[d.GetName()] = classes[d.GetClass()]
	}
	return ranks
}

// holdsRole reports whether host is one of the n members that a role is placed on. The
// rendezvous key "duty/"+role must be the same on all hosts of a deployment.
func holdsRole(role string, members []member.Fact, host string, n int) bool {
	holders := rendezvous.Rank("duty/"+role, candidates(members), n)
	return slices.ContainsFunc(holders, func(m rendezvous.Member) bool { return m.ID == host })
}

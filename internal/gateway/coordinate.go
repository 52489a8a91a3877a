package gateway

import (
	"slices"
	"sync/atomic"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/coordination"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/team"
)

// coordinatorsPerDomain is the number of hosts of each failure domain, the strongest, that may
// coordinate. The second takes over if the failure domain has only these two.
const coordinatorsPerDomain = 2

// newCoordination returns the connection of this host with the coordinator, or with the others
// while this host coordinates.
func (g *Gateway) newCoordination() *coordination.Coordination {
	q := g.settings.GetQuota()
	bound := quota.Bound{Window: q.GetWindow().AsDuration(), Excess: q.GetExcess(), Slack: q.GetSlack()}
	states := &coordinationStates{name: g.name, minHosts: int(g.settings.GetCoordination().GetMinHosts())}
	return coordination.New(coordination.Config{
		Host: g.name, Incarnation: uint64(g.started.UnixNano()), Peers: g.adapters.Peers, Log: g.log,
		Suspected: g.peerHealth.Suspected, Suspect: g.control.Suspect,
		State: func() coordination.State { return states.of(g.control.View()) },
		Meter: quota.NewMeter(bound), Ledger: quota.NewLedger(bound),
		Gates: newGateKeeper(g), Listener: newVerdictListener(g.fleet, g.log),
	})
}

// Coordinate implements the relay protocol.
func (g *Gateway) Coordinate(stream relaypb.DRPCRelay_CoordinateStream) error {
	return g.recoverPanic("coordinate stream of a peer", "", func() error { return g.coordination.Serve(stream) })
}

// coordinationStates derives the state for the coordination from views.
type coordinationStates struct {
	name     string
	minHosts int
	// last is the latest result.
	last atomic.Pointer[coordinationState]
}

type coordinationState struct {
	view  *control.View
	state coordination.State
}

// of returns the state for a view. It is computed once for each view.
func (s *coordinationStates) of(v *control.View) coordination.State {
	if last := s.last.Load(); last != nil && last.view == v {
		return last.state
	}
	// A host whose entry has disappeared may be cut off and still admit requests by its own fraction.
	state := coordination.State{Hosts: v.BudgetSharers, Rank: rankOf(s.name, v), Limit: limitsOf(v)}
	state.Enabled = v.HostCount > 0 && (v.Table != nil && v.Table.LimitsTeams() || s.minHosts > 0 && v.HostCount >= s.minHosts)
	for domain := range v.Hosts {
		for _, h := range v.Relays(domain, coordinatorsPerDomain) {
			state.Candidates = append(state.Candidates, coordination.Host{Name: h.Name, Address: h.Address, Domain: h.Domain})
		}
	}
	state.Candidates = coordination.Order(state.Candidates)
	s.last.Store(&coordinationState{view: v, state: state})
	return state
}

// rankOf returns the rank (from 0) of a host among the hosts by name.
func rankOf(name string, v *control.View) int {
	names := make([]string, 0, v.HostCount)
	for _, group := range v.Hosts {
		for _, h := range group {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, name)
	return rank
}

// limitsOf returns a function that returns the limit of a team in a view, and an invalid one for a
// team that is not known.
func limitsOf(v *control.View) func(name string) quota.Limit {
	var teams *team.Directory
	if v.Table != nil {
		teams = v.Table.Teams()
	}
	return func(name string) quota.Limit {
		if teams != nil {
			if t, ok := teams.Team(name); ok {
				return t.Limit
			}
		}
		return quota.Limit{Invalid: true}
	}
}

package route

import (
	"math"
	"slices"
)

// GateServers describes the servers to which one admission gate admits requests.
type GateServers struct {
	// Services are the services that a request asks, one or the shards of a query.
	Services []string
	// Needed is how many of them an answer needs.
	Needed int
	Homes  HomeRegions
}

// Gate returns the servers of the gate with the given name: the service of a route, or the first
// shard of a query. It returns false if there is none, or if the routes that share the gate
// differ in their servers, so that no one wait holds for all.
func (t *Table) Gate(name string) (GateServers, bool) {
	g, ok := t.gates[name]
	return g, ok && g.Services != nil
}

// addGates adds the gates of a route.
func (t *Table) addGates(r *Route) {
	if r.Query != nil {
		n := len(r.Query.Shards)
		if n > 0 {
			t.addGate(GateServers{Services: r.Query.Shards, Needed: max(1, int(math.Ceil(r.Query.MinShare*float64(n)))), Homes: r.HomeRegions})
		}
		return
	}
	for _, target := range r.Targets {
		// Most routes share the gate of another one.
		if g, exists := t.gates[target.Service]; exists && len(g.Services) == 1 && slices.Equal(g.Homes, r.HomeRegions) {
			continue
		}
		t.addGate(GateServers{Services: []string{target.Service}, Needed: 1, Homes: r.HomeRegions})
	}
}

// addGate adds a gate, or merges it with that of another route. A gate without services stands for
// routes that differ.
func (t *Table) addGate(g GateServers) {
	name := g.Services[0]
	if other, exists := t.gates[name]; exists {
		if !slices.Equal(other.Services, g.Services) || !slices.Equal(other.Homes, g.Homes) {
			g = GateServers{}
		}
		g.Needed = max(g.Needed, other.Needed)
	}
	t.gates[name] = g
}

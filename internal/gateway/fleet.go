package gateway

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/retry"
)

const (
	// regionDistance is what a call into another failure domain of the region
	// costs beside its time: it is preferred to waiting a few milliseconds.
	regionDistance = 3 * time.Millisecond
	// farDistance is the same for another region: bytes over that way are the
	// dearest thing the tier uses, so a near server that is busy with a request
	// or two is still preferred.
	farDistance = 40 * time.Millisecond
	// defaultConns is the share of connections to a server whose limit is not
	// known.
	defaultConns = 8
	// connShare is the part of a server's connections that the gateways near it
	// divide. Less than half, because a server does not notice at once that a
	// gateway lost power: the connections of before and after must both fit.
	connShare = 0.45
	// slowerFactor and slowerMargin say by how much a server must be slower
	// than another for the preferred region to be given up: more than the usual
	// scatter of latencies.
	slowerFactor = 1.6
	slowerMargin = 6 * time.Millisecond
	// maxReplicas bounds the replicas of a group, as their masks are 64 bits.
	maxReplicas = 64
)

var (
	errNoServer = errors.New("no server of the service is known to be in service")
	errNoSlot   = errors.New("all servers of the service are busy")
)

// backend is one server with what this host has observed of it.
type backend struct {
	discovery.Server
	region string
	leaf   *replica.Leaf
}

// group holds the servers of one service.
type group struct {
	service string
	mu      sync.Mutex
	set     *replica.Set
	members []*backend
	window  *retry.Window
	// calls is the time of calls to the servers.
	calls *metrics.Histogram
}

// fleet holds the groups of all services. It is safe for concurrent use.
type fleet struct {
	place  place
	window time.Duration
	mu     sync.RWMutex
	groups map[string]*group
	byID   map[string]*backend
}

// place says where a host stands.
type place struct {
	domain, region string
	// regions maps failure domains to regions.
	regions map[string]string
}

func (p place) distance(domain string) time.Duration {
	switch {
	case domain == p.domain:
		return 0
	case p.regions[domain] == p.region:
		return regionDistance
	}
	return farDistance
}

func newFleet(p place, window time.Duration) *fleet {
	return &fleet{place: p, window: window, groups: map[string]*group{}, byID: map[string]*backend{}}
}

// group returns the group of a service, which may be empty.
func (f *fleet) group(service string) *group {
	f.mu.RLock()
	g := f.groups[service]
	f.mu.RUnlock()
	if g != nil {
		return g
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groupLocked(service)
}

func (f *fleet) groupLocked(service string) *group {
	g := f.groups[service]
	if g == nil {
		g = &group{service: service, set: newSet(nil), window: retry.NewWindow(f.window), calls: callHistogram(service)}
		f.groups[service] = g
	}
	return g
}

func newSet(leaves []*replica.Leaf) *replica.Set {
	return replica.NewSet(leaves, replica.Observed, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// server returns a server by its identifier, or nil.
func (f *fleet) server(id string) *backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.byID[id]
}

// update takes the servers now registered. conns gives the connections that
// this host may open to a server.
func (f *fleet) update(servers []discovery.Server, conns func(discovery.Server) int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.byID
	f.byID = make(map[string]*backend, len(servers))
	members := map[string][]*backend{}
	for _, s := range servers {
		b := adopt(previous[s.ID], s, f.place, conns(s), now)
		f.byID[s.ID] = b
		if s.Draining {
			b.retire(f.groupLocked(s.Service))
		} else if len(members[s.Service]) < maxReplicas {
			members[s.Service] = append(members[s.Service], b)
		}
	}
	for id, b := range previous {
		if f.byID[id] == nil {
			b.retire(f.groupLocked(b.Service))
		}
	}
	for service := range members {
		f.groupLocked(service)
	}
	for service, g := range f.groups {
		g.replace(members[service])
	}
}

// adopt returns the backend for a registration, keeping what was observed.
func adopt(old *backend, s discovery.Server, p place, conns int, now time.Time) *backend {
	b := &backend{Server: s, region: p.regions[s.Domain]}
	if old != nil {
		b.leaf = old.leaf
	} else {
		b.leaf = &replica.Leaf{Address: s.Address, Domain: s.Domain, Slots: limit.NewSlots(conns), Distance: p.distance(s.Domain), Parallel: max(s.Slots, 1)}
		if s.Cold > 0 {
			b.leaf.Slots.Restarted(now)
		}
	}
	return b
}

// retire forbids calls to a server that drains or is gone.
func (b *backend) retire(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.leaf.Leaving = true
}

func (g *group) replace(members []*backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sameMembers(g.members, members) {
		return
	}
	leaves := make([]*replica.Leaf, len(members))
	for i, b := range members {
		leaves[i] = b.leaf
	}
	g.members = members
	g.set = newSet(leaves)
}

func sameMembers(a, b []*backend) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].leaf != b[i].leaf || a[i].Server != b[i].Server {
			return false
		}
	}
	return true
}

// setShares changes how many connections this host may open to each server.
func (f *fleet) setShares(conns func(discovery.Server) int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, g := range f.groups {
		g.setShares(conns)
	}
}

func (g *group) setShares(conns func(discovery.Server) int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		b.leaf.Slots.SetShare(conns(b.Server))
	}
}

// call is a slot taken on a server for one request.
type call struct {
	group   *group
	backend *backend
	started time.Time
}

// wish says what kind of slot a request wants.
type wish struct {
	// tried are the servers that were sent the request. They are avoided; where
	// no other is left, a request that is not a hedge may go there again.
	tried []string
	hedge bool
	// region is the far region to prefer to others that are as far, so that
	// one relay serves all far shards of a query; empty for none.
	region string
	// probeEvery is how often an avoided server gets a request of this kind.
	probeEvery time.Duration
}

// pick takes a slot on the server that should get a request at now.
func (g *group) pick(now time.Time, w wish) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	exclude := g.mask(w.tried)
	if !g.set.Reachable(exclude) {
		if w.hedge || !g.set.Reachable(0) {
			return nil, errNoServer
		}
		exclude = 0
	}
	i := replica.None
	if !w.hedge && len(w.tried) == 0 {
		i = g.set.Probe(now, exclude, w.probeEvery)
	}
	if i == replica.None {
		i = g.pickFar(now, w.region, exclude)
	}
	if i == replica.None {
		i = g.set.Pick(now, 0, exclude)
	}
	if i == replica.None || !g.set.Acquire(i, now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: g.members[i], started: now}, nil
}

// pickFar picks among the servers of one far region where none is nearer,
// unless another far server is expected to answer much sooner.
func (g *group) pickFar(now time.Time, region string, exclude uint64) int {
	if region == "" {
		return replica.None
	}
	for i, b := range g.members {
		if b.leaf.Distance < farDistance {
			return replica.None
		}
		if b.region != region {
			exclude |= 1 << i
		}
	}
	if !g.set.Reachable(exclude) {
		return replica.None
	}
	i := g.set.Pick(now, 0, exclude)
	if i == replica.None || g.muchSlower(i, now) {
		return replica.None
	}
	return i
}

// muchSlower reports whether another server is expected to answer in much less
// time than the i-th.
func (g *group) muchSlower(i int, now time.Time) bool {
	own := g.set.Expected(i, now)
	for j := range g.members {
		if j != i && own > time.Duration(slowerFactor*float64(g.set.Expected(j, now)))+slowerMargin {
			return true
		}
	}
	return false
}

// take takes a slot on one given server.
func (g *group) take(b *backend, now time.Time) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.leaf.Leaving {
		return nil, errNoServer
	}
	if !b.leaf.Slots.Acquire(now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: b, started: now}, nil
}

func (g *group) mask(ids []string) uint64 {
	var mask uint64
	for i, b := range g.members {
		for _, id := range ids {
			if b.ID == id {
				mask |= 1 << i
			}
		}
	}
	return mask
}

// size returns the number of servers in service.
func (g *group) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

// end gives the slot back and notes what became of the call. It reports
// whether the server was ejected for it.
func (c *call) end(result callResult, elapsed time.Duration, now time.Time) bool {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	leaf := c.backend.leaf
	leaf.Slots.Release()
	if result == callMoved {
		leaf.Leaving = true
	}
	i := c.index()
	if i == replica.None {
		return false
	}
	switch result {
	case callServed:
		g.set.Answered(i, elapsed, now)
	case callShed:
		g.set.Refused(i, now)
	case callCut:
		g.set.CutShort(i, elapsed)
	case callFailed:
		return g.set.Failed(i, now)
	}
	return false
}

func (c *call) index() int {
	for i, b := range c.group.members {
		if b.leaf == c.backend.leaf {
			return i
		}
	}
	return replica.None
}

// callResult is what a call tells about its server.
type callResult int

const (
	// callServed: the server answered.
	callServed callResult = iota
	// callFailed: the server failed or could not be reached.
	callFailed
	// callShed: the server was full.
	callShed
	// callMoved: the address belongs to another server.
	callMoved
	// callCut: the call was given up before an answer came.
	callCut
	// callUntold: the call says nothing about the server.
	callUntold
)

// first notes a first attempt at the service.
func (g *group) first(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.First(1, now)
}

// extra takes an extra attempt from the budget of the service.
func (g *group) extra(share, slack float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window.Take(share, slack, now)
}

package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
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
	// nearWay and farWay are the times of a message to a host of the own region and of
	// another one.
	nearWay = time.Millisecond
	farWay  = 10 * time.Millisecond
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

// tooLateError says that a call would come too late for those before it at the server.
type tooLateError struct {
	// wait is how long those take.
	wait time.Duration
}

// Error names the wait.
func (e *tooLateError) Error() string {
	return fmt.Sprintf("the call would wait %v at the server and come too late: add a replica of this shard", e.wait.Round(time.Millisecond))
}

// backend is one server with what this host has observed of it.
type backend struct {
	discovery.Server
	region string
	leaf   *replica.Leaf
	// share is this host's part of it.
	share control.Share
	// cold deals out what this host may send it while it is cold.
	cold *limit.Cold
	// saidUnreadable tells that the log says that its load reports cannot be read.
	saidUnreadable *atomic.Bool
}

// group holds the servers of one service.
type group struct {
	service string
	mu      sync.Mutex
	set     *replica.Set
	members []*backend
	// evacuated tells that the failure domain of some server is to get nothing.
	evacuated bool
	window    *retry.Window
	// gate decides about the requests of which this is the first service.
	gate *admission.Gate
	// calls is the time of calls to the servers.
	calls *metrics.Histogram
}

// fleet holds the groups of all services. It is safe for concurrent use.
type fleet struct {
	location location
	window   time.Duration
	mu       sync.RWMutex
	groups   map[string]*group
	byID     map[string]*backend
}

// location says where a host stands.
type location struct {
	name, domain, region string
	// regions maps failure domains to regions.
	regions map[string]string
}

func (p location) distance(domain string) time.Duration {
	switch {
	case domain == p.domain:
		return 0
	case p.regions[domain] == p.region:
		return regionDistance
	}
	return farDistance
}

// way is the usual time of a message to a host of a region.
func (p location) way(region string) time.Duration {
	if region == p.region {
		return nearWay
	}
	return farWay
}

// slots is the number of calls that this host makes at a time to a server. One that passes
// them to other hosts is bounded by these.
func (p location) slots(own control.Share) int {
	if own.Calls(p.name, p.domain) {
		return own.Conns
	}
	return own.Conns * own.Hosts
}

func newFleet(p location, window time.Duration) *fleet {
	return &fleet{location: p, window: window, groups: map[string]*group{}, byID: map[string]*backend{}}
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
		g = &group{service: service, set: newSet(nil), gate: admission.NewGate(newRNG()), window: retry.NewWindow(f.window), calls: callHistogram(service)}
		f.groups[service] = g
	}
	return g
}

func newSet(leaves []*replica.Leaf) *replica.Set {
	return replica.NewSet(leaves, replica.Observed, newRNG())
}

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// server returns a server by its identifier, or nil.
func (f *fleet) server(id string) *backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.byID[id]
}

// servers returns all servers known.
func (f *fleet) servers() []discovery.Server {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]discovery.Server, 0, len(f.byID))
	for _, b := range f.byID {
		all = append(all, b.Server)
	}
	return all
}

// update takes the servers now registered. It returns those that are later processes than
// the ones known before under their identifiers, and those processes that ended without
// having drained. shares gives this host's part of a server.
func (f *fleet) update(servers []discovery.Server, shares func(discovery.Server) control.Share, now time.Time) (restarted, ended []discovery.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.byID
	f.byID = make(map[string]*backend, len(servers))
	members := map[string][]*backend{}
	evacuated := map[string]bool{}
	for _, s := range servers {
		old := previous[s.ID]
		if old != nil && startsAnew(s, old.Server) {
			old.retire(f.groupLocked(old.Service))
			old = nil
			restarted = append(restarted, s)
			if s.Replaces(previous[s.ID].Server) {
				ended = append(ended, previous[s.ID].Server)
			}
		}
		b := adopt(old, s, f.location, shares(s), now)
		f.byID[s.ID] = b
		evacuated[s.Service] = evacuated[s.Service] || s.Evacuated
		if s.Draining || s.Evacuated {
			b.retire(f.groupLocked(s.Service))
		} else if len(members[s.Service]) < maxReplicas {
			members[s.Service] = append(members[s.Service], b)
		}
	}
	for id, b := range previous {
		if f.byID[id] == nil {
			b.retire(f.groupLocked(b.Service))
			if !b.Draining {
				ended = append(ended, b.Server)
			}
		}
	}
	for service := range members {
		f.groupLocked(service)
	}
	for service, g := range f.groups {
		g.replace(members[service], evacuated[service])
	}
	return restarted, ended
}

// processName names the process of a server.
func processName(s discovery.Server) string { return fmt.Sprintf("%s#%d", s.ID, s.Born) }

// startsAnew reports whether what was observed of a server before says nothing about it now:
// it is a later process, or its failure domain was evacuated in between.
func startsAnew(s, before discovery.Server) bool {
	return s.Replaces(before) || before.Evacuated && !s.Evacuated
}

// adopt returns the backend for a registration, keeping what was observed.
func adopt(old *backend, s discovery.Server, p location, own control.Share, now time.Time) *backend {
	b := &backend{Server: s, region: p.regions[s.Domain], share: own}
	if old != nil {
		b.leaf, b.cold, b.saidUnreadable = old.leaf, old.cold, old.saidUnreadable
	} else {
		b.cold, b.saidUnreadable = &limit.Cold{}, &atomic.Bool{}
		b.leaf = &replica.Leaf{Address: s.Address, Domain: s.Domain, Slots: limit.NewSlots(p.slots(own)), Sharers: own.Hosts, Distance: p.distance(s.Domain), Parallel: max(s.Slots, 1)}
		if now.Before(s.ColdUntil) {
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

func (g *group) replace(members []*backend, evacuated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuated = evacuated
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

// setShares changes this host's part of each server.
func (f *fleet) setShares(shares func(discovery.Server) control.Share, now time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, g := range f.groups {
		g.setShares(f.location, shares, now)
	}
}

func (g *group) setShares(location location, shares func(discovery.Server) control.Share, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		own := shares(b.Server)
		b.share = own
		b.leaf.Slots.SetShare(location.slots(own))
		b.leaf.Sharers = own.Hosts
		if own.Cold.Known() {
			b.cold.SetCaller(own.CallsCold(location.name, location.domain), now)
		}
	}
}

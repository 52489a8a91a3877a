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
	// regionDistance is the latency penalty for a server in another failure domain of the region. A
	// near server is preferred unless it is slower by more than this.
	regionDistance = 3 * time.Millisecond
	// farDistance is the latency penalty for a server in another region. It is high because traffic
	// between regions is the most expensive: a near server is preferred even with a few requests
	// queued.
	farDistance = 40 * time.Millisecond
	// nearLatency and farLatency are the usual one-way message times within the region and to
	// another region.
	nearLatency = time.Millisecond
	farLatency  = 10 * time.Millisecond
	// slowerFactor and slowerMargin define how much slower than another far server one in the
	// preferred region may be. They exceed the usual variation of latencies.
	slowerFactor = 1.6
	slowerMargin = 6 * time.Millisecond
	// maxReplicas limits the replicas of a group, because sets of replicas are 64-bit masks.
	maxReplicas = 64
)

var (
	errNoServer = errors.New("no server of the service is known to be in service")
	errNoSlot   = errors.New("all servers of the service are busy")
)

// tooLateError reports that a call would complete too late because of the requests queued at the
// server.
type tooLateError struct {
	// wait is the time until those requests have run.
	wait time.Duration
}

// Error implements error.
func (e *tooLateError) Error() string {
	return fmt.Sprintf("the call would wait %v at the server and complete too late: add a replica of this shard", e.wait.Round(time.Millisecond))
}

// backend is a server together with what this host has observed of it.
type backend struct {
	discovery.Server
	region string
	leaf   *replica.Leaf
	// share is this host's share of the server.
	share control.Share
	// cold limits the requests that this host sends while the server is cold.
	cold *limit.ColdLimiter
	// unreadableLogged reports that unreadable load reports of the server were logged.
	unreadableLogged *atomic.Bool
}

// group holds the servers of one service.
type group struct {
	service string
	mu      sync.Mutex
	set     *replica.Set
	members []*backend
	// evacuated reports that the failure domain of some server is evacuated.
	evacuated   bool
	retryWindow *retry.Window
	// gate decides on admission of the requests whose first service this is.
	gate *admission.Gate
	// callDuration is the histogram of the duration of calls to the servers.
	callDuration *metrics.Histogram
}

// fleet holds the groups of all services. It is safe for concurrent use.
type fleet struct {
	location  location
	retrySpan time.Duration
	mu        sync.RWMutex
	groups    map[string]*group
	byID      map[string]*backend
}

// location is the place of a host in the deployment.
type location struct {
	name, domain, region string
	// regions maps failure domains to regions.
	regions map[string]string
}

func (l location) distance(domain string) time.Duration {
	switch {
	case domain == l.domain:
		return 0
	case l.regions[domain] == l.region:
		return regionDistance
	}
	return farDistance
}

// messageLatency returns the usual one-way message time to a host of a region.
func (l location) messageLatency(region string) time.Duration {
	if region == l.region {
		return nearLatency
	}
	return farLatency
}

// slots returns the number of concurrent calls that this host may have at a server. A host that
// does not call the server itself may use the slots of all hosts that do.
func (l location) slots(share control.Share) int {
	if share.Calls(l.name, l.domain) {
		return share.Conns
	}
	return share.Conns * share.CallerCount
}

func newFleet(loc location, retrySpan time.Duration) *fleet {
	return &fleet{location: loc, retrySpan: retrySpan, groups: map[string]*group{}, byID: map[string]*backend{}}
}

// group returns the group of a service, creating an empty one if necessary.
func (f *fleet) group(service string) *group {
	if g := f.knownGroup(service); g != nil {
		return g
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groupLocked(service)
}

// knownGroup returns the group of a service, or nil if there is none.
func (f *fleet) knownGroup(service string) *group {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.groups[service]
}

func (f *fleet) groupLocked(service string) *group {
	g := f.groups[service]
	if g == nil {
		g = &group{service: service, set: newSet(nil), gate: admission.NewGate(newRNG()), retryWindow: retry.NewWindow(f.retrySpan), callDuration: callHistogram(service)}
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

// servers returns all known servers.
func (f *fleet) servers() []discovery.Server {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]discovery.Server, 0, len(f.byID))
	for _, b := range f.byID {
		all = append(all, b.Server)
	}
	return all
}

// update replaces the registered servers. It returns the servers that were restarted under their
// previous identifiers, and the processes that crashed or otherwise ended without having drained.
// shares returns this host's share of a server.
func (f *fleet) update(servers []discovery.Server, shares func(discovery.Server) control.Share, now time.Time) (restarted, crashed []discovery.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.byID
	f.byID = make(map[string]*backend, len(servers))
	members := map[string][]*backend{}
	evacuated := map[string]bool{}
	for _, s := range servers {
		old := previous[s.ID]
		if old != nil && isNewInstance(s, old.Server) {
			old.retire(f.groupLocked(old.Service))
			old = nil
			restarted = append(restarted, s)
			if s.Replaces(previous[s.ID].Server) {
				crashed = append(crashed, previous[s.ID].Server)
			}
		}
		b := newBackend(old, s, f.location, shares(s), now)
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
				crashed = append(crashed, b.Server)
			}
		}
	}
	for service := range members {
		f.groupLocked(service)
	}
	for service, g := range f.groups {
		g.setMembers(members[service], evacuated[service])
	}
	return restarted, crashed
}

// processName returns a name for one process of a server.
func processName(s discovery.Server) string { return fmt.Sprintf("%s#%d", s.ID, s.StartedAtMillis) }

// isNewInstance reports whether earlier observations of a server no longer apply: its process was
// replaced, it serves another service or has another address, it no longer drains, or the evacuation of
// its failure domain has ended. The lock of its group protects a leaf, so two groups must not share one.
func isNewInstance(s, before discovery.Server) bool {
	return s.Replaces(before) || s.Service != before.Service || s.Address != before.Address ||
		before.Draining && !s.Draining || before.Evacuated && !s.Evacuated
}

// newBackend returns the backend of a registered server, keeping the observations of old if that is
// not nil.
func newBackend(old *backend, s discovery.Server, loc location, share control.Share, now time.Time) *backend {
	b := &backend{Server: s, region: loc.regions[s.Domain], share: share}
	if old != nil {
		b.leaf, b.cold, b.unreadableLogged = old.leaf, old.cold, old.unreadableLogged
	} else {
		b.cold, b.unreadableLogged = &limit.ColdLimiter{}, &atomic.Bool{}
		b.leaf = &replica.Leaf{Address: s.Address, Domain: s.Domain, Slots: limit.NewSlots(loc.slots(share)), Hosts: share.CallerCount, DistancePenalty: loc.distance(s.Domain), Concurrency: max(s.Slots, 1)}
		if now.Before(s.ColdUntil) {
			b.leaf.Slots.StartRampUp(now)
		}
	}
	return b
}

// retire forbids new calls to a server that drains or is gone.
func (b *backend) retire(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.leaf.Leaving = true
}

func (g *group) setMembers(members []*backend, evacuated bool) {
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

// setShares updates this host's share of each server.
func (f *fleet) setShares(shares func(discovery.Server) control.Share, now time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, g := range f.groups {
		g.setShares(f.location, shares, now)
	}
}

func (g *group) setShares(loc location, shares func(discovery.Server) control.Share, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		share := shares(b.Server)
		b.share = share
		b.leaf.Slots.SetShare(loc.slots(share))
		b.leaf.Hosts = share.CallerCount
		if share.ColdBound.Known() {
			b.cold.SetCaller(share.CallsWhileCold(loc.name, loc.domain), now)
		}
	}
}

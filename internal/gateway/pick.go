package gateway

import (
	"math/bits"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

// call is a slot taken on a server for one request.
type call struct {
	group   *group
	backend *backend
	started time.Time
	// share is this host's share of the server.
	share control.Share
	// knownSlow reports that the server was chosen although it is known to be slow.
	knownSlow bool
	// needsColdCaller reports that the server is cold and this host is not among its callers
	// meanwhile, so that another host must make the call.
	needsColdCaller bool
	// released reports that the slot was released.
	released bool
}

// pickOptions selects the slot that a request needs.
type pickOptions struct {
	// tried lists the servers that were sent the request. They are avoided; if no other server is
	// left, a request that is not a hedge may go to one of them again.
	tried []string
	hedge bool
	// region is the preferred region among equally far ones, so that one relay serves all far
	// shards of a query; empty for none.
	region string
	// probeInterval is the interval at which an avoided server gets a request of this kind.
	probeInterval time.Duration
	// timeBudget is when the part is needed.
	timeBudget replica.TimeBudget
	// homes are the regions whose servers may see the request.
	homes route.HomeRegions
}

// pick takes a slot on the best server at now.
func (g *group) pick(now time.Time, opts pickOptions) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	forbidden := g.outsideHomes(opts.homes)
	if !g.set.Reachable(forbidden) {
		return nil, errNoServer
	}
	absent := g.set.AbsentMask(now)
	if !g.set.Reachable(forbidden | absent) {
		return nil, &absentError{wait: g.set.NextRetry(forbidden, now)}
	}
	exclude := forbidden | absent | g.maskOf(opts.tried)
	if !g.set.Reachable(exclude) {
		if opts.hedge {
			return nil, errNoServer
		}
		exclude = forbidden | absent
	}
	cold := g.coldMask(now) &^ exclude
	i := g.chooseServer(opts, forbidden, exclude|cold, now)
	if i == replica.None && cold != 0 && !opts.hedge {
		return g.pickCold(exclude, now)
	}
	if i == replica.None {
		return nil, errNoSlot
	}
	if wait, late := g.set.WouldBeLate(i, opts.timeBudget, now); late {
		return nil, &tooLateError{wait: wait}
	}
	if !g.set.Acquire(i, now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: g.members[i], started: now, share: g.members[i].share, knownSlow: g.set.KnownSlow(i, now)}, nil
}

// chooseServer returns the index of the best server, or replica.None if all are busy. forbidden is
// the set of servers outside the homes, exclude that of all servers that must not be chosen.
func (g *group) chooseServer(opts pickOptions, forbidden, exclude uint64, now time.Time) int {
	i := replica.None
	if !opts.hedge && len(opts.tried) == 0 {
		i = g.set.Probe(now, exclude, opts.probeInterval)
	}
	if i == replica.None {
		i = g.pickFar(now, opts.region, forbidden, exclude)
	}
	if i == replica.None {
		i = g.set.Pick(now, 0, exclude)
	}
	return i
}

// earliestCompletion estimates, for the server that would finish a request first, when that would
// be and how long the request would run; 0 is unknown.
func (g *group) earliestCompletion(homes route.HomeRegions, now time.Time) (expected, run time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.EarliestCompletion(g.outsideHomes(homes), now)
}

// takeSlot takes a slot on the given server.
func (g *group) takeSlot(b *backend, timeBudget replica.TimeBudget, now time.Time) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.indexOf(b.leaf)
	if b.leaf.Leaving || i == replica.None {
		return nil, errNoServer
	}
	b = g.members[i]
	if g.set.AbsentMask(now)&(1<<i) != 0 {
		return nil, &absentError{wait: g.set.NextRetry(^uint64(1<<i), now)}
	}
	if wait, late := g.set.WouldBeLate(i, timeBudget, now); late {
		return nil, &tooLateError{wait: wait}
	}
	if !b.leaf.Slots.Free(now) {
		return nil, errNoSlot
	}
	if b.isCold(now) {
		if err := g.takeColdToken(b, now); err != nil {
			return nil, err
		}
	}
	g.set.Acquire(i, now)
	return &call{group: g, backend: b, started: now}, nil
}

// pickFar picks a server of the preferred region if the group has no server nearer than another
// region, unless another far server is expected to answer much sooner.
func (g *group) pickFar(now time.Time, region string, forbidden, exclude uint64) int {
	if region == "" {
		return replica.None
	}
	for i, b := range g.members {
		if b.leaf.DistancePenalty < farDistance {
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
	if i == replica.None || g.muchSlower(i, forbidden, now) {
		return replica.None
	}
	return i
}

// muchSlower reports whether another server that is not forbidden is expected to answer much sooner
// than server i.
func (g *group) muchSlower(i int, forbidden uint64, now time.Time) bool {
	own := g.set.Expected(i, now) + g.set.ToldWait(i, now)
	for j := range g.members {
		if j != i && forbidden&(1<<j) == 0 && own > time.Duration(slowerFactor*float64(g.set.Expected(j, now)+g.set.ToldWait(j, now)))+slowerMargin {
			return true
		}
	}
	return false
}

func (g *group) maskOf(ids []string) uint64 {
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

// outsideHomes returns the set of servers that may not see a request with the given homes.
func (g *group) outsideHomes(homes route.HomeRegions) uint64 {
	var mask uint64
	for i, b := range g.members {
		if !homes.Allow(b.region) {
			mask |= 1 << i
		}
	}
	return mask
}

// eligibleCount returns the number of servers in service that may see a request with the given
// homes.
func (g *group) eligibleCount(homes route.HomeRegions) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) - bits.OnesCount64(g.outsideHomes(homes))
}

// hasUntried reports whether there is a server that may see the request, was not tried and is not
// absent.
func (g *group) hasUntried(tried []string, homes route.HomeRegions, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Reachable(g.outsideHomes(homes) | g.maskOf(tried) | g.set.AbsentMask(now))
}

// callEnd describes how a call ended.
type callEnd struct {
	result callResult
	// elapsed is the duration of the call as seen from this host.
	elapsed time.Duration
	// atServer is the duration of the call as seen from the host that made it.
	atServer time.Duration
	load     Load
	// absent reports that nothing listens at the server's address.
	absent bool
}

// serverChange is what the end of a call changed in the state of its server.
type serverChange struct {
	// runTime is how long the request ran at the server; 0 is unknown.
	runTime time.Duration
	// ejected reports that the server was ejected after failures, absent that nothing listens at
	// its address any more, returned that an absent server answered again.
	ejected, absent, returned bool
}

// end releases the slot and records how the call ended.
func (c *call) end(e callEnd, now time.Time) (change serverChange) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	leaf := c.backend.leaf
	if e.result == callMoved {
		leaf.Leaving = true
	}
	c.releaseSlot()
	i := g.indexOf(leaf)
	if i == replica.None {
		return serverChange{}
	}
	wasAbsent := g.set.IsAbsent(i)
	if e.load.Slowness > 0 {
		g.set.ReportSlowdown(i, e.load.Slowness, now)
	}
	if e.load.Known {
		change.runTime = g.set.ReportQueue(i, e.load.Waiting, e.atServer, now)
	}
	if e.absent {
		g.set.MarkAbsent(i, now)
	}
	switch e.result {
	case callServed:
		g.set.Answered(i, e.elapsed, now)
	case callRefused:
		g.set.Refused(i, now)
	case callCanceled:
		g.set.Canceled(i, e.elapsed, now)
	case callFailed:
		change.ejected = g.set.Failed(i, now)
	}
	isAbsent := g.set.IsAbsent(i)
	change.absent, change.returned = isAbsent && !wasAbsent, wasAbsent && !isAbsent
	return change
}

// state returns the smoothed run time of requests at the server (0 is unknown), the number of calls of
// this host in flight there, and whether requests run long at all servers of the group.
func (c *call) state() (serviceTime time.Duration, inFlight int, long bool) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := g.indexOf(c.backend.leaf); i != replica.None {
		serviceTime = g.set.ServiceTime(i)
	}
	return serviceTime, c.backend.leaf.Slots.InUse(), g.set.LongRuns()
}

// abandon releases the slot of a call that was not made.
func (c *call) abandon() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.releaseSlot()
}

// releaseSlot releases the slot once. The caller must hold the lock of the group.
func (c *call) releaseSlot() {
	if !c.released {
		c.released = true
		c.backend.leaf.Slots.Release()
	}
}

// indexOf returns the index of a server among the members, or replica.None if it is no longer in
// service.
func (g *group) indexOf(leaf *replica.Leaf) int {
	return slices.IndexFunc(g.members, func(b *backend) bool { return b.leaf == leaf })
}

// callResult is what a call implies for its server.
type callResult int

const (
	// callServed: the server answered.
	callServed callResult = iota
	// callFailed: the server failed or could not be reached.
	callFailed
	// callRefused: the server was full.
	callRefused
	// callMoved: the address belongs to another server.
	callMoved
	// callCanceled: the call was canceled before a reply arrived.
	callCanceled
	// callInconclusive: the call says nothing about the server.
	callInconclusive
)

// countFirst counts a first attempt at the service.
func (g *group) countFirst(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow.AddFirstAttempts(1, now)
}

// takeExtra takes an extra attempt from the given part (0 to 1) of the retry budget of the service.
func (g *group) takeExtra(part, share, slack float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow.TakeFraction(part, share, slack, now)
}

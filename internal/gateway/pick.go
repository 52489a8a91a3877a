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
	// share is this host's part of the server.
	share control.Share
	// knownSlow tells that the server was chosen although it is known to be slow.
	knownSlow bool
	// cold tells that the server is cold and this host does not call it then: another host
	// is to be asked.
	cold bool
	// released tells that the slot was given back.
	released bool
}

// pickOptions says what kind of slot a request wants.
type pickOptions struct {
	// tried are the servers that were sent the request. They are avoided; where
	// no other is left, a request that is not a hedge may go there again.
	tried []string
	hedge bool
	// region is the far region to prefer to others that are as far, so that
	// one relay serves all far shards of a query; empty for none.
	region string
	// probeEvery is how often an avoided server gets a request of this kind.
	probeEvery time.Duration
	// due is when the part is wanted.
	due replica.Due
	// homes are the regions whose servers may see the request.
	homes route.Homes
}

// pick takes a slot on the server that should get a request at now.
func (g *group) pick(now time.Time, w pickOptions) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	away := g.outside(w.homes)
	if !g.set.Reachable(away) {
		return nil, errNoServer
	}
	absent := g.set.AbsentMask(now)
	if !g.set.Reachable(away | absent) {
		return nil, &absentError{wait: g.set.NextLook(away, now)}
	}
	exclude := away | absent | g.mask(w.tried)
	if !g.set.Reachable(exclude) {
		if w.hedge {
			return nil, errNoServer
		}
		exclude = away | absent
	}
	cold := g.cold(now) &^ exclude
	i := g.choose(w, away, exclude|cold, now)
	if i == replica.None && cold != 0 && !w.hedge {
		return g.pickCold(exclude, now)
	}
	if i == replica.None {
		return nil, errNoSlot
	}
	if wait, late := g.set.TooLate(i, w.due, now); late {
		return nil, &tooLateError{wait: wait}
	}
	if !g.set.Acquire(i, now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: g.members[i], started: now, share: g.members[i].share, knownSlow: g.set.KnownSlow(i, now)}, nil
}

// choose returns the server that should get a request, or None where all are busy.
func (g *group) choose(w pickOptions, away, exclude uint64, now time.Time) int {
	i := replica.None
	if !w.hedge && len(w.tried) == 0 {
		i = g.set.Probe(now, exclude, w.probeEvery)
	}
	if i == replica.None {
		i = g.pickFar(now, w.region, away, exclude)
	}
	if i == replica.None {
		i = g.set.Pick(now, 0, exclude)
	}
	return i
}

// soonest estimates after what time a request would have run at the server that brings it
// first, and how long it would run there; 0 is unknown.
func (g *group) soonest(homes route.Homes, now time.Time) (expected, run time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Soonest(g.outside(homes), now)
}

// take takes a slot on one given server.
func (g *group) take(b *backend, due replica.Due, now time.Time) (*call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.index(b.leaf)
	if b.leaf.Leaving || i == replica.None {
		return nil, errNoServer
	}
	b = g.members[i]
	if g.set.AbsentMask(now)&(1<<i) != 0 {
		return nil, &absentError{wait: g.set.NextLook(^uint64(1<<i), now)}
	}
	if wait, late := g.set.TooLate(i, due, now); late {
		return nil, &tooLateError{wait: wait}
	}
	if !b.leaf.Slots.Free(now) {
		return nil, errNoSlot
	}
	if b.isCold(now) {
		if err := g.takeCold(b, now); err != nil {
			return nil, err
		}
	}
	g.set.Acquire(i, now)
	return &call{group: g, backend: b, started: now}, nil
}

// pickFar picks among the servers of one far region where none is nearer,
// unless another far server is expected to answer much sooner.
func (g *group) pickFar(now time.Time, region string, away, exclude uint64) int {
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
	if i == replica.None || g.muchSlower(i, away, now) {
		return replica.None
	}
	return i
}

// muchSlower reports whether another server, but for those that are away, is expected to
// answer in much less time than the i-th.
func (g *group) muchSlower(i int, away uint64, now time.Time) bool {
	own := g.set.Expected(i, now)
	for j := range g.members {
		if j != i && away&(1<<j) == 0 && own > time.Duration(slowerFactor*float64(g.set.Expected(j, now)))+slowerMargin {
			return true
		}
	}
	return false
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

// outside is the set of servers that may not see a request with homes.
func (g *group) outside(homes route.Homes) uint64 {
	var mask uint64
	for i, b := range g.members {
		if !homes.Allow(b.region) {
			mask |= 1 << i
		}
	}
	return mask
}

// size returns the number of servers in service that may see a request with homes.
func (g *group) size(homes route.Homes) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) - bits.OnesCount64(g.outside(homes))
}

// hasOther reports whether a server that was not tried may be asked now, of those that may see a
// request with homes.
func (g *group) hasOther(tried []string, homes route.Homes, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Reachable(g.outside(homes) | g.mask(tried) | g.set.AbsentMask(now))
}

// callEnd is what became of a call.
type callEnd struct {
	result callResult
	// elapsed is the time of the call, seen from here.
	elapsed time.Duration
	// atServer is the time of the call seen from the host that made it.
	atServer time.Duration
	load     Load
	// absent tells that nothing listens at the server's address.
	absent bool
}

// learned is what the end of a call changed in what is believed of its server.
type learned struct {
	// ran is how long the request ran there; 0 is unknown.
	ran time.Duration
	// ejected tells that the server failed too often, absent that nothing listens at its
	// address any more, back that it answers again.
	ejected, absent, back bool
}

// end gives the slot back and notes what became of the call.
func (c *call) end(e callEnd, now time.Time) (news learned) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	leaf := c.backend.leaf
	if e.result == callMoved {
		leaf.Leaving = true
	}
	c.release()
	i := g.index(leaf)
	if i == replica.None {
		return learned{}
	}
	wasAbsent := g.set.IsAbsent(i)
	if e.load.Slowness > 0 {
		g.set.Slowed(i, e.load.Slowness, now)
	}
	if e.load.Known {
		news.ran = g.set.Queued(i, e.load.Waiting, e.atServer, now)
	}
	if e.absent {
		g.set.Absent(i, now)
	}
	switch e.result {
	case callServed:
		g.set.Answered(i, e.elapsed, now)
	case callShed:
		g.set.Refused(i, now)
	case callCut:
		g.set.CutShort(i, e.elapsed, now)
	case callFailed:
		news.ejected = g.set.Failed(i, now)
	}
	isAbsent := g.set.IsAbsent(i)
	news.absent, news.back = isAbsent && !wasAbsent, wasAbsent && !isAbsent
	return news
}

// drop gives the slot back of a call that was not made.
func (c *call) drop() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.release()
}

// release gives the slot back, once. Callers hold the lock of the group.
func (c *call) release() {
	if !c.released {
		c.released = true
		c.backend.leaf.Slots.Release()
	}
}

// index returns the place of a server among the members, or None where it is no
// longer in service.
func (g *group) index(leaf *replica.Leaf) int {
	return slices.IndexFunc(g.members, func(b *backend) bool { return b.leaf == leaf })
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
	// callNoEvidence: the call says nothing about the server.
	callNoEvidence
)

// first notes a first attempt at the service.
func (g *group) first(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window.First(1, now)
}

// extra takes an extra attempt that may use a part of the service's budget.
func (g *group) extra(part, share, slack float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window.TakePart(part, share, slack, now)
}

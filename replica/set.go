package replica

import (
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/limit"
)

const (
	// outlierFactor is the multiple of another replica's latency above which a replica
	// is an outlier.
	outlierFactor = 3
	// ProbeInterval is the default interval at which an avoided replica gets one
	// idempotent request.
	ProbeInterval = time.Second
	// lossPenalty is the cost of a refused or failed request, as a multiple of the latency
	// of the fastest replica. It covers the time to notice the loss, the retry, and the
	// retry budget that it uses. All of these grow with the latency.
	lossPenalty = 6
	// toldProbeFactor is how many times less often a leaf is probed of which all hosts were told that
	// requests run long there: one probe tells all.
	toldProbeFactor = 45
	// minOutlierLatency is the latency up to which a replica is never an outlier.
	minOutlierLatency = time.Millisecond
)

// Policy selects the algorithm that chooses a replica.
type Policy int

const (
	// Observed chooses the replica with the lowest cost expected from observed latency, load
	// and failures.
	Observed Policy = iota
	// Random chooses any free replica, as a baseline for comparison.
	Random
)

// None is the index returned when no replica can be used.
const None = -1

// Leaf is one replica of a shard as seen by this host.
type Leaf struct {
	Address string
	Domain  string
	// Leaving is set while the leaf must not get new requests.
	Leaving bool
	Slots   limit.Slots
	// Hosts is the number of hosts that send requests to the leaf; 0 means 1.
	Hosts int
	// DistancePenalty is added to the latency when replicas are compared. It stands for the
	// cost of the network path beyond its latency.
	DistancePenalty time.Duration
	// Concurrency is the number of requests that the leaf runs concurrently, while others
	// queue there; 0 means 1.
	Concurrency int

	// latency is the smoothed latency; 0 is unknown.
	latency time.Duration
	// lastProgress is the time of the last reply or failure, or of the last request that was
	// sent while no other request of this host was in flight at the leaf, if later.
	lastProgress        time.Time
	consecutiveFailures int
	// lossRate is the smoothed fraction of requests that the leaf refused or failed.
	lossRate float64
	// abandoned is the number of requests abandoned since the last reply.
	abandoned    int
	ejections    int
	ejectedUntil time.Time
	lastProbe    time.Time
	// probeDrawnAt is when a probe was last drawn for the leaf, by chance.
	probeDrawnAt time.Time
	// lastAnswer is the time of the last reply, lastObserved that of the last reply, failure
	// or abandoned request.
	lastAnswer, lastObserved time.Time
	// refusedConns is the number of consecutive refused connections, the first of them at
	// absentSince. The leaf is not tried again before redialAt.
	refusedConns          int
	absentSince, redialAt time.Time
	// queueLen is the number of requests that waited at the leaf according to its last report,
	// at queueReportedAt. reportInterval is the smoothed interval between reports.
	queueLen        int
	queueReportedAt time.Time
	reportInterval  time.Duration
	// toldQueue is the queue length that all hosts were told at toldAt; zero if none was.
	toldQueue int
	toldAt    time.Time
	// serviceTime is the smoothed run time of a request at the leaf, without queueing and
	// divided by the slowdown of the machine.
	serviceTime time.Duration
	// slowdown is the factor by which the leaf's machine was slower than usual according to
	// the last report of the leaf, at slowdownReportedAt; 0 if there was none.
	slowdown           float64
	slowdownReportedAt time.Time
	// reportedLatency is the latency that another host reported; it is valid until reportExpiry.
	reportedLatency time.Duration
	reportExpiry    time.Time
}

// Set holds the replicas of one shard. It is not safe for concurrent use.
type Set struct {
	Leaves []*Leaf
	policy Policy
	rng    *rand.Rand
}

// NewSet returns a set of replicas. rng breaks ties.
func NewSet(leaves []*Leaf, policy Policy, rng *rand.Rand) *Set {
	return &Set{Leaves: leaves, policy: policy, rng: rng}
}

// Pick returns the index of the replica that a request should be sent to at
// now, or None if it should wait or cannot be sent. waiting is the number of
// requests queued for this shard. Replicas in the bit set exclude are not
// chosen. Pick does not allocate.
func (s *Set) Pick(now time.Time, waiting int, exclude uint64) int {
	if s.policy == Random {
		return s.pickRandom(now, exclude)
	}
	best, bestCost := None, time.Duration(0)
	for i := range s.Leaves {
		if !s.usable(i, now, exclude) || !s.Leaves[i].Slots.Free(now) {
			continue
		}
		cost := s.cost(i, now)
		if best == None || cost < bestCost || (cost == bestCost && s.rng.IntN(2) == 0) {
			best, bestCost = i, cost
		}
	}
	if best == None || s.worthWaiting(best, now, waiting, exclude) {
		return None
	}
	return best
}

// worthWaiting reports whether a busy replica is expected to answer sooner than the replica with
// index free, even after the requests queued for it. Other free replicas are not considered: Pick
// found their cost to be no lower, and a request that waited for one of them would leave both it
// and the replica with index free idle. Otherwise, with a near replica that was once slow and a
// fast distant one, the shard would seem busy until something is heard of the slow one, which gets
// no requests.
func (s *Set) worthWaiting(free int, now time.Time, waiting int, exclude uint64) bool {
	latency := s.Expected(free, now)
	if latency <= minOutlierLatency {
		return false
	}
	for i := range s.Leaves {
		leaf := s.Leaves[i]
		if i == free || !s.usable(i, now, exclude) || leaf.latency == 0 || leaf.Slots.Free(now) {
			continue
		}
		slotLimit := max(leaf.Slots.Limit(now), 1)
		expected := s.Expected(i, now)
		afterQueue := expected + expected*time.Duration(waiting+1)/time.Duration(slotLimit)
		if latency > outlierFactor*expected && latency > afterQueue {
			return true
		}
	}
	return false
}

// pickRandom returns the index of a random replica that is allowed and has a free slot; None if
// there is none.
func (s *Set) pickRandom(now time.Time, exclude uint64) int {
	free := 0
	for i := range s.Leaves {
		if s.allowed(i, exclude) && s.Leaves[i].Slots.Free(now) {
			free++
		}
	}
	if free == 0 {
		return None
	}
	nth := s.rng.IntN(free)
	for i := range s.Leaves {
		if !s.allowed(i, exclude) || !s.Leaves[i].Slots.Free(now) {
			continue
		}
		if nth == 0 {
			return i
		}
		nth--
	}
	return None
}

// Reachable reports whether any replica outside the bit set exclude may get a request,
// now or when a slot becomes free.
func (s *Set) Reachable(exclude uint64) bool {
	for i := range s.Leaves {
		if s.allowed(i, exclude) {
			return true
		}
	}
	return false
}

// Probe returns the index of an avoided replica with a free slot whose last probe is at
// least the duration every ago, and records a probe of it now; None if there is none.
func (s *Set) Probe(now time.Time, exclude uint64, every time.Duration) int {
	if s.policy == Random {
		return None
	}
	for i := range s.Leaves {
		leaf := s.Leaves[i]
		if !s.allowed(i, exclude) || !leaf.Slots.Free(now) || now.Sub(leaf.lastProbe) < every {
			continue
		}
		if s.avoided(i, now) && s.drawProbe(leaf, now, every) {
			leaf.lastProbe = now
			return i
		}
	}
	return None
}

// drawProbe reports whether to probe an avoided leaf. Where all hosts were told that requests run long,
// each draws with a chance that grows with the time since it last did: the first requests of all hosts
// would be probes otherwise, and a large part of the few that each sends.
func (s *Set) drawProbe(leaf *Leaf, now time.Time, every time.Duration) bool {
	if !s.toldLong(leaf) {
		return true
	}
	since := now.Sub(leaf.probeDrawnAt)
	if leaf.probeDrawnAt.IsZero() {
		since = 0
	}
	leaf.probeDrawnAt = now
	return s.rng.Float64() < float64(since)/float64(toldProbeFactor*every)
}

// AvoidedMask returns the bit set of replicas that are ejected or much slower than
// another one, where a retry or a hedge is not expected to be faster.
func (s *Set) AvoidedMask(now time.Time) uint64 {
	var mask uint64
	for i := range s.Leaves {
		if s.policy == Observed && s.avoided(i, now) {
			mask |= 1 << i
		}
	}
	return mask
}

// avoided reports whether replica i is ejected, or is an outlier compared with any other
// replica.
func (s *Set) avoided(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	if now.Before(leaf.ejectedUntil) {
		return true
	}
	latency := leaf.effectiveLatency(now)
	if latency <= minOutlierLatency {
		return false
	}
	for j := range s.Leaves {
		other := s.Leaves[j].latency
		if j != i && other > 0 && latency > outlierFactor*other {
			return true
		}
	}
	return false
}

// allowed reports whether replica i is neither excluded nor leaving.
func (s *Set) allowed(i int, exclude uint64) bool {
	return exclude&(1<<i) == 0 && !s.Leaves[i].Leaving
}

// usable reports whether replica i may be chosen. An ejected replica may be chosen only if
// all allowed replicas are ejected.
func (s *Set) usable(i int, now time.Time, exclude uint64) bool {
	if !s.allowed(i, exclude) {
		return false
	}
	if !now.Before(s.Leaves[i].ejectedUntil) {
		return true
	}
	for j := range s.Leaves {
		if s.allowed(j, exclude) && !now.Before(s.Leaves[j].ejectedUntil) {
			return false
		}
	}
	return true
}

// cost returns the expected cost of a request to a leaf, as a duration.
func (s *Set) cost(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	parallel := max(leaf.Concurrency, 1)
	lossCost := time.Duration(leaf.lossRate * lossPenalty * float64(s.lowestLatency(None)))
	run := s.runTime(i, now) * time.Duration(leaf.Slots.InUse()+parallel) / time.Duration(parallel)
	return run + leaf.DistancePenalty + lossCost + s.remoteQueueWait(i, now) + s.spread(i, now)
}

package replica

import (
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/limit"
)

const (
	// avoidFactor is how many times slower than the best a replica must be to
	// be called slow.
	avoidFactor = 3
	// ProbeEvery is the usual interval at which an avoided replica gets one
	// repeatable request.
	ProbeEvery = time.Second
	// lossCalls is what a refusal or a failure costs, in calls to the fastest replica:
	// the time until it is known, another attempt, and what that takes from the budget
	// for extra ones. All of these grow with the time of a call.
	lossCalls = 6
	// slowFloor is the latency below which no replica counts as slow.
	slowFloor = time.Millisecond
)

// Policy selects the way in which a replica is chosen.
type Policy int

const (
	// Observed chooses by observed latency, load and failures.
	Observed Policy = iota
	// Random chooses any free replica; it is the baseline.
	Random
)

// None is returned where no replica can be used.
const None = -1

// Leaf is one replica of a shard as this home sees it.
type Leaf struct {
	Address string
	Domain  string
	// Leaving forbids new requests.
	Leaving bool
	Slots   limit.Slots
	// Sharers is the number of hosts that send requests to the leaf; 0 is 1.
	Sharers int
	// Distance is added to the latency when replicas are compared: what a call
	// over the way to the leaf costs beside its time.
	Distance time.Duration
	// Parallel is the number of requests that the leaf runs at a time; 0 is 1.
	Parallel int

	latency  time.Duration
	progress time.Time
	failures int
	// lost is the smoothed share (0 to 1) of requests that the leaf refused or failed.
	lost float64
	// cuts is the number of requests cut short since the last answer.
	cuts         int
	ejections    int
	ejectedUntil time.Time
	probed       time.Time
	// answered is when the leaf last answered, observed when anything was last
	// observed of it.
	answered, observed time.Time
	// absences is the number of connections in a row that the leaf's address refused, since
	// absentSince; it is not asked again before absentUntil.
	absences                 int
	absentSince, absentUntil time.Time
	// queue is the number of requests that waited at the leaf when it last told, at
	// queueAt; queueGap is the smoothed gap between two reports.
	queue    int
	queueAt  time.Time
	queueGap time.Duration
	// work is the smoothed time that the leaf takes for a request, without its wait and on
	// a machine that is as fast as usual.
	work time.Duration
	// slowness is how many times longer than usual work took on the leaf's machine when it
	// last told, at slowAt.
	slowness float64
	slowAt   time.Time
	// reported is what another host says of the latency, until reportedUntil.
	reported      time.Duration
	reportedUntil time.Time
}

// Set holds the replicas of one shard. It is not safe for concurrent use.
type Set struct {
	Leaves []*Leaf
	policy Policy
	rng    *rand.Rand
}

// NewSet returns a set of replicas. rng decides between equals.
func NewSet(leaves []*Leaf, policy Policy, rng *rand.Rand) *Set {
	return &Set{Leaves: leaves, policy: policy, rng: rng}
}

// Pick returns the index of the replica that a request should be sent to at
// now, or None if it should wait or cannot be sent. waiting is the number of
// requests that wait for this shard. Replicas in the bit set exclude are not
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

// worthWaiting reports whether another replica, busy now, is expected to
// answer sooner than the free replica would. One that is free is not waited for: it was not
// chosen for what it costs. Else a replica in the own region that was once observed to be slow
// and a fast one far off would make a shard seem busy until something was heard of the slow
// one, which nobody asks.
func (s *Set) worthWaiting(free int, now time.Time, waiting int, exclude uint64) bool {
	latency := s.Expected(free, now)
	if latency <= slowFloor {
		return false
	}
	for i := range s.Leaves {
		leaf := s.Leaves[i]
		if i == free || !s.usable(i, now, exclude) || leaf.latency == 0 || leaf.Slots.Free(now) {
			continue
		}
		limit := max(leaf.Slots.Limit(now), 1)
		own := s.Expected(i, now)
		turn := own + own*time.Duration(waiting+1)/time.Duration(limit)
		if latency > avoidFactor*own && latency > turn {
			return true
		}
	}
	return false
}

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

// Reachable reports whether some replica outside exclude may still get a
// request, now or once a slot is free.
func (s *Set) Reachable(exclude uint64) bool {
	for i := range s.Leaves {
		if s.allowed(i, exclude) {
			return true
		}
	}
	return false
}

// Probe returns an avoided replica that is due for one request, as its last
// was longer ago than every.
func (s *Set) Probe(now time.Time, exclude uint64, every time.Duration) int {
	if s.policy == Random {
		return None
	}
	for i := range s.Leaves {
		leaf := s.Leaves[i]
		if !s.allowed(i, exclude) || !leaf.Slots.Free(now) || now.Sub(leaf.probed) < every {
			continue
		}
		if s.avoided(i, now) {
			leaf.probed = now
			return i
		}
	}
	return None
}

// AvoidedMask is the set of replicas that are ejected, or much slower than
// another, so that a second attempt there would not come sooner.
func (s *Set) AvoidedMask(now time.Time) uint64 {
	var mask uint64
	for i := range s.Leaves {
		if s.policy == Observed && s.avoided(i, now) {
			mask |= 1 << i
		}
	}
	return mask
}

func (s *Set) avoided(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	if now.Before(leaf.ejectedUntil) {
		return true
	}
	own := leaf.believed(now)
	if own <= slowFloor {
		return false
	}
	for j := range s.Leaves {
		other := s.Leaves[j].latency
		if j != i && other > 0 && own > avoidFactor*other {
			return true
		}
	}
	return false
}

func (s *Set) allowed(i int, exclude uint64) bool {
	return exclude&(1<<i) == 0 && !s.Leaves[i].Leaving
}

// usable leaves ejected replicas out, unless no other is left.
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

// cost is what a request to a leaf is expected to cost, in time.
func (s *Set) cost(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	parallel := max(leaf.Parallel, 1)
	again := time.Duration(leaf.lost * lossCalls * float64(s.fastest(None)))
	run := s.runTime(i, now) * time.Duration(leaf.Slots.InUse()+parallel) / time.Duration(parallel)
	return run + leaf.Distance + again + s.othersWait(i, now)
}

package replica

import (
	"math"
	"time"
)

const (
	// queueHalfLife is the time after which half of a queue that a leaf told of is
	// taken to be gone. Where a host calls the leaf more rarely it is as many times
	// the usual gap between two reports as halfLifeGaps says, so that the queue is not
	// forgotten between them.
	queueHalfLife = 150 * time.Millisecond
	halfLifeGaps  = 2
	// gapSmoothing is the weight of a new sample of that gap, longestGap the longest
	// that counts.
	gapSmoothing = 0.2
	longestGap   = 2 * time.Second
	// slowPart is the part of the objective from which the run time of a leaf is long.
	slowPart = 0.25
	// idleAhead is the number of requests before one up to which a leaf counts as idle:
	// a queue that was told fades and is never quite gone.
	idleAhead = 0.5
	// workSmoothing is the weight of a new sample of the work of a request.
	workSmoothing = 0.1
	// slownessHalfLife is the time after which half of what a leaf told of the slowness of
	// its machine is taken to be gone: neighbours there come and go several times a second.
	slownessHalfLife = 200 * time.Millisecond
)

// Slowed takes in that a leaf told how many times longer than usual work takes on its
// machine. The work of its requests is noted without that, so that a neighbour that left
// makes the leaf slow for no longer than it was there.
func (s *Set) Slowed(i int, factor float64, now time.Time) {
	s.Leaves[i].slowness, s.Leaves[i].slowAt = factor, now
}

// slowFactor is how many times longer than usual work is expected to take.
func (l *Leaf) slowFactor(now time.Time) float64 {
	if l.slowness <= 0 {
		return 1
	}
	return 1 + (l.slowness-1)*math.Exp2(-float64(now.Sub(l.slowAt))/float64(slownessHalfLife))
}

// Queued takes in that a leaf told of a queue of waiting requests with an answer
// that took elapsed there, and returns how long the request ran. 0 for elapsed
// says nothing about its work.
func (s *Set) Queued(i, waiting int, elapsed time.Duration, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	if !leaf.queueAt.IsZero() {
		leaf.queueGap += time.Duration(gapSmoothing * float64(min(now.Sub(leaf.queueAt), longestGap)-leaf.queueGap))
	}
	leaf.queue = waiting
	leaf.queueAt = now
	if elapsed <= 0 {
		return 0
	}
	parallel := max(leaf.Parallel, 1)
	sample := elapsed * time.Duration(parallel) / time.Duration(parallel+waiting)
	usual := time.Duration(float64(sample) / leaf.slowFactor(now))
	if leaf.work == 0 {
		leaf.work = usual
	}
	leaf.work += time.Duration(workSmoothing * float64(usual-leaf.work))
	return sample
}

// Wait estimates how long a request would wait at a leaf before it runs: for the
// queue that the leaf last told of, or for the requests of this host where these
// are more. Where this host has no slot left the others are taken to have none.
func (s *Set) Wait(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	ahead := max(leaf.told(now), leaf.own())
	if !leaf.Slots.Free(now) {
		ahead = max(ahead, float64(leaf.Slots.InUse()*max(leaf.Sharers, 1)-max(leaf.Parallel, 1)))
	}
	return leaf.inTurn(ahead)
}

// othersWait is the part of the wait that the requests of other hosts make.
func (s *Set) othersWait(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	return leaf.inTurn(max(leaf.told(now)-leaf.own(), 0))
}

// runTime is how long a request is expected to run at a leaf, without its wait
// where the leaf tells its load. A leaf that makes no progress is as slow as its
// silence is long.
func (s *Set) runTime(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	if leaf.work == 0 {
		return s.Expected(i, now)
	}
	run := time.Duration(float64(leaf.work) * leaf.slowFactor(now) * float64(1+leaf.cuts))
	if now.Before(leaf.reportedUntil) {
		run = max(run, leaf.reported)
	}
	if leaf.Slots.InUse() > 0 {
		run = max(run, now.Sub(leaf.progress))
	}
	return run
}

// told is the queue that the leaf last told of, as far as it is taken to be there
// still.
func (l *Leaf) told(now time.Time) float64 {
	if l.queue == 0 {
		return 0
	}
	halfLife := max(queueHalfLife, halfLifeGaps*l.queueGap)
	return float64(l.queue) * math.Exp2(-float64(now.Sub(l.queueAt))/float64(halfLife))
}

// own is the number of this host's requests that the leaf cannot run at once.
func (l *Leaf) own() float64 {
	return float64(max(l.Slots.InUse()-max(l.Parallel, 1), 0))
}

// inTurn is the time after which a request runs that has others before it.
func (l *Leaf) inTurn(ahead float64) time.Duration {
	return time.Duration(ahead * float64(l.work) / float64(max(l.Parallel, 1)))
}

// Due is when the part that a call brings is wanted.
type Due struct {
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Left is what is left of it for the part; 0 where it is late already, or not needed.
	Left time.Duration
}

// TooLate reports whether a request would come too late at a leaf that takes long for its
// objective, for the requests that are before it, and after what time these have run. One
// with nobody before it never does. One that is late already, or not needed, gives way to
// all others: the leaf must run nothing for this host.
//
// Without it a shard whose only server is slow has a full queue, and everyone's part comes
// late, though it has room for some. It is for slow leaves only: at others the time of a request
// is not known well enough, so that short requests would be put off that could be in time.
func (s *Set) TooLate(i int, due Due, now time.Time) (wait time.Duration, late bool) {
	run := s.runTime(i, now)
	if run <= time.Duration(slowPart*float64(due.Objective)) {
		return 0, false
	}
	wait = s.Wait(i, now)
	idle := time.Duration(idleAhead * float64(s.Leaves[i].inTurn(1)))
	if due.Left <= 0 {
		return max(wait, s.Leaves[i].work, slowFloor), wait > idle || s.Leaves[i].Slots.InUse() > 0
	}
	return wait, wait > idle && wait+run > due.Left
}

// Soonest estimates after what time a request would have run at the leaf that brings it
// first, and how long it would run there; 0 is unknown, as of one that has just started, and
// good. Where all are ejected or none is left both are never. The leaves in the bit set
// exclude do not count.
func (s *Set) Soonest(exclude uint64, now time.Time) (expected, run time.Duration) {
	expected, run = math.MaxInt64, math.MaxInt64
	for i := range s.Leaves {
		if !s.usable(i, now, exclude) || s.Ejected(i, now) {
			continue
		}
		own := s.runTime(i, now)
		if e := s.Wait(i, now) + own; e < expected {
			expected, run = e, own
		}
	}
	return expected, run
}

// KnownSlow reports whether a leaf is known to be slow, by observation or report, or is
// ejected.
func (s *Set) KnownSlow(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	return s.avoided(i, now) || leaf.reported > 0 && now.Before(leaf.reportedUntil)
}

// LeastWait estimates how long a request would wait at the leaf where it waits
// least, of those that may be used and are not in the bit set exclude.
func (s *Set) LeastWait(exclude uint64, now time.Time) time.Duration {
	least := time.Duration(-1)
	for i := range s.Leaves {
		if !s.usable(i, now, exclude) {
			continue
		}
		if wait := s.Wait(i, now); least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}

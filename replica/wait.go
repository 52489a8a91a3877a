package replica

import (
	"math"
	"time"
)

const (
	// queueHalfLife is the minimum half-life of a reported queue length. If reports are rare,
	// the half-life is halfLifeIntervals times their interval, so that the estimate does not
	// decay to nothing between two reports.
	queueHalfLife     = 150 * time.Millisecond
	halfLifeIntervals = 2
	// intervalWeight is the weight of a new sample in the moving average of the report
	// interval; samples are bounded by maxReportInterval.
	intervalWeight    = 0.2
	maxReportInterval = 2 * time.Second
	// slowRunFraction is the fraction of the objective above which WouldBeLate considers the
	// run time of a leaf long.
	slowRunFraction = 0.25
	// maxIdleQueue is the estimated queue length up to which a leaf is considered idle; the
	// estimate decays and does not reach 0.
	maxIdleQueue = 0.5
	// serviceTimeWeight is the weight of a new sample in the moving average of the service
	// time.
	serviceTimeWeight = 0.1
	// ownQueueTTL is how long a queue length that this host observed goes before the one that all
	// hosts were told. It covers the way of the observation to all hosts.
	ownQueueTTL = 150 * time.Millisecond
	// ToldTTL is how long a told queue length holds. Board repeats it more often.
	ToldTTL = time.Second
	// toldSpread is the part of a told wait, and of a long run time, by which hosts vary it. All hosts
	// are told at once, and without it all would leave a server, or choose the fastest one, together.
	toldSpread = 0.5
	// slowdownHalfLife is the half-life of a reported slowdown. It is short because other
	// processes on the machine start and stop several times a second.
	slowdownHalfLife = 200 * time.Millisecond
)

// ReportSlowdown records the factor by which a leaf reports its machine to be slower than usual.
// The smoothed service time excludes this factor, so that it does not stay high after the other
// processes that slowed the machine down have ended.
func (s *Set) ReportSlowdown(i int, factor float64, now time.Time) {
	s.Leaves[i].slowdown, s.Leaves[i].slowdownReportedAt = factor, now
}

// expectedSlowdown returns the reported slowdown, decayed towards 1.
func (l *Leaf) expectedSlowdown(now time.Time) float64 {
	if l.slowdown <= 0 {
		return 1
	}
	return 1 + (l.slowdown-1)*math.Exp2(-float64(now.Sub(l.slowdownReportedAt))/float64(slowdownHalfLife))
}

// ReportQueue records the queue length that a leaf reported with a reply that took elapsed there,
// and returns the estimated run time of that request without queueing. With an elapsed of 0
// only the queue length is recorded.
func (s *Set) ReportQueue(i, waiting int, elapsed time.Duration, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	leaf.noteQueue(waiting, now)
	if elapsed <= 0 {
		return 0
	}
	parallel := max(leaf.Concurrency, 1)
	sample := elapsed * time.Duration(parallel) / time.Duration(parallel+waiting)
	nominal := time.Duration(float64(sample) / leaf.expectedSlowdown(now))
	if leaf.serviceTime == 0 {
		leaf.serviceTime = nominal
	}
	leaf.serviceTime += time.Duration(serviceTimeWeight * float64(nominal-leaf.serviceTime))
	return sample
}

// ApplyLoad records the queue length and the smoothed service time (0 is unknown) of a leaf that
// another host observed. The other host calls the leaf more often or more recently, so its
// observation replaces the one before. Where requests run long, the service time is that of one request
// with what is left of its wait: there ApplyTold tells a better one.
func (s *Set) ApplyLoad(i, waiting int, serviceTime time.Duration, now time.Time) {
	leaf := s.Leaves[i]
	leaf.noteQueue(waiting, now)
	if serviceTime > 0 && (leaf.serviceTime == 0 || !s.LongRuns()) {
		leaf.serviceTime = serviceTime
	}
}

// ApplyTold records the load of a leaf that all hosts were told. What this host observed a moment ago
// goes first. It returns whether the leaf is loaded and was not before.
func (s *Set) ApplyTold(i int, l ServerLoad, now time.Time) (newlyLoaded bool) {
	leaf := s.Leaves[i]
	queue := max(l.Waiting, l.InFlight-max(leaf.Concurrency, 1)+1)
	newlyLoaded = queue > 0 && leaf.toldWaiting(now) == 0
	leaf.toldQueue, leaf.toldAt = queue, now
	if l.ServiceTime > 0 && (leaf.serviceTime == 0 || now.Sub(leaf.lastAnswer) > ownQueueTTL) {
		leaf.serviceTime = l.ServiceTime
		if s.LongRuns() {
			leaf.latency, leaf.abandoned = l.ServiceTime, 0 // The own average is of few calls, long ago.
		}
	}
	return newlyLoaded
}

// ToldWait returns the wait at a leaf that follows from what all hosts were told; 0 if they were told
// nothing.
func (s *Set) ToldWait(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	return leaf.queueWait(float64(leaf.toldWaiting(now)))
}

// spread returns the random part of the cost of a leaf that follows from what all hosts were told.
func (s *Set) spread(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	varied := s.ToldWait(i, now)
	if s.toldLong(leaf) {
		varied += leaf.serviceTime
	}
	if varied == 0 {
		return 0
	}
	return time.Duration(toldSpread * (2*s.rng.Float64() - 1) * float64(varied))
}

// LongRuns reports whether requests run long at all leaves of which a service time is known.
func (s *Set) LongRuns() bool {
	known := false
	for _, leaf := range s.Leaves {
		if leaf.serviceTime > 0 && leaf.serviceTime < LongRun {
			return false
		}
		known = known || leaf.serviceTime > 0
	}
	return known
}

// toldLong reports whether all hosts were told of a leaf, and requests run long there and at the others.
func (s *Set) toldLong(leaf *Leaf) bool { return !leaf.toldAt.IsZero() && s.LongRuns() }

// toldWaiting returns the told queue length while it holds.
func (l *Leaf) toldWaiting(now time.Time) int {
	if l.toldAt.IsZero() || now.Sub(l.toldAt) > ToldTTL {
		return 0
	}
	return l.toldQueue
}

// ServiceTime returns the smoothed run time of a request at a leaf without queueing, as ApplyLoad
// takes it; 0 is unknown.
func (s *Set) ServiceTime(i int) time.Duration { return s.Leaves[i].serviceTime }

// noteQueue records a reported queue length.
func (l *Leaf) noteQueue(waiting int, now time.Time) {
	if !l.queueReportedAt.IsZero() {
		l.reportInterval += time.Duration(intervalWeight * float64(min(now.Sub(l.queueReportedAt), maxReportInterval)-l.reportInterval))
	}
	l.queueLen = waiting
	l.queueReportedAt = now
}

// Wait estimates how long a request would wait at a leaf before it runs. The number of requests
// queued before it is estimated from the reported queue and from this host's own requests in
// flight, whichever gives more. If this host has no free slot, every host that shares the leaf is
// assumed to use as many slots as this one.
func (s *Set) Wait(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	ahead := max(leaf.reportedQueue(now), leaf.localQueue())
	if !leaf.Slots.Free(now) {
		ahead = max(ahead, float64(leaf.Slots.InUse()*max(leaf.Hosts, 1)-max(leaf.Concurrency, 1)))
	}
	return leaf.queueWait(ahead)
}

// remoteQueueWait returns the part of the wait at a leaf that requests of other hosts cause.
func (s *Set) remoteQueueWait(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	return leaf.queueWait(max(leaf.reportedQueue(now)-leaf.localQueue(), 0))
}

// runTime returns the expected run time of a request at a leaf. It excludes the time in the queue
// only if the leaf reports its load. While requests of this host are in flight there, it is at least
// the time since the leaf last made progress.
func (s *Set) runTime(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	if leaf.serviceTime == 0 {
		return s.Expected(i, now)
	}
	run := time.Duration(float64(leaf.serviceTime) * leaf.expectedSlowdown(now) * float64(1+leaf.abandoned))
	if now.Before(leaf.reportExpiry) {
		run = max(run, leaf.reportedLatency)
	}
	if leaf.Slots.InUse() > 0 {
		run = max(run, now.Sub(leaf.lastProgress))
	}
	return run
}

// reportedQueue returns the queue length that the leaf last reported, decayed by its age, or what all
// hosts were told if that is known better.
func (l *Leaf) reportedQueue(now time.Time) float64 {
	if told := l.toldWaiting(now); now.Sub(l.queueReportedAt) > ownQueueTTL && (told > 0 || l.toldAt.After(l.queueReportedAt)) {
		return float64(told)
	}
	if l.queueLen == 0 {
		return 0
	}
	halfLife := max(queueHalfLife, halfLifeIntervals*l.reportInterval)
	return float64(l.queueLen) * math.Exp2(-float64(now.Sub(l.queueReportedAt))/float64(halfLife))
}

// localQueue returns how many requests this host has in flight at the leaf beyond those that the
// leaf runs concurrently.
func (l *Leaf) localQueue() float64 {
	return float64(max(l.Slots.InUse()-max(l.Concurrency, 1), 0))
}

// queueWait returns the time until a request runs if the given number of others is queued ahead of
// it.
func (l *Leaf) queueWait(ahead float64) time.Duration {
	return time.Duration(ahead * float64(l.serviceTime) / float64(max(l.Concurrency, 1)))
}

// TimeBudget is the time available for the partial result, or part, that a call returns.
type TimeBudget struct {
	// Objective is the latency objective of the whole request.
	Objective time.Duration
	// Remaining is the remaining time for the part; 0 or less if the part is late already or not
	// needed.
	Remaining time.Duration
}

// WouldBeLate reports whether a request to a leaf with a long run time would exceed its time budget
// because of the requests queued before it, and how long it is expected to wait for these. Without a
// queue at the leaf, a request with time remaining is never too late. One that is late already or
// not needed gives way to all others: it is too late also if any request of this host is in flight
// at the leaf.
//
// Callers do not send requests that would be late, which keeps the queue of a slow leaf short enough
// that some requests are in time. This does not apply to leaves with short run times, which are not
// known precisely enough: requests that could be in time would be delayed.
func (s *Set) WouldBeLate(i int, timeBudget TimeBudget, now time.Time) (wait time.Duration, late bool) {
	run := s.runTime(i, now)
	if run <= time.Duration(slowRunFraction*float64(timeBudget.Objective)) {
		return 0, false
	}
	wait = s.Wait(i, now)
	idle := time.Duration(maxIdleQueue * float64(s.Leaves[i].queueWait(1)))
	if timeBudget.Remaining <= 0 {
		return max(wait, s.Leaves[i].serviceTime, minOutlierLatency), wait > idle || s.Leaves[i].Slots.InUse() > 0
	}
	return wait, wait > idle && wait+run > timeBudget.Remaining
}

// EarliestCompletion estimates how long a request would take, with the wait, at the leaf that would
// complete it first, and its run time there. An estimate of 0 means unknown, as for a leaf that has
// just started, and compares as fastest. Leaves that are ejected, leaving or in the bit set exclude
// are not considered; if there are no others, both results are math.MaxInt64.
func (s *Set) EarliestCompletion(exclude uint64, now time.Time) (expected, run time.Duration) {
	expected, run = math.MaxInt64, math.MaxInt64
	for i := range s.Leaves {
		if !s.usable(i, now, exclude) || s.Ejected(i, now) {
			continue
		}
		leafRun := s.runTime(i, now)
		if total := s.Wait(i, now) + leafRun; total < expected {
			expected, run = total, leafRun
		}
	}
	return expected, run
}

// KnownSlow reports whether a leaf is observed or reported to be slow, or is ejected.
func (s *Set) KnownSlow(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	return s.avoided(i, now) || leaf.reportedLatency > 0 && now.Before(leaf.reportExpiry)
}

// MinWait returns the shortest estimated wait among the usable leaves outside the bit set
// exclude; 0 if there are none.
func (s *Set) MinWait(exclude uint64, now time.Time) time.Duration {
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

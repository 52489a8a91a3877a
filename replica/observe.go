package replica

import "time"

const (
	// ewmaWeight is the weight of a new sample in the moving averages of latency and loss.
	ewmaWeight = 0.2
	// maxAbandoned bounds the count of consecutive abandoned requests.
	maxAbandoned = 10
)

// Expected returns the expected latency of a replica; 0 is unknown. While requests are in
// flight it is at least the time since the replica last made progress.
func (s *Set) Expected(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	if leaf.Slots.InUse() == 0 {
		return leaf.effectiveLatency(now)
	}
	return max(leaf.effectiveLatency(now), now.Sub(leaf.lastProgress))
}

// localEstimate returns the smoothed latency, multiplied by one plus the number of requests
// abandoned since the last reply, whose true latency is unknown.
func (l *Leaf) localEstimate() time.Duration {
	return l.latency * time.Duration(1+l.abandoned)
}

// effectiveLatency returns the greater of the local estimate and an unexpired report of another
// host.
func (l *Leaf) effectiveLatency(now time.Time) time.Duration {
	if now.Before(l.reportExpiry) {
		return max(l.localEstimate(), l.reportedLatency)
	}
	return l.localEstimate()
}

// Acquire takes a slot of a replica for a request that starts at now, and reports whether one
// was free.
func (s *Set) Acquire(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	if leaf.Slots.InUse() == 0 {
		leaf.lastProgress = now
	}
	leaf.noteRedial(now)
	return leaf.Slots.Acquire(now)
}

// Answered records a reply that took latency.
func (s *Set) Answered(i int, latency time.Duration, now time.Time) {
	leaf := s.Leaves[i]
	leaf.markReachable()
	leaf.lastProgress = now
	leaf.lastAnswer = now
	leaf.lastObserved = now
	leaf.consecutiveFailures = 0
	leaf.abandoned = 0
	leaf.lossRate -= ewmaWeight * leaf.lossRate
	if !now.Before(leaf.ejectedUntil) {
		leaf.ejections = 0
	}
	s.addLatencySample(leaf, latency)
}

// Refused records that a replica shed a request because it was full.
func (s *Set) Refused(i int, now time.Time) {
	leaf := s.Leaves[i]
	leaf.markReachable()
	leaf.lossRate += ewmaWeight * (1 - leaf.lossRate)
	leaf.Slots.Shed(now)
}

// Canceled records a request that was abandoned after elapsed without a reply, for
// example because a hedge was faster. elapsed is a lower bound of the latency: it never
// lowers the estimate, and consecutive abandoned requests raise it.
func (s *Set) Canceled(i int, elapsed time.Duration, now time.Time) {
	leaf := s.Leaves[i]
	leaf.lastObserved = now
	leaf.abandoned = min(leaf.abandoned+1, maxAbandoned)
	if elapsed > leaf.latency {
		s.addLatencySample(leaf, elapsed)
	}
}

func (s *Set) addLatencySample(leaf *Leaf, latency time.Duration) {
	if leaf.latency == 0 {
		leaf.latency = latency
		return
	}
	leaf.latency += time.Duration(ewmaWeight * float64(latency-leaf.latency))
}

// Restarted resets the latency, failures and ejection of a replica whose process was restarted.
func (s *Set) Restarted(i int, now time.Time) {
	leaf := s.Leaves[i]
	leaf.latency = 0
	leaf.lossRate = 0
	leaf.markReachable()
	leaf.consecutiveFailures = 0
	leaf.abandoned = 0
	leaf.ejections = 0
	leaf.ejectedUntil = time.Time{}
	leaf.Slots.StartRampUp(now)
}

// Capacity returns the number of requests that the replicas can run concurrently,
// in slots of the fastest replica. Slots of outliers are divided by their relative
// latency; ejected and leaving replicas do not count.
func (s *Set) Capacity(now time.Time) float64 {
	fastest := time.Duration(0)
	for _, leaf := range s.Leaves {
		if leaf.latency > minOutlierLatency && (fastest == 0 || leaf.latency < fastest) {
			fastest = leaf.latency
		}
	}
	capacity := 0.0
	for i, leaf := range s.Leaves {
		if !s.usable(i, now, 0) {
			continue
		}
		speed := 1.0
		if s.policy == Observed && fastest > 0 && leaf.latency > outlierFactor*fastest {
			speed = float64(fastest) / float64(leaf.latency)
		}
		capacity += float64(leaf.Slots.Share()) * speed
	}
	return capacity
}

// Latency returns the smoothed latency of a replica; 0 is unknown.
func (s *Set) Latency(i int) time.Duration { return s.Leaves[i].latency }

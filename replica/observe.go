package replica

import "time"

const (
	// smoothing is the weight of a new latency sample.
	smoothing = 0.2
	// maxCuts bounds the count of requests cut short in a row.
	maxCuts = 10
)

// Expected is the latency to expect of a replica; 0 is unknown. A replica with requests
// running that made no progress is as slow as its silence is long.
func (s *Set) Expected(i int, now time.Time) time.Duration {
	leaf := s.Leaves[i]
	if leaf.Slots.InUse() == 0 {
		return leaf.believed(now)
	}
	return max(leaf.believed(now), now.Sub(leaf.progress))
}

// estimate is the smoothed latency, times one more for each request cut short
// since the last answer: what those would have taken is not known.
func (l *Leaf) estimate() time.Duration {
	return l.latency * time.Duration(1+l.cuts)
}

// believed is the greater of the estimate and what another host reported.
func (l *Leaf) believed(now time.Time) time.Duration {
	if now.Before(l.reportedUntil) {
		return max(l.estimate(), l.reported)
	}
	return l.estimate()
}

// Acquire takes a slot of a replica for a request that starts at now.
func (s *Set) Acquire(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	if leaf.Slots.InUse() == 0 {
		leaf.progress = now
	}
	leaf.askedAgain(now)
	return leaf.Slots.Acquire(now)
}

// Answered notes an answer after latency.
func (s *Set) Answered(i int, latency time.Duration, now time.Time) {
	leaf := s.Leaves[i]
	leaf.present()
	leaf.progress = now
	leaf.answered = now
	leaf.observed = now
	leaf.failures = 0
	leaf.cuts = 0
	leaf.lost -= smoothing * leaf.lost
	if !now.Before(leaf.ejectedUntil) {
		leaf.ejections = 0
	}
	s.sample(leaf, latency)
}

// Refused notes that a replica refused a request because it was full.
func (s *Set) Refused(i int, now time.Time) {
	leaf := s.Leaves[i]
	leaf.present()
	leaf.lost += smoothing * (1 - leaf.lost)
	leaf.Slots.Shed(now)
}

// CutShort notes a request that was given up after elapsed without a reply. The
// reply might have taken any longer time, so a few of these in a row, as from a
// silent replica whose requests are always answered elsewhere, make it slow.
func (s *Set) CutShort(i int, elapsed time.Duration, now time.Time) {
	leaf := s.Leaves[i]
	leaf.observed = now
	leaf.cuts = min(leaf.cuts+1, maxCuts)
	if elapsed > leaf.latency {
		s.sample(leaf, elapsed)
	}
}

func (s *Set) sample(leaf *Leaf, latency time.Duration) {
	if leaf.latency == 0 {
		leaf.latency = latency
		return
	}
	leaf.latency += time.Duration(smoothing * float64(latency-leaf.latency))
}

// Restarted forgets what was known of a replica that started anew.
func (s *Set) Restarted(i int, now time.Time) {
	leaf := s.Leaves[i]
	leaf.latency = 0
	leaf.lost = 0
	leaf.present()
	leaf.failures = 0
	leaf.cuts = 0
	leaf.ejections = 0
	leaf.ejectedUntil = time.Time{}
	leaf.Slots.Restarted(now)
}

// Capacity returns how many requests the replicas can run at a time, counted
// in slots of the fastest one: a replica that is slower by a factor counts by
// that factor less, an ejected or leaving one not at all.
func (s *Set) Capacity(now time.Time) float64 {
	fastest := time.Duration(0)
	for _, leaf := range s.Leaves {
		if leaf.latency > slowFloor && (fastest == 0 || leaf.latency < fastest) {
			fastest = leaf.latency
		}
	}
	capacity := 0.0
	for i, leaf := range s.Leaves {
		if !s.usable(i, now, 0) {
			continue
		}
		speed := 1.0
		if s.policy == Observed && fastest > 0 && leaf.latency > avoidFactor*fastest {
			speed = float64(fastest) / float64(leaf.latency)
		}
		capacity += float64(leaf.Slots.Share()) * speed
	}
	return capacity
}

// Latency returns the estimate of a replica's latency; 0 is unknown.
func (s *Set) Latency(i int) time.Duration { return s.Leaves[i].latency }

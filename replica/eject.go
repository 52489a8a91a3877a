package replica

import "time"

const (
	// ejectThreshold is the number of consecutive failures that ejects a replica.
	ejectThreshold = 3
	// baseEjectionTime is the duration of the first ejection. It doubles with each further
	// one, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 10 * time.Second
)

// Failed records a failed request, which is not a latency sample, and reports
// whether it ejected the replica.
func (s *Set) Failed(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	leaf.lastProgress = now
	leaf.lastObserved = now
	leaf.consecutiveFailures++
	leaf.lossRate += ewmaWeight * (1 - leaf.lossRate)
	if leaf.consecutiveFailures < ejectThreshold || !s.mayEject(i, now) {
		return false
	}
	duration := min(baseEjectionTime<<min(leaf.ejections, 10), maxEjectionTime)
	leaf.ejections++
	leaf.ejectedUntil = now.Add(duration)
	leaf.lastProbe = now
	return true
}

// mayEject reports whether ejecting replica i leaves a usable one and keeps at
// least half of the replicas in service.
func (s *Set) mayEject(i int, now time.Time) bool {
	ejected, usable := 0, 0
	for j := range s.Leaves {
		if j == i {
			continue
		}
		if now.Before(s.Leaves[j].ejectedUntil) {
			ejected++
		} else if !s.Leaves[j].Leaving {
			usable++
		}
	}
	return usable > 0 && 2*(ejected+1) <= len(s.Leaves)
}

// Ejected reports whether a replica is ejected at now.
func (s *Set) Ejected(i int, now time.Time) bool {
	return now.Before(s.Leaves[i].ejectedUntil)
}

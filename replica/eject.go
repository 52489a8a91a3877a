package replica

import "time"

const (
	// ejectAfter is the number of failures in a row that eject a replica.
	ejectAfter = 3
	// firstEjection is the length of a first ejection; it doubles each time.
	firstEjection = 500 * time.Millisecond
	// longestEjection bounds the length of an ejection.
	longestEjection = 10 * time.Second
)

// Failed notes a failure, which never counts as a fast answer, and reports
// whether the replica was ejected for it.
func (s *Set) Failed(i int, now time.Time) bool {
	leaf := s.Leaves[i]
	leaf.progress = now
	leaf.observed = now
	leaf.failures++
	leaf.lost += smoothing * (1 - leaf.lost)
	if leaf.failures < ejectAfter || !s.mayEject(i, now) {
		return false
	}
	length := min(firstEjection<<min(leaf.ejections, 10), longestEjection)
	leaf.ejections++
	leaf.ejectedUntil = now.Add(length)
	leaf.probed = now
	return true
}

// mayEject keeps ejection to half of the replicas at the most.
func (s *Set) mayEject(i int, now time.Time) bool {
	out, usable := 0, 0
	for j := range s.Leaves {
		if j == i {
			continue
		}
		if now.Before(s.Leaves[j].ejectedUntil) {
			out++
		} else if !s.Leaves[j].Leaving {
			usable++
		}
	}
	return usable > 0 && 2*(out+1) <= len(s.Leaves)
}

// Ejected reports whether a replica is ejected at now.
func (s *Set) Ejected(i int, now time.Time) bool {
	return now.Before(s.Leaves[i].ejectedUntil)
}

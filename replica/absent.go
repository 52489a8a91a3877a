package replica

import "time"

const (
	// initialAbsentBackoff is the time before a replica that refused a connection is tried
	// again. It doubles with each further refusal, up to maxAbsentBackoff, which bounds the
	// time until a restarted replica is found when its registration is not received.
	initialAbsentBackoff = 50 * time.Millisecond
	maxAbsentBackoff     = 250 * time.Millisecond
)

// MarkAbsent records that the address of a replica refused a connection.
func (s *Set) MarkAbsent(i int, now time.Time) {
	leaf := s.Leaves[i]
	if leaf.refusedConns == 0 {
		leaf.absentSince = now
	}
	leaf.redialAt = now.Add(min(initialAbsentBackoff<<min(leaf.refusedConns, 10), maxAbsentBackoff))
	leaf.refusedConns++
}

// markReachable ends the absence of a replica that answered.
func (l *Leaf) markReachable() { l.refusedConns = 0 }

// noteRedial records that one request retries an absent replica. Other requests do not try it
// until that attempt completes or maxAbsentBackoff has passed.
func (l *Leaf) noteRedial(now time.Time) {
	if l.refusedConns > 0 {
		l.redialAt = now.Add(maxAbsentBackoff)
	}
}

// IsAbsent reports whether the last connection to a replica was refused.
func (s *Set) IsAbsent(i int) bool { return s.Leaves[i].refusedConns > 0 }

// AbsentMask returns the bit set of absent replicas whose backoff has not expired.
func (s *Set) AbsentMask(now time.Time) uint64 {
	var mask uint64
	for i, leaf := range s.Leaves {
		if leaf.refusedConns > 0 && now.Before(leaf.redialAt) {
			mask |= 1 << i
		}
	}
	return mask
}

// Presence tells whether any replica of a shard accepts connections.
type Presence int

const (
	// Present means that at least one replica is not absent.
	Present Presence = iota
	// RetryDue means that all replicas are absent and the backoff of at least one has expired.
	RetryDue
	// AllAbsent means that all replicas are absent and in backoff, or that there are none.
	AllAbsent
)

// Presence returns the presence of the replicas outside exclude and, unless one is present, the
// time at which the last of them became absent.
func (s *Set) Presence(exclude uint64, now time.Time) (Presence, time.Time) {
	found, since := AllAbsent, time.Time{}
	for i, leaf := range s.Leaves {
		if !s.allowed(i, exclude) {
			continue
		}
		if leaf.refusedConns == 0 {
			return Present, time.Time{}
		}
		if !now.Before(leaf.redialAt) {
			found = RetryDue
		}
		if leaf.absentSince.After(since) {
			since = leaf.absentSince
		}
	}
	return found, since
}

// NextRetry returns the time until the first backoff of an absent replica outside exclude expires,
// at most maxAbsentBackoff.
func (s *Set) NextRetry(exclude uint64, now time.Time) time.Duration {
	wait := maxAbsentBackoff
	for i, leaf := range s.Leaves {
		if s.allowed(i, exclude) && leaf.refusedConns > 0 {
			wait = min(wait, leaf.redialAt.Sub(now))
		}
	}
	return max(wait, 0)
}

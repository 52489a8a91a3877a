package replica

import "time"

const (
	// firstAbsence is for how long a replica at whose address nothing listens is not asked
	// again; it doubles each time, up to longestAbsence, within which one that is back is to be
	// found whatever becomes of the news of its start.
	firstAbsence   = 50 * time.Millisecond
	longestAbsence = 250 * time.Millisecond
)

// Absent notes that nothing listens at a replica's address.
func (s *Set) Absent(i int, now time.Time) {
	leaf := s.Leaves[i]
	if leaf.absences == 0 {
		leaf.absentSince = now
	}
	leaf.absentUntil = now.Add(min(firstAbsence<<min(leaf.absences, 10), longestAbsence))
	leaf.absences++
}

// present notes that a replica answered.
func (l *Leaf) present() { l.absences = 0 }

// askedAgain notes that a replica that was absent is being asked: until it is known what becomes
// of that, nobody else waits for it.
func (l *Leaf) askedAgain(now time.Time) {
	if l.absences > 0 {
		l.absentUntil = now.Add(longestAbsence)
	}
}

// IsAbsent reports whether nothing listened at a replica's address when it was last asked.
func (s *Set) IsAbsent(i int) bool { return s.Leaves[i].absences > 0 }

// AbsentMask is the set of replicas at whose addresses nothing listened when they were last asked,
// and that are not to be asked again yet.
func (s *Set) AbsentMask(now time.Time) uint64 {
	var mask uint64
	for i, leaf := range s.Leaves {
		if leaf.absences > 0 && now.Before(leaf.absentUntil) {
			mask |= 1 << i
		}
	}
	return mask
}

// Presence is what is known of the replicas of a shard.
type Presence int

const (
	// Present: some replica may be asked as usual.
	Present Presence = iota
	// Doubtful: nothing listened at any when it was last asked, and some is to be asked again.
	Doubtful
	// AllAbsent: nothing listens at any, or there is none.
	AllAbsent
)

// Presence returns what is known of the replicas outside exclude, and since when they are absent
// where none is present.
func (s *Set) Presence(exclude uint64, now time.Time) (Presence, time.Time) {
	found, since := AllAbsent, time.Time{}
	for i, leaf := range s.Leaves {
		if !s.allowed(i, exclude) {
			continue
		}
		if leaf.absences == 0 {
			return Present, time.Time{}
		}
		if !now.Before(leaf.absentUntil) {
			found = Doubtful
		}
		if leaf.absentSince.After(since) {
			since = leaf.absentSince
		}
	}
	return found, since
}

// NextLook is after what time the first replica outside exclude that is absent is to be asked again.
func (s *Set) NextLook(exclude uint64, now time.Time) time.Duration {
	wait := longestAbsence
	for i, leaf := range s.Leaves {
		if s.allowed(i, exclude) && leaf.absences > 0 {
			wait = min(wait, leaf.absentUntil.Sub(now))
		}
	}
	return max(wait, 0)
}

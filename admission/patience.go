package admission

import "time"

const (
	// patienceLife is for how long the longest timeout of a route is remembered.
	patienceLife = 10 * time.Second
)

// Patience infers from the timeouts that callers send for how long each has waited
// since its first attempt: a caller that comes back sends what is left of the
// timeout that it began with. It is not safe for concurrent use.
type Patience struct {
	// longest is the longest timeout of late, seen at at; next the longest of those
	// that came after.
	longest, next     time.Duration
	longestAt, nextAt time.Time
}

// Waited takes in a caller's timeout and returns for how long it has waited.
func (p *Patience) Waited(timeout time.Duration, now time.Time) time.Duration {
	if now.Sub(p.longestAt) > patienceLife {
		p.longest, p.longestAt = p.next, p.nextAt
		p.next = 0
	}
	if timeout >= p.longest || now.Sub(p.longestAt) > patienceLife {
		p.longest, p.longestAt = timeout, now
		p.next = 0
	} else if timeout >= p.next {
		p.next, p.nextAt = timeout, now
	}
	return p.longest - timeout
}

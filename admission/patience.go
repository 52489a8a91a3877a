package admission

import "time"

const (
	// timeoutMemory is how long the longest timeout of a route is remembered.
	timeoutMemory = 10 * time.Second
)

// WaitEstimator infers how long callers have waited since their first attempt from the
// timeouts that they send: a caller that retries sends what remains of its original
// timeout, which is taken to be the longest one seen recently. It is not safe for
// concurrent use.
type WaitEstimator struct {
	// longest is the longest recent timeout, seen at longestAt; next is the longest of
	// those seen since then, at nextAt.
	longest, next     time.Duration
	longestAt, nextAt time.Time
}

// Waited records a caller's timeout and returns how long the caller has waited so far.
func (e *WaitEstimator) Waited(timeout time.Duration, now time.Time) time.Duration {
	if now.Sub(e.longestAt) > timeoutMemory {
		e.longest, e.longestAt = e.next, e.nextAt
		e.next = 0
	}
	if timeout >= e.longest || now.Sub(e.longestAt) > timeoutMemory {
		e.longest, e.longestAt = timeout, now
		e.next = 0
	} else if timeout >= e.next {
		e.next, e.nextAt = timeout, now
	}
	return e.longest - timeout
}

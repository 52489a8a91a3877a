package callerconn

import "time"

// IdleLimit decides how long connections may be idle under a limit that changes. Callers reuse idle
// connections by the last limit that they know, so a connection that was idle for long when the limit
// was lowered would be closed under a request on its way. Therefore a lower limit counts from when it
// came into force, within the former limit. The zero value has no limit.
type IdleLimit struct {
	current time.Duration
	// former is the highest limit that callers may still go by if the limit was lowered less than
	// current ago.
	former  time.Duration
	lowered time.Time
}

// Set sets the limit in force.
func (l *IdleLimit) Set(limit time.Duration, now time.Time) {
	if limit == l.current {
		return
	}
	known := l.current
	if now.Sub(l.lowered) <= l.current {
		known = max(known, l.former)
	}
	l.current = limit
	if limit < known {
		l.former, l.lowered = known, now
	}
}

// Expired reports whether a connection that has been idle for the given time is to be closed.
func (l *IdleLimit) Expired(idle time.Duration, now time.Time) bool {
	if l.current == 0 || idle <= l.current {
		return false
	}
	return now.Sub(l.lowered) > l.current || idle > l.former
}

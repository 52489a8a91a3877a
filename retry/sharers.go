package retry

import "time"

// Sharers counts those that share a budget over a span of time. Ones that went not long ago
// count: what they used is in the span still. It is not safe for concurrent use.
type Sharers struct {
	count      int
	fewerSince time.Time
}

// Count takes in how many there are now, and returns how many there were in the time life
// before now.
func (s *Sharers) Count(n int, life time.Duration, now time.Time) int {
	switch {
	case n >= s.count || !s.fewerSince.IsZero() && now.Sub(s.fewerSince) > life:
		s.count, s.fewerSince = n, time.Time{}
	case s.fewerSince.IsZero():
		s.fewerSince = now
	}
	return s.count
}

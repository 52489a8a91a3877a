package limit

import (
	"math"
	"time"
)

const (
	// coldPart is the part of what a cold server takes that hosts use when they agree on
	// who calls it. The rest is for hosts that do not: while one takes the place of another
	// both call, and of three callers two may be replaced at once.
	coldPart = 0.6
	// coldBurst is the number of requests that one host may send at once.
	coldBurst = 1
	// coldLeastWait is the least time after which a host asks again, so that a token that
	// is there but for the rounding is not waited for in a loop.
	coldLeastWait = time.Millisecond
	// ColdSettle is for how long a host must have been among the callers of a cold server
	// before it calls it: hosts that start together know of all others within two seconds.
	ColdSettle = 2 * time.Second
)

// ColdBound is what a cold server takes from all hosts together.
type ColdBound struct {
	// PerSecond is the number of requests a second that it tolerates; 0 is unknown, and no
	// bound.
	PerSecond float64
	// Excess and Slack give the most requests in any second: PerSecond times Excess, and
	// Slack more.
	Excess, Slack float64
}

// Known reports whether there is a bound.
func (b ColdBound) Known() bool { return b.PerSecond > 0 }

// most is the number of requests in any second that hosts that agree use.
func (b ColdBound) most() float64 { return coldPart * (b.PerSecond*b.Excess + b.Slack) }

// Callers returns how many of a number of hosts may call a cold server: so few that each
// sends two requests a second or more.
func (b ColdBound) Callers(hosts int) int {
	return min(hosts, max(1, int(b.most()/(2*coldBurst))))
}

// Rate returns the requests a second of each caller. In any second one sends at most that
// and coldBurst more; 0 or less is none.
func (b ColdBound) Rate(callers int) float64 {
	return b.most()/float64(max(callers, 1)) - coldBurst
}

// Cold deals out what one host may send a cold server: nothing in the first ColdSettle as a
// caller, then a steady rate. It is not safe for concurrent use.
type Cold struct {
	tokens float64
	at     time.Time
	since  time.Time
}

// SetCaller notes whether the host is among the callers.
func (c *Cold) SetCaller(is bool, now time.Time) {
	switch {
	case !is:
		*c = Cold{}
	case c.since.IsZero():
		c.since = now
		c.at = now.Add(ColdSettle)
	}
}

// IsCaller reports whether the host is among the callers.
func (c *Cold) IsCaller() bool { return !c.since.IsZero() }

// Take takes a request at a rate a second. Otherwise it returns when to ask again.
func (c *Cold) Take(rate float64, now time.Time) (wait time.Duration, ok bool) {
	if c.since.IsZero() || rate <= 0 {
		return ColdSettle, false
	}
	if now.Before(c.at) {
		return c.at.Sub(now), false
	}
	c.tokens = math.Min(coldBurst, c.tokens+rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.tokens < 1 {
		return max(time.Duration((1-c.tokens)/rate*float64(time.Second)), coldLeastWait), false
	}
	c.tokens--
	return 0, true
}

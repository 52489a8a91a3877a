package limit

import (
	"math"
	"time"
)

const (
	// coldUsableShare is the share of a cold server's bound that its callers use together. The
	// rest is for times in which hosts disagree on who the callers are: while a caller is
	// replaced, both the old and the new one call, and two of three callers may be replaced at
	// once.
	coldUsableShare = 0.6
	// coldBurst is the number of requests that one host may send at once.
	coldBurst = 1
	// coldMinWait is the shortest wait that Take returns. It prevents a busy loop when
	// rounding leaves slightly less than one token.
	coldMinWait = time.Millisecond
	// ColdCallerDelay is how long a host must have been among the callers of a cold server
	// before it sends requests. Hosts that start together learn of each other within this
	// time, and then agree on the callers.
	ColdCallerDelay = 2 * time.Second
)

// ColdBound limits the requests that a cold server, one that has just started, receives from all
// hosts together. Only some of the hosts, its callers, send it requests.
type ColdBound struct {
	// PerSecond is the number of requests per second that the server tolerates; 0 means
	// unknown, without a bound.
	PerSecond float64
	// Factor and Slack define the maximum in any second: PerSecond times Factor plus
	// Slack requests.
	Factor, Slack float64
}

// Known reports whether there is a bound.
func (b ColdBound) Known() bool { return b.PerSecond > 0 }

// usable returns how many requests the callers may send together in any second.
func (b ColdBound) usable() float64 { return coldUsableShare * (b.PerSecond*b.Factor + b.Slack) }

// Callers returns how many of the given number of hosts may call a cold server: as many as can
// each send two or more requests in any second, but at least one.
func (b ColdBound) Callers(hosts int) int {
	return min(hosts, max(1, int(b.usable()/(2*coldBurst))))
}

// Rate returns the rate, per second, at which each of the given number of callers may send
// requests. Because of its burst, a caller may send coldBurst more than that in any second. A rate
// of 0 or less permits none.
func (b ColdBound) Rate(callers int) float64 {
	return b.usable()/float64(max(callers, 1)) - coldBurst
}

// ColdLimiter is a token bucket for the requests of one host to one cold server. It is empty
// during the first ColdCallerDelay as a caller and then fills at a steady rate. It is not safe
// for concurrent use.
type ColdLimiter struct {
	tokens float64
	// refilled is when tokens were last added; it lies in the future until ColdCallerDelay has
	// passed.
	refilled time.Time
	// callerSince is when the host became a caller; zero if it is none.
	callerSince time.Time
}

// SetCaller records whether the host is among the callers of the server.
func (c *ColdLimiter) SetCaller(caller bool, now time.Time) {
	switch {
	case !caller:
		*c = ColdLimiter{}
	case c.callerSince.IsZero():
		c.callerSince = now
		c.refilled = now.Add(ColdCallerDelay)
	}
}

// IsCaller reports whether the host is among the callers of the server.
func (c *ColdLimiter) IsCaller() bool { return !c.callerSince.IsZero() }

// Take reports whether a request may be sent now, where tokens fill at rate per second.
// If not, it returns the time after which to try again.
func (c *ColdLimiter) Take(rate float64, now time.Time) (wait time.Duration, ok bool) {
	if c.callerSince.IsZero() || rate <= 0 {
		return ColdCallerDelay, false
	}
	if now.Before(c.refilled) {
		return c.refilled.Sub(now), false
	}
	c.tokens = math.Min(coldBurst, c.tokens+rate*now.Sub(c.refilled).Seconds())
	c.refilled = now
	if c.tokens < 1 {
		return max(time.Duration((1-c.tokens)/rate*float64(time.Second)), coldMinWait), false
	}
	c.tokens--
	return 0, true
}

package quota

import (
	"math"
	"time"
)

const (
	// verdictDelay is the time from the admission of a request until all hosts know that it made
	// their team metered: the interval of reports, and twice the way between regions.
	verdictDelay = 100 * time.Millisecond
	// surge is the demand, as a multiple of the limit, for which the requests admitted during
	// verdictDelay stay within the bound.
	surge = 10
	// startShare is the share of the slack with which the buckets of a new ledger begin; no
	// fraction includes it.
	startShare = 0.25
)

// allowed returns the number of requests that the limit allows in a window.
func (b Bound) allowed(l Limit) float64 { return l.PerSecond*b.Window.Seconds() + l.Burst }

// tolerance returns by how many requests a window may exceed the limit.
func (b Bound) tolerance(l Limit) float64 { return b.Excess*b.allowed(l) + b.Slack }

// scale returns the rate and the depth of the bucket of a ledger that hears a fraction of the
// hosts. A bucket cannot be less than one request deep; its rate is then lower.
func (b Bound) scale(l Limit, fraction float64) (rate, depth float64) {
	allowed := b.allowed(l)
	share := fraction * (allowed + b.tolerance(l) - startShare*b.Slack)
	part := min(1, share/allowed)
	rate, depth = part*l.PerSecond, part*l.Burst
	if depth >= 1 {
		return rate, depth
	}
	rate = min(rate, (share-1)/b.Window.Seconds())
	if rate <= 0 {
		return 0, 0
	}
	return rate, 1
}

// meteredBelow returns the level below which a team becomes metered, for a bucket of the given
// depth. It is above depth if the team is always metered.
func (b Bound) meteredBelow(l Limit, depth, tolerance float64) float64 {
	if tolerance < 1 {
		return depth + 1
	}
	unreported := atMost(surge * l.PerSecond * verdictDelay.Seconds())
	threshold := max(depth/2, unreported-tolerance)
	if threshold > depth-1 {
		return depth + 1
	}
	return threshold
}

// alwaysMetered reports whether a team is metered also while its bucket is full. Hosts know it
// without being told.
func (b Bound) alwaysMetered(l Limit) bool {
	_, depth := b.scale(l, 1)
	return b.meteredBelow(l, depth, b.tolerance(l)) > depth
}

// atMost returns a number that a Poisson variable with the given mean rarely exceeds.
func atMost(mean float64) float64 { return mean + 3*math.Sqrt(mean) + 3 }

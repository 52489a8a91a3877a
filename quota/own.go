package quota

import (
	"math"
	"time"
)

const (
	// maxOwnBurst is the share of what a host alone may admit in a window that it may admit at once.
	maxOwnBurst = 0.75
	// goldenRatio spreads the phases of any run of ranks evenly, as those of one failure domain.
	goldenRatio = math.Phi
	// unevenness is by how many requests a window may meet more than evenly spread phases yield.
	unevenness = 3
	// maxPeriod is the longest time between two requests that a host alone admits for a team.
	maxPeriod = 24 * time.Hour
)

// ownShare is the fraction of a team's limit that a host may use alone. The fractions of all
// hosts, and the burst that a ledger may have granted before, add up to the bound. Where the fraction is less
// than two requests in a window it is not a bucket, which would hold a whole request on every host: the host then has
// one request in each period, at a time that follows from its rank, and loses it unless used within a window.
type ownShare struct {
	// epoch is when the host began to decide alone.
	epoch time.Time
	level float64
	at    time.Time
	// used is when the last request was admitted.
	used time.Time
}

// take admits a request, or returns when one would be admitted. unreported are requests admitted
// at the given time, before the epoch, of which no ledger may know.
func (o *ownShare) take(bound Bound, limit Limit, hosts, rank int, epoch, now time.Time, unreported int, since time.Time) (bool, time.Duration) {
	usable := bound.allowed(limit) + bound.tolerance(limit)
	if share := (usable - limit.Burst) / float64(hosts); share >= 2 {
		if !o.epoch.Equal(epoch) {
			o.epoch, o.at, o.level = epoch, epoch, -float64(unreported)
		}
		return o.takeBucket(share, share*limit.Burst/bound.allowed(limit), bound.Window, now)
	}
	if unreported > 0 && since.After(o.used) {
		o.used = since
	}
	return o.takePeriod(min(usable, 2*(usable-limit.Burst))-unevenness, hosts, rank, bound.Window, epoch, now)
}

// takeBucket takes from a bucket that begins empty and admits share requests in a window.
func (o *ownShare) takeBucket(share, depth float64, window time.Duration, now time.Time) (bool, time.Duration) {
	depth = max(1, min(depth, maxOwnBurst*share))
	b := bucket{rate: (share - depth) / window.Seconds(), depth: depth, maxDebt: share, level: o.level, at: o.at}
	b.refill(now)
	ok := b.take(1) > 0
	o.level, o.at = b.level, b.at
	if ok {
		o.used = now
		return true, 0
	}
	return false, b.wait() + max(0, b.at.Sub(now))
}

// takePeriod admits one request in each period that begins after the epoch. A window meets the validity, of one window, of
// at most usable of the requests of all hosts.
func (o *ownShare) takePeriod(usable float64, hosts, rank int, window time.Duration, epoch, now time.Time) (bool, time.Duration) {
	period := 2 * float64(hosts) * float64(window) / usable
	if usable <= 0 || period > float64(maxPeriod) {
		return false, never
	}
	length := int64(period)
	_, phase := math.Modf(float64(rank) * goldenRatio)
	passed := (now.UnixNano() - int64(period*phase)) % length
	if passed < 0 {
		passed += length
	}
	begin := now.Add(-time.Duration(passed))
	if time.Duration(passed) < window && o.used.Before(begin) && !begin.Before(epoch) {
		o.used = now
		return true, 0
	}
	next := begin.Add(time.Duration(length))
	if early := epoch.Sub(next); early > 0 {
		next = next.Add((early + time.Duration(length) - 1) / time.Duration(length) * time.Duration(length))
	}
	return false, next.Sub(now)
}

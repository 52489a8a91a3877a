package quota

import (
	"slices"
	"time"
)

const (
	// placeTTL is how long a reserved allowance is kept after it is due: a few round trips of the
	// caller. Kept for longer, allowances of callers that do not return would be withheld from others.
	placeTTL = 100 * time.Millisecond
	// maxPlaces bounds the reserved allowances of a team.
	maxPlaces = 1 << 12
	// rounding makes up for rounding errors of levels, in requests.
	rounding = 1e-6
	// never is a retry delay where nothing is known of when a request would be admitted.
	never = 30 * time.Second
)

// bucket is a token bucket, from which allowances can be reserved ahead.
type bucket struct {
	// rate is in requests per second, depth in requests. maxDebt bounds how far the level falls
	// below 0.
	rate, depth, maxDebt float64
	// level includes the reserved allowances as far as they have been filled. It is negative where
	// requests were reported that the bucket had no allowance for.
	level float64
	at    time.Time
	// places holds when the reserved allowances are due, the earliest first.
	places []time.Time
}

// refill brings the level up to date and gives up the reserved allowances that nobody claimed.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += b.rate * elapsed.Seconds()
		b.at = now
	}
	expired := 0
	for expired < len(b.places) && now.Sub(b.places[expired]) > placeTTL {
		expired++
	}
	b.places = slices.Delete(b.places, 0, expired)
	b.put(0)
}

// put returns n allowances.
func (b *bucket) put(n int) { b.level = max(-b.maxDebt, min(b.level+float64(n), b.depth)) }

// take takes up to n allowances and returns how many.
func (b *bucket) take(n int) int {
	taken := int(max(0, min(float64(n), b.free()+rounding)))
	b.level -= float64(taken)
	return taken
}

// free returns the allowances without which each reserved one is still filled when it is due.
func (b *bucket) free() float64 {
	free := b.level
	for i, due := range b.places {
		free = min(free, b.level+b.rate*max(0, due.Sub(b.at).Seconds())-float64(i+1))
	}
	return free
}

// claim takes up to n of the reserved allowances that are due, unless the bucket has lost them to
// reports or to a lower rate since.
func (b *bucket) claim(n int, now time.Time) (claimed int) {
	for claimed < n && len(b.places) > 0 && !b.places[0].After(now) && b.level+rounding >= 1 {
		b.places = slices.Delete(b.places, 0, 1)
		b.level--
		claimed++
	}
	return claimed
}

// wait returns the time until the next allowance is free, at most never.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 {
		return never
	}
	seconds := max(0, float64(len(b.places)+1)-b.level) / b.rate
	if seconds >= never.Seconds() {
		return never
	}
	wait := time.Duration(seconds*float64(time.Second)) + time.Nanosecond
	if last := len(b.places) - 1; last >= 0 {
		wait = max(wait, b.places[last].Sub(b.at))
	}
	return wait
}

// reserve reserves up to n allowances that are due within the patience, and returns when the last
// one is due; otherwise when one would be free.
func (b *bucket) reserve(n int, patience time.Duration, now time.Time) time.Duration {
	wait := b.wait()
	for range n {
		next := b.wait()
		if next > patience || next >= never || len(b.places) >= maxPlaces {
			break
		}
		wait = next
		b.places = append(b.places, now.Add(wait))
	}
	return wait
}

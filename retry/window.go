package retry

import "time"

// windowBuckets is the number of time buckets of a window. A bucket counts until the last
// of its attempts has left the window.
const windowBuckets = 20

// Window bounds the extra attempts of one service in a sliding time window to a share of
// its first attempts in the same window plus a constant slack. It is not safe for
// concurrent use.
type Window struct {
	span time.Duration
	// epoch is the start of bucket 0, one span before the first use. It has a monotonic
	// clock reading, so that changes of the wall clock have no effect.
	epoch time.Time
	// buckets is a ring, indexed by the bucket number modulo its length.
	buckets [windowBuckets + 1]windowBucket
}

// windowBucket counts the attempts of one time bucket.
type windowBucket struct {
	// number is the position of the bucket since epoch.
	number       int64
	first, extra int
}

// NewWindow returns an empty window of the given length.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// AddFirstAttempts records n first attempts.
func (w *Window) AddFirstAttempts(n int, now time.Time) { w.bucket(now).first += n }

// Take reports whether an extra attempt is permitted, and records it if so: including it,
// the extra attempts in the window are at most share times the first attempts plus slack.
func (w *Window) Take(share, slack float64, now time.Time) bool {
	return w.TakeFraction(1, share, slack, now)
}

// TakeFraction is like Take, but uses only the given fraction (0 to 1) of the permitted extra
// attempts, rounded up to a whole attempt, and leaves the rest to other callers.
func (w *Window) TakeFraction(fraction, share, slack float64, now time.Time) bool {
	first, extra := w.Counts(now)
	permitted := share*float64(first) + slack
	if float64(extra+1) > permitted || float64(extra) >= fraction*permitted {
		return false
	}
	w.bucket(now).extra++
	return true
}

// Counts returns the numbers of first and extra attempts in the window that ends at now.
func (w *Window) Counts(now time.Time) (first, extra int) {
	oldest := w.bucketNumber(now) - windowBuckets
	for i := range w.buckets {
		if b := &w.buckets[i]; b.number >= oldest {
			first += b.first
			extra += b.extra
		}
	}
	return first, extra
}

// bucketNumber returns the number of the bucket of now.
func (w *Window) bucketNumber(now time.Time) int64 {
	if w.epoch.IsZero() {
		w.epoch = now.Add(-w.span)
	}
	return int64(now.Sub(w.epoch) / (w.span / windowBuckets))
}

// bucket returns the bucket of now, which is reset if it still holds an earlier one.
func (w *Window) bucket(now time.Time) *windowBucket {
	number := w.bucketNumber(now)
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = windowBucket{number: number}
	}
	return b
}

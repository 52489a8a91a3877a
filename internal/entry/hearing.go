package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// replyTimes records when each peer last replied. It is safe for concurrent use.
type replyTimes struct {
	// times holds Unix times in nanoseconds by host, as *atomic.Int64.
	times sync.Map
}

// record notes that a host has just replied.
func (r *replyTimes) record(host string) {
	last, ok := r.times.Load(host)
	if !ok {
		last, _ = r.times.LoadOrStore(host, &atomic.Int64{})
	}
	last.(*atomic.Int64).Store(time.Now().UnixNano())
}

// last returns when a host last replied, or the zero time if it never did.
func (r *replyTimes) last(host string) time.Time {
	last, ok := r.times.Load(host)
	if !ok {
		return time.Time{}
	}
	return time.Unix(0, last.(*atomic.Int64).Load())
}

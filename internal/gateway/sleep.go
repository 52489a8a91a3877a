package gateway

import (
	"sync"
	"time"
)

// sleep counts the time for which the machine was suspended, which the steady clock does not
// count: requests in hand have that much less time left. It is safe for concurrent use.
type sleep struct {
	mu    sync.Mutex
	total time.Duration
	// more is closed, and made anew, when the total grows.
	more chan struct{}
}

func newSleep() *sleep { return &sleep{more: make(chan struct{})} }

func (s *sleep) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += d
	close(s.more)
	s.more = make(chan struct{})
}

// now returns the total, and what is closed when it grows.
func (s *sleep) now() (total time.Duration, more <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.more
}

// slept makes a query as much older as the machine was suspended. A caller that waited for 2 s
// through a suspension of 5 s is gone: without this its query went on for the rest of its two.
func (q *query) slept() {
	before := q.asleep
	q.asleep, q.woken = q.gateway.sleep.now()
	d := q.asleep - before
	q.end, q.due, q.offerBy = q.end.Add(-d), q.due.Add(-d), q.offerBy.Add(-d)
	q.state.Slept(d)
	q.trace.note("the machine was suspended for %v", d)
}

package gateway

import (
	"sync"
	"time"
)

// suspensions counts how long the machine was suspended. The monotonic clock does not include this
// time, so the deadlines of requests in flight are moved earlier by it. It is safe for concurrent
// use.
type suspensions struct {
	mu    sync.Mutex
	total time.Duration
	// changed is closed and replaced when the total grows.
	changed chan struct{}
}

func newSuspensions() *suspensions { return &suspensions{changed: make(chan struct{})} }

func (s *suspensions) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += d
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the total and a channel that is closed when it grows.
func (s *suspensions) current() (total time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.changed
}

// applySuspension moves the deadlines of a query earlier by the time for which the machine was
// suspended, during which the caller's timeout went on.
func (q *query) applySuspension() {
	before := q.suspendedFor
	q.suspendedFor, q.resumed = q.gateway.suspensions.current()
	added := q.suspendedFor - before
	q.end, q.due, q.dispatchBy = q.end.Add(-added), q.due.Add(-added), q.dispatchBy.Add(-added)
	q.state.AddSuspension(added)
	q.trace.note("the machine was suspended for %v", added)
}

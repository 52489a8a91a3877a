package coordination

import (
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// maxPendingGrants limits the grants that wait for a host that does not read. Its older asks have
// timed out.
const maxPendingGrants = 1024

// link is the coordinator's side of the stream of one host.
type link struct {
	host string
	// heard is when the last message arrived. It belongs to the server.
	heard time.Time

	mu sync.Mutex
	// pending is the message to send next; nil if there is none. A host that reads slowly gets the
	// latest state instead of every change.
	pending *relaypb.CoordinateVerdict
	wake    chan struct{}

	done      chan struct{}
	closeOnce sync.Once
	err       error
}

func newLink(host string) *link {
	return &link{host: host, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// offer merges a message into the one to send next. It does not block.
func (l *link) offer(m *relaypb.CoordinateVerdict) {
	l.mu.Lock()
	if l.pending == nil {
		l.pending = &relaypb.CoordinateVerdict{}
	}
	merge(l.pending, m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// merge replaces the lists of a message by those of a later one, and appends its grants.
func merge(into, m *relaypb.CoordinateVerdict) {
	if m.GetHasMetered() {
		into.Metered, into.HasMetered = m.GetMetered(), true
	}
	if len(m.GetGates()) > 0 {
		into.Gates = m.GetGates()
	}
	if len(m.GetLoads()) > 0 {
		into.Loads = m.GetLoads()
	}
	into.Grants = append(into.Grants, m.GetGrants()...)
	if excess := len(into.Grants) - maxPendingGrants; excess > 0 {
		into.Grants = into.Grants[excess:]
	}
}

// take returns the message to send next, or nil.
func (l *link) take() *relaypb.CoordinateVerdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	l.pending = nil
	return m
}

// close ends the stream with an error.
func (l *link) close(err error) {
	l.closeOnce.Do(func() {
		l.err = err
		close(l.done)
	})
}

// send sends messages until the stream is closed, and returns why it was.
func (l *link) send(stream ServerStream) error {
	for {
		select {
		case <-l.wake:
			if m := l.take(); m != nil {
				if err := stream.Send(m); err != nil {
					<-l.done // The receiving side learns why the stream ended.
					return l.err
				}
			}
		case <-l.done:
			return l.err
		}
	}
}

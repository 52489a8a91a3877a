package coordination

import (
	"slices"
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
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = &relaypb.CoordinateVerdict{}
	}
	merge(l.pending, m)
	signal(l.wake)
}

// merge replaces the lists of a message by those of a later one, its loads by server, and appends its
// grants.
func merge(into, m *relaypb.CoordinateVerdict) {
	if m.GetHasMetered() {
		into.Metered, into.HasMetered = m.GetMetered(), true
	}
	if len(m.GetGates()) > 0 {
		into.Gates = m.GetGates()
	}
	into.Loads = mergeLoads(into.GetLoads(), m.GetLoads())
	into.Grants = append(into.Grants, m.GetGrants()...)
	if excess := len(into.Grants) - maxPendingGrants; excess > 0 {
		into.Grants = into.Grants[excess:]
	}
}

// mergeLoads returns the loads by server, the later one of each. It changes neither list, as others
// share them.
func mergeLoads(earlier, later []*relaypb.ServerLoad) []*relaypb.ServerLoad {
	if len(earlier) == 0 || len(later) == 0 {
		return append(slices.Clip(earlier), later...)
	}
	replaced := make(map[string]bool, len(later))
	for _, l := range later {
		replaced[l.GetServer()] = true
	}
	merged := slices.Clone(later)
	for _, l := range earlier {
		if !replaced[l.GetServer()] {
			merged = append(merged, l)
		}
	}
	return merged
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

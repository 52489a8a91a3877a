package gateway

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/replica"
)

// coldError says that a cold server takes no more for now.
type coldError struct {
	// wait is when it may take another request.
	wait time.Duration
}

// Error names the wait.
func (e *coldError) Error() string {
	return fmt.Sprintf("the server is cold and takes another request in %v: it is warm some seconds after its start", e.wait.Round(time.Millisecond))
}

// pickCold takes a slot on a cold server, where no other has one. What a cold server takes
// is little and the other servers of its service are mostly there, so that to leave it to
// those that find no other costs callers least.
func (g *group) pickCold(exclude uint64, now time.Time) (*call, error) {
	i := g.set.Pick(now, 0, exclude)
	if i == replica.None {
		return nil, errNoSlot
	}
	b := g.members[i]
	callsIt := b.cold.IsCaller()
	if callsIt {
		if err := g.takeCold(b, now); err != nil {
			return nil, err
		}
	}
	if !g.set.Acquire(i, now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: b, started: now, share: b.share, knownSlow: true, cold: !callsIt}, nil
}

// takeCold takes a request from what this host may send a cold server.
func (g *group) takeCold(b *backend, now time.Time) error {
	if wait, ok := b.cold.Take(b.share.Cold.Rate(b.share.ColdCallers()), now); !ok {
		return &coldError{wait: wait}
	}
	return nil
}

// cold is the set of servers that are cold and take only so much then.
func (g *group) cold(now time.Time) uint64 {
	var mask uint64
	for i, b := range g.members {
		if b.isCold(now) {
			mask |= 1 << i
		}
	}
	return mask
}

// isCold reports whether a server is cold and takes only so much then.
func (b *backend) isCold(now time.Time) bool {
	return now.Before(b.ColdUntil) && b.share.Cold.Known()
}

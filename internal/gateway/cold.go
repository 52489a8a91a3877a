package gateway

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/replica"
)

// coldError reports that a cold server accepts no more requests for now.
type coldError struct {
	// wait is the time until it accepts another request.
	wait time.Duration
}

// Error implements error.
func (e *coldError) Error() string {
	return fmt.Sprintf("the server is cold (just started) and rate-limited: it accepts another request in %v", e.wait.Round(time.Millisecond))
}

// pickCold takes a slot on a cold server. It is used only if no other server is free, because a cold
// server accepts few requests, which are best left to requests without an alternative. If this host
// is not among the cold server's callers, the call must be forwarded to one that is.
func (g *group) pickCold(exclude uint64, now time.Time) (*call, error) {
	i := g.set.Pick(now, 0, exclude)
	if i == replica.None {
		return nil, errNoSlot
	}
	b := g.members[i]
	isCaller := b.cold.IsCaller()
	if isCaller {
		if err := g.takeColdToken(b, now); err != nil {
			return nil, err
		}
	}
	if !g.set.Acquire(i, now) {
		return nil, errNoSlot
	}
	return &call{group: g, backend: b, started: now, share: b.share, knownSlow: true, needsColdCaller: !isCaller}, nil
}

// takeColdToken takes a token from this host's rate limiter for a cold server.
func (g *group) takeColdToken(b *backend, now time.Time) error {
	if wait, ok := b.cold.Take(b.share.ColdBound.Rate(b.share.ColdCallers()), now); !ok {
		return &coldError{wait: wait}
	}
	return nil
}

// coldMask returns the bit set of the cold servers, by index in g.members, whose rate limit is
// known.
func (g *group) coldMask(now time.Time) uint64 {
	var mask uint64
	for i, b := range g.members {
		if b.isCold(now) {
			mask |= 1 << i
		}
	}
	return mask
}

// isCold reports whether a server is cold and its rate limit is known.
func (b *backend) isCold(now time.Time) bool {
	return now.Before(b.ColdUntil) && b.share.ColdBound.Known()
}

package callerconn

import (
	"net"
	"time"

	"github.com/mallowgap/mallowgap/evict"
)

const (
	// roomLooks is how many connections are compared to find one that makes room for another. They are chosen at random,
	// so that a crowd of new connections costs little.
	roomLooks = 64
	// roomSlack is how many connections beyond the limit, as a part of it, may be open while idle ones are read once more
	// before they are closed.
	roomSlack = 0.125
)

// admit reports whether a new connection may be kept. If the limit is reached, it closes another one that costs its caller less.
func (t *Tracker) admit() bool {
	limit := t.limits.MaxConns
	if limit == 0 {
		return true
	}
	conns, open := t.sample()
	if open < limit {
		return true
	}
	now := time.Now()
	connections := make([]evict.Connection, len(conns))
	for i, c := range conns {
		connections[i] = c.describe(now)
	}
	victim := evict.ForConnection(connections)
	if victim < 0 {
		return false
	}
	if connections[victim].Idle && open < limit+int(roomSlack*float64(limit)) {
		conns[victim].closeIdle(now, Displaced, func(time.Duration, bool) bool { return true })
		return true
	}
	return conns[victim].displace(connections[victim].Waiting)
}

// sample returns some open connections, and how many are open. Iteration over a map begins at a random place.
func (t *Tracker) sample() (conns []*Conn, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) < t.limits.MaxConns {
		return nil, len(t.conns)
	}
	for c := range t.conns {
		if conns = append(conns, c); len(conns) == roomLooks {
			break
		}
	}
	return conns, len(t.conns)
}

// describe returns what decides whether the connection makes room for another.
func (c *Conn) describe(now time.Time) evict.Connection {
	d, unfinished := c.describeState(now)
	if unfinished != nil {
		d.Waiting = c.tracker.memory.ageOf(unfinished, now)
	}
	return d
}

// describeState does so, but for the time that the host has waited for a request that is unfinished.
func (c *Conn) describeState(now time.Time) (d evict.Connection, unfinished *share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == refused || c.evicted:
		return evict.Connection{Ended: true}, nil
	case c.answerUnread(now):
		return evict.Connection{Waiting: now.Sub(c.writeSince)}, nil
	case c.phase == serving:
		return evict.Connection{Busy: true}, nil
	case c.share != nil:
		return evict.Connection{}, c.share
	}
	return evict.Connection{Idle: !c.fresh, Waiting: now.Sub(c.idleSince)}, nil
}

// displace closes the connection at once to make room for another. It returns false if a request has been read whole since.
func (c *Conn) displace(waiting time.Duration) bool {
	if !c.closeUnserved(time.Now()) {
		return false
	}
	c.tracker.remove(c) // It must not be chosen again.
	c.tracker.report(Refusal{Reason: Displaced, Caller: c.RemoteAddr(), Age: waiting})
	return true
}

// closeUnserved closes the connection unless a request is served, and marks a request that is being read as one not to be served.
// net/http learns it by its next read, and calls Close.
func (c *Conn) closeUnserved(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving && !c.answerUnread(now) {
		return false
	}
	c.evicted = true
	c.noteEnd(Displaced)
	_ = c.Conn.Close() // It fails only if the caller has left.
	return true
}

// answerUnread reports whether the caller has not read its answer for some time. c.mu is held.
func (c *Conn) answerUnread(now time.Time) bool {
	return !c.writeSince.IsZero() && now.Sub(c.writeSince) >= evict.Patience
}

// turnAway closes a new connection for which there is no room.
func (t *Tracker) turnAway(conn net.Conn) {
	ended[NoRoom].Inc()
	t.report(Refusal{Reason: NoRoom, Caller: conn.RemoteAddr()})
	_ = conn.Close() // It fails only if the caller has left.
}

package callerconn

import (
	"net"
	"sync"
	"time"
)

// lastLook is how long a connection that is about to be closed as idle is read once more. A request
// that arrived while the host had no processor time is still found in the socket.
const lastLook = 100 * time.Millisecond

// stalledWrite is how long a write has been pending if the caller does not read. A write that has just
// begun may still be completed without the caller, on a host that has little processor time.
const stalledWrite = 100 * time.Millisecond

// interrupt is a deadline that has passed.
var interrupt = time.Unix(1, 0)

// Conn is a connection of a caller. It must be served by an http.Server that Tracker.Configure
// configured.
type Conn struct {
	net.Conn
	tracker  *Tracker
	accepted time.Time

	mu sync.Mutex
	// fresh is set until the first byte is read.
	fresh bool
	// idleSince is when the last response ended, or when a fresh connection was accepted. It is zero
	// while a request is read or served.
	idleSince time.Time
	// readSinceWrite reports whether bytes were read since the last write began: they belong to a
	// further request.
	readSinceWrite bool
	// writeSince is when the pending write began; zero if there is none.
	writeSince time.Time
	// phase, headBytes and headLimit tell what of the current request was read (see request.go).
	phase                phase
	headBytes, headLimit int64
	// share is the memory of the current request. It is nil while none is read or served.
	share *share
	// evicted is whether the request must end to make room for others.
	evicted bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
	// closing is why the next read without a byte ends the connection, Unknown if it does not, and
	// looked, whether it was read once more since.
	closing End
	looked  bool
	closed  bool
	end     End
}

func newConn(conn net.Conn, t *Tracker) *Conn {
	now := time.Now()
	return &Conn{Conn: conn, tracker: t, accepted: now, fresh: true, idleSince: now, end: Open}
}

// Read implements net.Conn. If the connection is to be closed as idle and no byte is there, or the request is
// refused, it returns an error, upon which net/http closes the connection.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if err := c.refusal(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if c.noteRead(n, err) || n > 0 && !c.admitHead(p[:n]) {
			continue
		}
		return n, err
	}
}

// noteRead records the result of a read and reports whether to read again.
func (c *Conn) noteRead(n int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.readSinceWrite = true
		c.countHead(n)
		c.startHeader()
		c.setBusy()
		return false
	}
	if err == nil {
		return false
	}
	end := endOf(err)
	switch {
	case c.evicted:
		return true // The next look at refusal ends the request.
	case end != Deadline:
	case c.closing != Unknown:
		if !c.looked {
			c.looked = true
			return c.Conn.SetReadDeadline(time.Now().Add(lastLook)) == nil
		}
		end = c.closing
	case c.readDeadline.IsZero(), time.Now().Before(c.readDeadline):
		// The read was interrupted for a close that was called off.
		return c.Conn.SetReadDeadline(c.readDeadline) == nil
	case c.readDeadline.Before(c.accepted):
		return false // net/http interrupts its own read in this way.
	}
	c.noteEnd(end)
	return false
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	served, err := c.beginWrite()
	if err != nil {
		return 0, err // net/http has an answer of its own to a head that it cannot parse.
	}
	if served {
		c.releaseShare() // The request has been served: a caller that does not read its answer must not keep its memory.
	}
	n, err := c.Conn.Write(p)
	c.noteWritten(err)
	return n, err
}

// beginWrite limits the time of a write. The deadline of an earlier one does not apply to it. It reports whether the
// response to a request that was read whole is written, and fails if the request was refused and thereby answered.
func (c *Conn) beginWrite() (served bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == refused {
		return false, errRefused
	}
	c.readSinceWrite, c.writeSince = false, time.Now()
	timeout := c.tracker.writeTimeout
	if c.evicted {
		timeout = refusalTime
	}
	if timeout > 0 {
		_ = c.Conn.SetWriteDeadline(c.writeSince.Add(timeout)) // A connection that fails here fails the write too.
	}
	return c.phase == serving, nil
}

// noteWritten records the result of a write.
func (c *Conn) noteWritten(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeSince = time.Time{}
	if err != nil {
		c.noteEnd(endOf(err))
	}
}

// endStalledWrite makes the pending write fail if it is stalled.
func (c *Conn) endStalledWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeSince.IsZero() && now.Sub(c.writeSince) >= stalledWrite {
		_ = c.Conn.SetWriteDeadline(interrupt) // A connection that fails here fails the write too.
	}
}

// SetReadDeadline implements net.Conn. It does not postpone a close.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing != Unknown || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side if the connection supports it. net/http calls it before it
// closes a connection on which the caller may still be sending.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.releaseShare()
	if end, first := c.noteClose(); first {
		c.tracker.remove(c)
		ended[end].Inc()
	}
	return c.Conn.Close()
}

// noteClose records that the connection is closed and returns why it ended, and whether it was open.
func (c *Conn) noteClose() (end End, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.closed
	if c.end == Open {
		c.end = Closed
	}
	c.closed = true
	return c.end, first
}

// begin records that a request is served. A request that was read together with the one before it
// needs no further read.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequest()
	c.phase = readingBody
	c.setBusy()
}

// startHeader limits the time for the header from the first byte of a further request. net/http does
// so from the fourth one. c.mu is held.
func (c *Conn) startHeader() {
	if timeout := c.tracker.headerTimeout; timeout > 0 && !c.fresh && !c.idleSince.IsZero() {
		c.readDeadline = time.Now().Add(timeout)
		_ = c.Conn.SetReadDeadline(c.readDeadline) // A connection that fails here fails the next read too.
	}
}

// setBusy records that a request is read or served, and calls off a close. c.mu is held.
func (c *Conn) setBusy() {
	c.fresh, c.idleSince = false, time.Time{}
	if c.closing != Unknown {
		c.closing = Unknown
		_ = c.Conn.SetReadDeadline(c.readDeadline) // A connection that fails here fails the next read too.
	}
}

// setIdle records that a response ended.
func (c *Conn) setIdle(now time.Time) {
	c.releaseShare()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = awaiting
	if c.readSinceWrite {
		c.beginRequest()
	} else {
		c.idleSince = now
	}
}

// closeIdle closes the connection for a reason if it is idle and expired reports true.
func (c *Conn) closeIdle(now time.Time, reason End, expired Expired) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing != Unknown || c.closed || c.idleSince.IsZero() || !expired(now.Sub(c.idleSince), c.fresh) {
		return
	}
	c.closing, c.looked = reason, false
	_ = c.Conn.SetReadDeadline(interrupt) // A connection that fails here ends by its next read.
}

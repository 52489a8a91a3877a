package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/evict"
)

const (
	// readAhead is how many bytes net/http reads at most beyond the head of a request.
	readAhead = 4 << 10
	// refusalTime limits the time to send a refusal, and to read what its caller is still sending: a
	// connection that is closed with unread bytes is reset, and the refusal lost.
	refusalTime = 500 * time.Millisecond
	// refusalBytes limits the bytes that are read meanwhile.
	refusalBytes = 1 << 20
)

// phase is what of a request has been read.
type phase int

const (
	// awaiting: no byte of the next request.
	awaiting phase = iota
	// readingHead: a part of the head.
	readingHead
	// readingBody: the head, and perhaps a part of the body.
	readingBody
	// serving: all. It lasts until the response has ended.
	serving
	// refused: the request was answered while its head was read; no other follows.
	refused
)

// headEnd is the end of a head, and lineEnd that of a line in it.
var headEnd, lineEnd = []byte("\r\n\r\n"), []byte("\n")

// errRefused is the cause of the error of a read after which net/http closes the connection.
var errRefused = errors.New("the connection was refused")

// Limits bound what callers can take of this host.
type Limits struct {
	// HeadBytes returns the limit of the head of a request in bytes; 0 is that of net/http.
	HeadBytes func() int
	// Memory limits the memory of the requests that are read and served at once, in bytes, beyond what small ones
	// take; 0 is no limit.
	Memory int64
	// MaxConns is the number of connections that are kept open at once; 0 is no limit.
	MaxConns int
	// OnRefusal is called for each request that is refused while it is read, and each connection that is closed to limit
	// their number. It must not block.
	OnRefusal func(Refusal)
}

// Refusal describes a request that was refused while it was read, or a connection that was closed before a whole request
// was read. No server was sent it.
type Refusal struct {
	Reason End
	Caller net.Addr
	// HeadBytes is what was read of its head.
	HeadBytes int64
	// Held is what it held of the limit of all requests, in bytes, if the reason is Memory.
	Held int64
	// Age is how long the host has waited for the whole request.
	Age time.Duration
}

// beginRequest records the first byte of a request. c.mu is held.
func (c *Conn) beginRequest() {
	if c.phase != awaiting {
		return
	}
	c.phase, c.headBytes, c.headLimit = readingHead, 0, c.tracker.headLimit()
	c.share = &share{owner: c, began: time.Now()}
}

// noteWhole records that a request was read whole. It returns ErrEvicted if the connection was closed before.
func (c *Conn) noteWhole() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return ErrEvicted
	}
	c.phase = serving
	return nil
}

// countHead counts bytes of a head. c.mu is held.
func (c *Conn) countHead(n int) {
	c.beginRequest()
	if c.phase == readingHead {
		c.headBytes += int64(n)
	}
}

// headLimit returns the limit in force for the head of a request, in bytes.
func (t *Tracker) headLimit() int64 {
	if t.limits.HeadBytes != nil {
		if limit := t.limits.HeadBytes(); limit > 0 {
			return int64(limit)
		}
	}
	return http.DefaultMaxHeaderBytes
}

// admitHead takes the memory of bytes that were read. It returns false if they are of a head and the request is refused.
func (c *Conn) admitHead(read []byte) bool {
	s, tooLarge := c.headState()
	if s == nil {
		return true
	}
	if tooLarge {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
		return false
	}
	if end := bytes.Index(read, headEnd); end >= 0 {
		read = read[:end] // The rest is of the body, and lies in the buffer of net/http.
	}
	cost := headByteCost*len(read) + headLineCost*bytes.Count(read, lineEnd)
	return c.tracker.memory.grow(s, int64(cost)) == nil
}

// headState returns the memory of the request whose head is being read, or nil if none is, and whether the head is too large.
func (c *Conn) headState() (s *share, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != readingHead {
		return nil, false
	}
	return c.share, c.headBytes > c.headLimit+readAhead
}

// refusal returns the error of a read if the request is refused, upon which net/http closes the connection without an
// answer of its own to a head. The handler answers a request whose body was being read.
func (c *Conn) refusal() error {
	head, gone := c.refusedState()
	if head {
		c.refuse(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %g\r\n", RetryAfter.Seconds()))
	}
	if gone {
		return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return nil
}

// refusedState reports whether the request must be refused while its head is read, and whether it was refused or evicted.
func (c *Conn) refusedState() (head, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted && c.phase == readingHead, c.evicted || c.phase == refused
}

// refuse answers a request of which the head is being read.
func (c *Conn) refuse(status int, fields string) {
	if r, first := c.noteRefused(); first {
		c.tracker.report(r)
	}
	c.releaseShare()
	c.sendRefusal(status, fields)
}

// noteRefused records that a head is refused. It returns false if that was reported when the request was evicted.
func (c *Conn) noteRefused() (r Refusal, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEnd(HeadTooLarge) // An evicted one has its reason already.
	c.phase = refused
	return Refusal{Reason: c.end, Caller: c.RemoteAddr(), HeadBytes: c.headBytes}, !c.evicted
}

// evict makes the request that is being read end, which holds the given memory.
func (c *Conn) evict(r evict.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.noteEnd(Memory)
	_ = c.Conn.SetReadDeadline(interrupt) // A connection that fails here fails its read too.
	c.tracker.report(Refusal{Reason: Memory, Caller: c.RemoteAddr(), HeadBytes: c.headBytes, Held: r.Held, Age: r.Age})
}

func (t *Tracker) report(r Refusal) {
	if t.limits.OnRefusal != nil {
		t.limits.OnRefusal(r)
	}
}

// currentShare returns the memory of the request that is read or served.
func (c *Conn) currentShare() *share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}

// releaseShare frees the memory of a request that has ended.
func (c *Conn) releaseShare() {
	if s := c.takeShare(); s != nil {
		c.tracker.memory.release(s)
	}
}

// takeShare returns the memory of the request that is read or served, if any, and forgets it.
func (c *Conn) takeShare() *share {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.share
	c.share = nil
	return s
}

// sendRefusal sends an answer with header fields and no body, and reads what the caller is still sending. Errors mean
// that the caller has left.
func (c *Conn) sendRefusal(status int, fields string) {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalBytes))
}

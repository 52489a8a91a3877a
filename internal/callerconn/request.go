package callerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
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
	// serving: the head. It lasts until the response has ended.
	serving
	// refused: the request was answered while its head was read; no other follows.
	refused
)

// errRefused is the cause of the error of a read after which net/http closes the connection.
var errRefused = errors.New("the connection was refused")

// Limits bound what callers can take of this host.
type Limits struct {
	// HeadBytes returns the limit of the head of a request in bytes; 0 is that of net/http.
	HeadBytes func() int
	// OnRefusal is called for each request that is refused while it is read.
	OnRefusal func(Refusal)
}

// Refusal describes a request that was refused while it was read. No server was sent it.
type Refusal struct {
	Reason End
	Caller net.Addr
	// HeadBytes is what was read of its head.
	HeadBytes int64
}

// countHead counts bytes of a head. c.mu is held.
func (c *Conn) countHead(n int) {
	if c.phase == awaiting {
		c.phase, c.headBytes, c.headLimit = readingHead, 0, c.tracker.headLimit()
	}
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

// isRefused reports whether a request was refused on the connection.
func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == refused
}

// headTooLarge reports whether the head that is being read exceeds its limit.
func (c *Conn) headTooLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead && c.headBytes > c.headLimit+readAhead
}

// refuse answers a request of which the head is being read, and returns an error upon which net/http
// closes the connection without an answer of its own.
func (c *Conn) refuse(status int, reason End) error {
	c.mu.Lock()
	c.noteEnd(reason)
	c.phase = refused
	refusal := Refusal{Reason: reason, Caller: c.RemoteAddr(), HeadBytes: c.headBytes}
	c.mu.Unlock()
	if report := c.tracker.limits.OnRefusal; report != nil {
		report(refusal)
	}
	c.sendRefusal(status)
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// sendRefusal sends an answer without a body and reads what the caller is still sending. Errors mean that
// the caller has left.
func (c *Conn) sendRefusal(status int) {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status)); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalBytes))
}

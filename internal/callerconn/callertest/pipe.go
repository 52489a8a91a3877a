// Package callertest provides callers over in-memory connections, for tests of HTTP servers in fake
// time.
package callertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Get is a whole request.
const Get = "GET /one/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"

// Listener accepts the connections that Dial opens.
type Listener struct {
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection.
func (l *Listener) Dial() *Caller {
	c, s := net.Pipe()
	l.conns <- s
	return NewCaller(c)
}

// Caller is the caller's end of a connection.
type Caller struct {
	net.Conn
	responses *bufio.Reader
}

// NewCaller returns the caller's end of a connection.
func NewCaller(c net.Conn) *Caller { return &Caller{c, bufio.NewReader(c)} }

// Send sends a request or a part of one. It returns once the server has read it.
func (c *Caller) Send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// Receive returns the status of the next response.
func (c *Caller) Receive() (int, error) {
	r, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// Exchange sends a request, or the rest of one, and expects a response of status 200.
func (c *Caller) Exchange(request string) error {
	if err := c.Send(request); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	status, err := c.Receive()
	if err != nil {
		return fmt.Errorf("receive: %w", err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d instead of 200", status)
	}
	return nil
}

//go:build review

package standin

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Result is what a client saw of one attempt.
type Result struct {
	id      string
	gateway *Gateway
	sent    time.Time
	// written reports that the whole request was written. status is 0 if no whole answer came.
	written bool
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
	// reused reports that the connection had served a request before.
	reused bool
}

// Client is a client that keeps one connection open.
type Client struct {
	name   string
	record *Record
	conn   net.Conn
	reader *bufio.Reader
	target *Gateway
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (c *Client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one attempt at a gateway, on the open connection to it if there is one.
func (c *Client) send(g *Gateway, method, host, path string, body []byte, deadline time.Duration) Result {
	r := Result{id: newID(), gateway: g, sent: time.Now(), reused: c.conn != nil && c.target == g}
	if !r.reused {
		c.close()
		conn, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			r.err = err
			c.record.notef("client %s: no connection to %s: %v", c.name, g.name, err)
			return r
		}
		c.conn, c.reader, c.target = conn, bufio.NewReader(conn), g
	}
	c.record.notef("client %s: sends %s %s %s to %s", c.name, r.id, method, path, g.name)
	c.exchange(&r, method, host, path, body, deadline)
	r.elapsed = time.Since(r.sent)
	c.record.notef("client %s: %s answered %d after %v, error %v", c.name, r.id, r.status, r.elapsed.Round(time.Millisecond), r.err)
	if r.err != nil || r.header.Get("Connection") == "close" {
		c.close()
	}
	return r
}

func (c *Client) exchange(r *Result, method, host, path string, body []byte, deadline time.Duration) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Mallowgap-Request-Id: %s\r\nX-Mallowgap-Deadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(r.sent.Add(deadline + 500*time.Millisecond))
	if _, r.err = c.conn.Write(b.Bytes()); r.err != nil {
		return
	}
	r.written = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	if r.body, r.err = io.ReadAll(response.Body); r.err != nil {
		return
	}
	r.status, r.header = response.StatusCode, response.Header
}

// retryAfter returns how long a refused client is asked to wait.
func (r *Result) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

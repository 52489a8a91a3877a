package httppool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/internal/memlimit"
	"github.com/mallowgap/mallowgap/internal/sockopt"
)

const (
	// bufferSize is the size in bytes of a connection's read buffer. It fits the header
	// and a short body of a response.
	bufferSize = 4096
	// asyncWriteSize is the size in bytes from which a request is written concurrently
	// with the reading of its response, since it may exceed the socket buffers.
	asyncWriteSize = 16 << 10
	// idleTimeoutShare is the fraction of a server's keep-alive timeout for which an idle
	// connection is reused, so that a request does not race with the close.
	idleTimeoutShare = 0.7
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no
	// keep-alive timeout.
	defaultIdleTimeout = 30 * time.Second
	// maxResponses bounds the responses, including informational ones, that are read in
	// search of the one that belongs to the request.
	maxResponses = 3
)

// Settings configures a Pool.
type Settings struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent data may remain unacknowledged before the connection
	// is closed.
	UserTimeout time.Duration
	// MaxHead is the largest response head accepted, in bytes, with the informational responses
	// before it.
	MaxHead int64
	// MaxBody is the largest response body accepted, in bytes.
	MaxBody int64
	// MaxMemory limits the memory of all responses that are read at once, in bytes, beyond what small
	// ones take. Responses that would exceed it fail.
	MaxMemory int64
}

// limits are the limits of the responses of a pool.
type limits struct {
	maxHead, maxBody int64
	budget           *memlimit.Budget
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	limits   limits
	mu       sync.Mutex
	idle     map[string][]*conn
}

// New returns a pool without connections.
func New(settings Settings) *Pool {
	return &Pool{
		settings: settings, idle: map[string][]*conn{},
		limits: limits{maxHead: settings.MaxHead, maxBody: settings.MaxBody, budget: memlimit.NewBudget(settings.MaxMemory)},
	}
}

// Request is a request with the means to recognize its response.
type Request struct {
	Address string
	Method  string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its responses. A request that is sent again has the ID that it
	// had.
	ID string
	// Match tells to which request a response belongs. If nil, every response is the request's own.
	Match func(*http.Response) Match
	// MaxIdle bounds how long a reused connection may have been idle. 0 means no bound.
	MaxIdle time.Duration
}

// Match is the relation of a response to the request for which it is read.
type Match int

const (
	// Foreign is a response to another request. It is skipped.
	Foreign Match = iota
	// Unidentified is a response that names no request. It is accepted only on a connection that
	// carried no other request.
	Unidentified
	// Own is the response to the request.
	Own
)

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is a connection with its read buffer and the state of its idle timeout.
type conn struct {
	net.Conn
	limits *limits
	source *limitedReader
	// reader reads from source.
	reader *bufio.Reader
	// reused reports whether the connection carried a request before.
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
	// carried holds the requests that the connection carried and that may be sent again.
	carried requestSet
}

// Do sends a request and returns its response. After an error other than a
// *NotSentError, the server may have run the request. If ctx ends first, the connection
// is closed, which signals the server to stop.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, reusable, err := c.exchange(r)
	if !stop() || err != nil || !reusable || !c.noteCarried(ctx, r, response) {
		_ = c.Close()
	} else {
		p.put(r.Address, c, response.Header)
	}
	if err == nil {
		return response, nil
	}
	if cause := ctx.Err(); cause != nil && !notSent(err) {
		return nil, fmt.Errorf("call %s: %w", r.Address, cause)
	}
	return nil, err
}

func notSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// noteCarried records that a connection carried a request and reports whether the connection can
// still be reused. After a success the request is not sent again, or the same success is its answer.
func (c *conn) noteCarried(ctx context.Context, r *Request, response *Response) bool {
	c.reused = true
	if response.Status/100 == 2 {
		return true
	}
	end, bounded := ctx.Deadline()
	if !bounded {
		return false
	}
	return c.carried.add(r.ID, end, time.Now())
}

// connect returns an idle connection that is usable for the request, or a new one. Idle
// connections that are too old, closed by the server or have unread data are discarded.
//
// A connection that carried an earlier attempt at the request is passed over: if the server repeats
// the response to that attempt, the ID does not distinguish the copy from the response to this one. If
// there is no other, it is replaced by a new one, since servers limit their connections.
func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, carried := p.take(r)
		if c == nil {
			break
		}
		if carried {
			connsReplaced.Inc()
			_ = c.Close()
			break
		}
		idle := time.Since(c.idleSince)
		if idle < c.idleTimeout && (r.MaxIdle == 0 || idle < r.MaxIdle) && isOpenAndEmpty(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, r.Address)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.settings.DialTimeout, Control: sockopt.UserTimeout(p.settings.UserTimeout), KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	source := &limitedReader{conn: raw}
	return &conn{Conn: raw, limits: &p.limits, source: source, reader: bufio.NewReaderSize(source, bufferSize)}, nil
}

// Prewarm establishes a connection to an address and adds it to the pool.
func (p *Pool) Prewarm(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.put(address, c, nil)
	}
	return err
}

// take removes the most recently used idle connection that did not carry the request, or, if all
// did, the most recently used one. It returns nil if there is none.
func (p *Pool) take(r *Request) (c *conn, carried bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	if len(conns) == 0 {
		return nil, false
	}
	i := len(conns) - 1
	for i >= 0 && conns[i].carried.has(r.ID, now) {
		i--
	}
	if i < 0 {
		i, carried = len(conns)-1, true
	}
	c = conns[i]
	if p.idle[r.Address] = slices.Delete(conns, i, i+1); len(conns) == 1 {
		delete(p.idle, r.Address)
	}
	return c, carried
}

func (p *Pool) put(address string, c *conn, header http.Header) {
	c.idleSince = time.Now()
	c.idleTimeout = idleTimeout(header)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// idleTimeout returns how long an idle connection may be reused, based on the timeout in
// the Keep-Alive header of the last response.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			return time.Duration(idleTimeoutShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdleTimeout
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.idle {
		n += len(conns)
	}
	return n
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	for _, c := range p.removeIdle(address) {
		_ = c.Close()
	}
}

func (p *Pool) removeIdle(address string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	delete(p.idle, address)
	return conns
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.removeExpired(now) {
		_ = c.Close()
	}
}

func (p *Pool) removeExpired(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

// exchange sends a request and reads its response. It also returns whether the
// connection can be reused.
func (c *conn) exchange(r *Request) (*Response, bool, error) {
	encoded := encode(r)
	if len(encoded) < asyncWriteSize {
		if n, err := c.Write(encoded); err != nil {
			if n == 0 {
				return nil, false, &NotSentError{Address: r.Address, Err: err}
			}
			return nil, false, fmt.Errorf("send to %s: %w", r.Address, err)
		}
		return c.receive(r)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(encoded)
		written <- err
	}()
	response, reusable, err := c.receive(r)
	select {
	case writeErr := <-written:
		return response, reusable && writeErr == nil, err
	default:
		// The server responded before the request was written completely. The connection
		// must not be reused, as the rest of the request could be taken for the next one.
		return response, false, err
	}
}

// encode returns a request in the wire format of HTTP/1.1.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // Writes to a bytes.Buffer do not fail.
	if len(r.Body) > 0 || mayHaveBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

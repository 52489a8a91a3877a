package httppool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/internal/sockopt"
)

const (
	// bufferSize holds the header and a short body of a response, in bytes.
	bufferSize = 4096
	// asyncWrite is the size in bytes from which a request is written beside
	// the reading of its response, as it may not fit the windows of the way.
	asyncWrite = 16 << 10
	// idleShare is the share of the time stated by a server for which an idle
	// connection is used, so that a request does not cross the close.
	idleShare = 0.7
	// defaultIdle is for how long an idle connection is kept where the server
	// states no time.
	defaultIdle = 30 * time.Second
	// maxForeign is the number of responses to other requests that are skipped.
	maxForeign = 3
)

// Settings bound a pool.
type Settings struct {
	// DialTimeout bounds the time for a new connection.
	DialTimeout time.Duration
	// UserTimeout is for how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// MaxBody is the largest body of a response, in bytes.
	MaxBody int64
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	mu       sync.Mutex
	idle     map[string][]*conn
}

// New returns a pool without connections.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, idle: map[string][]*conn{}}
}

// Request is one request, and how to know its response.
type Request struct {
	Address string
	Method  string
	// Target is the path and query, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether a response belongs to this request.
	Mine func(*http.Response) bool
	// MaxIdle bounds for how long the connection used may have been idle; 0 is
	// no bound.
	MaxIdle time.Duration
}

// Response is a whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused tells that it came on a connection that was used before.
	Reused bool
}

// NotSentError says that no byte of the request left, so that it cannot run.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

var (
	errForeign   = errors.New("the responses on this connection belong to other requests")
	errTooLarge  = errors.New("the response is larger than the limit")
	errTruncated = errors.New("the response ends before its length")
)

// conn is one connection with what was read ahead.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
	idleFor   time.Duration
}

// Do sends a request and returns its response. After an error other than a
// *NotSentError the server may have run the request. The end of ctx closes the
// connection, which tells the server to stop.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, reusable, err := c.exchange(r, p.settings.MaxBody)
	if !stop() || err != nil || !reusable {
		_ = c.Close()
	} else {
		p.put(r.Address, c, response.Header)
	}
	if err == nil {
		response.Reused = c.reused
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

// connect returns an idle connection that is sound, or a new one.
func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.take(r.Address)
		if c == nil {
			break
		}
		idle := time.Since(c.idleSince)
		if idle < c.idleFor && (r.MaxIdle == 0 || idle < r.MaxIdle) && quiet(c.Conn) {
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
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}, nil
}

// Open makes a new connection to an address and keeps it as an idle one.
func (p *Pool) Open(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.put(address, c, nil)
	}
	return err
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	if p.idle[address] = conns[:last]; last == 0 {
		delete(p.idle, address)
	}
	return c
}

func (p *Pool) put(address string, c *conn, header http.Header) {
	c.reused = true
	c.idleSince = time.Now()
	c.idleFor = statedIdle(header)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// statedIdle returns for how long the server keeps an idle connection.
func statedIdle(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			return time.Duration(idleShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdle
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

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Sweep closes the idle connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleFor {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// exchange sends a request and reads its response. It reports whether the
// connection can be used again.
func (c *conn) exchange(r *Request, maxBody int64) (*Response, bool, error) {
	wire := encode(r)
	if len(wire) < asyncWrite {
		if n, err := c.Write(wire); err != nil {
			if n == 0 {
				return nil, false, &NotSentError{Address: r.Address, Err: err}
			}
			return nil, false, fmt.Errorf("send to %s: %w", r.Address, err)
		}
		return c.receive(r, maxBody)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(wire)
		written <- err
	}()
	response, reusable, err := c.receive(r, maxBody)
	select {
	case writeErr := <-written:
		return response, reusable && writeErr == nil, err
	default:
		// The server answered before it read the request: what is left of the
		// request must not meet a later one on the connection.
		return response, false, err
	}
}

// receive reads responses until the one that belongs to the request.
func (c *conn) receive(r *Request, maxBody int64) (*Response, bool, error) {
	request := &http.Request{Method: r.Method}
	for range maxForeign {
		head, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, fmt.Errorf("response of %s: %w", r.Address, err)
		}
		if head.StatusCode >= 100 && head.StatusCode < 200 {
			continue
		}
		body, err := readBody(head, maxBody)
		if err != nil {
			return nil, false, fmt.Errorf("body of the response of %s: %w", r.Address, err)
		}
		if r.Mine != nil && !r.Mine(head) {
			continue
		}
		reusable := !head.Close && c.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, reusable, nil
	}
	return nil, false, fmt.Errorf("response of %s: %w", r.Address, errForeign)
}

func readBody(head *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = head.Body.Close() }()
	if head.ContentLength > limit {
		return nil, errTooLarge
	}
	if head.ContentLength >= 0 {
		body := make([]byte, head.ContentLength)
		if _, err := io.ReadFull(head.Body, body); err != nil {
			return nil, fmt.Errorf("%w: %w", errTruncated, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// encode returns the bytes of a request.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // A bytes.Buffer takes every write.
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

package callerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/evict"
)

// Messages limits the memory of the messages that are being read on connections that carry many calls, as those of gRPC. The
// connection whose unfinished messages hold the most for the longest is closed to make room. It is safe for
// concurrent use.
type Messages struct {
	memory *requestMemory
	// onEviction is called for each connection that is closed. It must not block.
	onEviction func(Refusal)

	mu sync.Mutex
	// conns holds the open connections by the address of the caller.
	conns map[string]*messageConn
}

// NewMessages returns a limit of memory bytes, beyond a small allowance of each connection.
func NewMessages(memory int64, onEviction func(Refusal)) *Messages {
	return &Messages{memory: newRequestMemory(memory), onEviction: onEviction, conns: map[string]*messageConn{}}
}

// Listen returns a listener whose connections share the limit.
func (m *Messages) Listen(l net.Listener) net.Listener { return &messageListener{l, m} }

type messageListener struct {
	net.Listener
	messages *Messages
}

// Accept implements net.Listener.
func (l *messageListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.messages.add(conn), nil
}

func (m *Messages) add(conn net.Conn) *messageConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &messageConn{Conn: conn, messages: m}
	m.conns[conn.RemoteAddr().String()] = c
	return c
}

func (m *Messages) remove(c *messageConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key := c.RemoteAddr().String(); m.conns[key] == c { // The caller may have opened another from the same port.
		delete(m.conns, key)
	}
}

// messageKey is the key of the connection in the context of a call.
type messageKey struct{}

// TagConn returns the context for the calls on the connection of a caller.
func (m *Messages) TagConn(ctx context.Context, caller net.Addr) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return context.WithValue(ctx, messageKey{}, m.conns[caller.String()])
}

// Reading records that a message of a call begins to be read. The function that it returns records the end; it may be
// called more than once.
func (m *Messages) Reading(ctx context.Context) (end func()) {
	c, _ := ctx.Value(messageKey{}).(*messageConn)
	if c == nil {
		return func() {}
	}
	c.begin()
	return sync.OnceFunc(c.finish)
}

// messageConn counts the bytes that are read while a message is unfinished.
type messageConn struct {
	net.Conn
	messages *Messages

	mu sync.Mutex
	// reading is the number of messages that are unfinished, and share what they take; nil if there are none.
	reading int
	share   *share
	evicted bool
}

// Read implements net.Conn. It waits while the messages of all connections take too much memory.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if s := c.unfinished(); s != nil && c.messages.memory.grow(s, int64(n)) != nil && c.isEvicted() {
		return 0, ErrEvicted
	}
	return n, err
}

// Close implements net.Conn.
func (c *messageConn) Close() error {
	c.messages.remove(c)
	if s := c.takeShare(); s != nil {
		c.messages.memory.release(s)
	}
	return c.Conn.Close()
}

func (c *messageConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading++; c.share == nil {
		c.share = &share{owner: c, began: time.Now()}
	}
}

func (c *messageConn) finish() {
	if s := c.finishOne(); s != nil {
		c.messages.memory.release(s)
	}
}

// finishOne records the end of a message and returns the share if it was the last one.
func (c *messageConn) finishOne() *share {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading--; c.reading > 0 {
		return nil
	}
	s := c.share
	c.share = nil
	return s
}

// unfinished returns the share of the messages that are being read, or nil if there are none.
func (c *messageConn) unfinished() *share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}

func (c *messageConn) takeShare() *share {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.share
	c.share = nil
	return s
}

func (c *messageConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// evict implements evictable.
func (c *messageConn) evict(r evict.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	ended[Memory].Inc()
	c.messages.onEviction(Refusal{Reason: Memory, Caller: c.RemoteAddr(), Held: r.Held, Age: r.Age})
	_ = c.Conn.Close() // The server learns it by its next read.
}

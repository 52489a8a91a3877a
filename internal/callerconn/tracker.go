// Package callerconn tracks the connections of callers and closes those that are idle.
//
// http.Server reports that a connection is in use only once the header of a request is parsed. Until
// then a sweep by that state, and http.Server.Shutdown, close connections of which a request was
// read already. Here a connection is in use from the first byte of a request, and only the goroutine
// that reads from it ends it, when a read brings no byte: no request that was read is lost.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// freshGrace is how long Drain waits for the first request of a connection.
	freshGrace = 500 * time.Millisecond
	// drainInterval is the interval at which Drain closes idle connections.
	drainInterval = 10 * time.Millisecond
	// acceptLooks is how often the queue of a listener that stops is looked at without finding a
	// connection, each time for lastLook. A host without processor time may miss the first look.
	acceptLooks = 2
)

// Expired reports whether to close a connection that has been idle for the given time. A fresh
// connection has had no request yet; its idle time counts from when it was accepted.
type Expired func(idle time.Duration, fresh bool) bool

// Tracker tracks the connections of an http.Server. It is safe for concurrent use.
type Tracker struct {
	// headerTimeout limits the time to read the header of a request; 0 is no limit.
	headerTimeout time.Duration
	// writeTimeout limits the time of one write; 0 is no limit.
	writeTimeout time.Duration
	limits       Limits
	memory       *requestMemory

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// listeners counts the listeners that may still accept a connection.
	listeners int
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{conns: map[*Conn]struct{}{}, memory: newRequestMemory(0)}
}

// Limit sets the limits of the connections. It must be called before Listen.
func (t *Tracker) Limit(l Limits) { t.limits, t.memory = l, newRequestMemory(l.Memory) }

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// MemoryTaken returns what the requests that are read and served take of Limits.Memory, in bytes.
func (t *Tracker) MemoryTaken() int64 { return t.memory.taken() }

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners++
	return &listener{Listener: l, tracker: t}
}

// listener is a listener whose connections are tracked.
type listener struct {
	net.Listener
	tracker *Tracker
	// stopping is whether the listener closes once its queue is empty, and ended whether it can accept
	// no more connections. Both are protected by the lock of the tracker.
	stopping, ended bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for misses := 0; ; {
		stopping := l.beginAccept()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && !l.tracker.admit():
			l.tracker.turnAway(conn)
			continue
		case err == nil:
			return l.track(conn), nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, l.noteError(err)
		case !stopping:
			continue // The deadline was that of StopAccepting.
		}
		if misses++; misses == acceptLooks {
			_ = l.Close() // It fails only if it is closed already.
			return nil, l.noteError(net.ErrClosed)
		}
	}
}

// beginAccept limits the next Accept if the listener is stopping.
func (l *listener) beginAccept() (stopping bool) {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.stopping {
		setAcceptDeadline(l.Listener, time.Now().Add(lastLook))
	}
	return l.stopping
}

func (l *listener) track(conn net.Conn) *Conn {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	c := newConn(conn, l.tracker)
	l.tracker.conns[c] = struct{}{}
	return c
}

func (l *listener) noteError(err error) error {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if errors.Is(err, net.ErrClosed) && !l.ended {
		l.ended = true
		l.tracker.listeners--
	}
	return err
}

// StopAccepting makes a listener that Listen returned close once no connection waits to be accepted. A
// close at once would reset those that wait, with the requests that were written to them.
func (t *Tracker) StopAccepting(l net.Listener) {
	tracked, ok := l.(*listener)
	if !ok || !tracked.stop() {
		_ = l.Close() // It fails only if it is closed already.
	}
}

// stop interrupts the pending Accept. It returns false if the listener has no deadlines.
func (l *listener) stop() bool {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.stopping = true
	return setAcceptDeadline(l.Listener, interrupt)
}

func setAcceptDeadline(l net.Listener, at time.Time) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(at) == nil
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Configure makes a server report to the tracker. The server must serve a listener that Listen
// returned. Its WriteTimeout counts from the beginning of each write. That of net/http counts from the
// header, and would include the time to serve the request.
func (t *Tracker) Configure(s *http.Server) {
	t.headerTimeout, t.writeTimeout = s.ReadHeaderTimeout, s.WriteTimeout
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.setIdle(time.Now())
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			c.begin()
		}
		next.ServeHTTP(w, r)
	})
}

// CloseIdle closes the idle connections for which expired reports true.
func (t *Tracker) CloseIdle(now time.Time, expired Expired) {
	open, _ := t.all()
	for _, c := range open {
		c.closeIdle(now, Idle, expired)
	}
}

// Drain closes connections as they become idle, until none is open and none can be accepted, or ctx
// is done, and returns how many are open. It then ends the writes that are stalled, whose handlers get
// an error. StopAccepting must be called before.
func (t *Tracker) Drain(ctx context.Context) int {
	for {
		open, accepting := t.all()
		if len(open) == 0 && !accepting {
			return 0
		}
		if ctx.Err() != nil {
			for _, c := range open {
				c.endStalledWrite(time.Now())
			}
			pause.Sleep(context.WithoutCancel(ctx), drainInterval) // The handlers report the errors.
			return len(open)
		}
		for _, c := range open {
			c.closeIdle(time.Now(), Stopping, func(idle time.Duration, fresh bool) bool { return !fresh || idle > freshGrace })
		}
		pause.Sleep(ctx, drainInterval)
	}
}

// all returns the open connections and whether more may be accepted.
func (t *Tracker) all() (conns []*Conn, accepting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns = make([]*Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns, t.listeners > 0
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

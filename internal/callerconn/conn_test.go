package callerconn

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

// headerTimeout is the time to read a header in the tests.
const headerTimeout = 10 * time.Second

// serve runs a test with a server in fake time.
func serve(t *testing.T, handler http.HandlerFunc, run func(t *testing.T, l *callertest.Listener, conns *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		l, conns := callertest.NewListener(), NewTracker()
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Hour}
		conns.Configure(server)
		go func() { _ = server.Serve(conns.Listen(l)) }()
		defer func() { _ = server.Close() }()
		run(t, l, conns)
	})
}

func answerAtOnce(http.ResponseWriter, *http.Request) {}

func always(time.Duration, bool) bool { return true }

// A connection that has been idle for longer than the limit must be closed, and no other.
func TestIdleConnectionsAreClosed(t *testing.T) {
	serve(t, answerAtOnce, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		early, late := l.Dial(), l.Dial()
		assert.NilError(t, early.Exchange(callertest.Get))
		time.Sleep(4 * time.Second)
		assert.NilError(t, late.Exchange(callertest.Get))
		time.Sleep(2 * time.Second)
		conns.CloseIdle(time.Now(), func(idle time.Duration, _ bool) bool { return idle > 5*time.Second })
		_, err := early.Receive()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.NilError(t, late.Exchange(callertest.Get))
	})
}

// A connection of which a part of the next request was read must not be closed as idle, because the
// request would get no answer.
func TestConnectionWithARequestUnderWayIsNotIdle(t *testing.T) {
	serve(t, answerAtOnce, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		c := l.Dial()
		assert.NilError(t, c.Exchange(callertest.Get))
		time.Sleep(4 * time.Second)
		assert.NilError(t, c.Send(callertest.Get[:1]))
		time.Sleep(2 * time.Second)
		conns.CloseIdle(time.Now(), always)
		time.Sleep(2 * lastLook)
		assert.NilError(t, c.Exchange(callertest.Get[1:]))
	})
}

// A request that is found in the socket by the last read before a close must be answered, and the
// connection must stay open.
func TestRequestThatIsFoundByTheLastLookIsAnswered(t *testing.T) {
	serve(t, answerAtOnce, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		c := l.Dial()
		for range 3 {
			assert.NilError(t, c.Exchange(callertest.Get))
			synctest.Wait()
			conns.CloseIdle(time.Now(), always)
			time.Sleep(lastLook / 2)
		}
	})
}

// Of two requests that arrive together the second is served without a further read; its connection
// must not count as idle.
func TestSecondOfTwoRequestsThatArriveTogetherIsAnswered(t *testing.T) {
	served := 0
	serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if served++; served == 2 {
			time.Sleep(time.Second)
			assert.NilError(t, r.Context().Err())
		}
	}, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		c := l.Dial()
		assert.NilError(t, c.Exchange(callertest.Get+callertest.Get))
		time.Sleep(100 * time.Millisecond)
		conns.CloseIdle(time.Now(), always)
		status, err := c.Receive()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	})
}

// A caller that sends the first byte of a request and no more must not keep its connection open.
func TestFirstByteOfARequestStartsTheHeaderTimeout(t *testing.T) {
	serve(t, answerAtOnce, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		c := l.Dial()
		assert.NilError(t, c.Exchange(callertest.Get))
		synctest.Wait()
		assert.NilError(t, c.Send(callertest.Get[:1]))
		began := time.Now()
		_, err := c.Receive()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, time.Since(began), headerTimeout)
	})
}

// Drain must not end while a connection may still be accepted.
func TestDrainWaitsForTheLastAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, conns := callertest.NewListener(), NewTracker()
		tracked := conns.Listen(l)
		open := make(chan int, 1)
		go func() { open <- conns.Drain(t.Context()) }()
		_ = l.Close()
		synctest.Wait()
		assert.Equal(t, len(open), 0)
		_, err := tracked.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
		assert.Equal(t, <-open, 0)
	})
}

// scriptedConn reads what the functions return, one a call, and records the read deadline. Its writes
// fail with writeErr.
type scriptedConn struct {
	net.Conn
	reads    []func() (int, error)
	writeErr error
	deadline time.Time
}

func (s *scriptedConn) Read([]byte) (int, error) {
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read()
}

func (s *scriptedConn) Write(p []byte) (int, error) { return len(p), s.writeErr }

func (s *scriptedConn) SetReadDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func oneByte() (int, error) { return 1, nil }

// A caller may have the response, and send its next request, before the server has noted that the
// response ended; such a connection must not count as idle.
func TestByteThatComesBeforeTheEndOfTheResponseIsNotedIsOfTheNextRequest(t *testing.T) {
	c := newConn(&scriptedConn{reads: []func() (int, error){oneByte}}, NewTracker())
	_, err := c.Write([]byte("response"))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	c.setIdle(time.Now())
	c.closeIdle(time.Now(), Idle, always)
	assert.Equal(t, c.closing, Unknown)
}

// The deadline that net/http sets once a response ended must not postpone a close.
func TestDeadlineDoesNotPostponeAClose(t *testing.T) {
	raw := &scriptedConn{}
	c := newConn(raw, NewTracker())
	c.setIdle(time.Now())
	c.closeIdle(time.Now(), Idle, always)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	assert.Equal(t, raw.deadline, interrupt)
}

// A read that was interrupted for a close must go on if the close is called off meanwhile.
func TestInterruptedReadGoesOnIfTheCloseIsCalledOff(t *testing.T) {
	raw := &scriptedConn{}
	c := newConn(raw, NewTracker())
	raw.reads = []func() (int, error){func() (int, error) {
		c.begin()
		return 0, os.ErrDeadlineExceeded
	}, oneByte}
	c.closeIdle(time.Now(), Idle, always)
	n, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	assert.Assert(t, raw.deadline.IsZero())
}

// A graceful shutdown must accept the connections that wait in the queue of the listener, as on a host
// that had no processor time: a close would reset them with the requests that were written to them.
func TestStoppingListenerAcceptsWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tracker := NewTracker()
	listener := tracker.Listen(l)
	const waiting = 3
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	tracker.StopAccepting(listener)
	for range waiting {
		c, err := listener.Accept()
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, tracker.Drain(t.Context()), 0)
}

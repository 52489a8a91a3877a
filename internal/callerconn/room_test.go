package callerconn

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

// maxConns is the limit of the connections in the tests.
const maxConns = 8

// serveRoom runs a test with a server that keeps maxConns connections.
func serveRoom(t *testing.T, run func(t *testing.T, l *callertest.Listener, conns *Tracker)) {
	t.Helper()
	serveLimited(t, Limits{MaxConns: maxConns}, answerWhole, run)
}

// isClosed reports whether the server has closed a connection.
func isClosed(c *callertest.Caller) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Connections that hold still must not keep ordinary callers out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	serveRoom(t, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		for range 3 * maxConns {
			silent, partial := l.Dial(), l.Dial()
			go func() { _ = partial.Send(callertest.Get[:9]) }() // It may be closed.
			time.Sleep(time.Millisecond)
			assert.NilError(t, l.Dial().Exchange(callertest.Get))
			_ = silent
		}
		assert.Assert(t, conns.Open() <= maxConns+1, "%d connections", conns.Open())
	})
}

// Connections whose requests are served must be kept; a new one is closed if there are no others.
func TestServedConnectionsAreKept(t *testing.T) {
	serveRoom(t, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		var served []*callertest.Caller
		for range maxConns {
			served = append(served, l.Dial())
			assert.NilError(t, served[len(served)-1].Send(post("/slow", 100, 0)))
		}
		time.Sleep(time.Second)
		before := ended[NoRoom].Get()
		assert.Assert(t, isClosed(l.Dial()))
		assert.Equal(t, ended[NoRoom].Get(), before+1)
		for _, c := range served {
			status, err := c.Receive()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
		synctest.Wait() // The server notes that the responses ended.
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
	})
}

// A caller that does not read its answer must make room, as one that does not send.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	serveRoom(t, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		for range maxConns {
			c := l.Dial()
			assert.NilError(t, c.Send(callertest.Get))
		}
		time.Sleep(2 * time.Second)
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
	})
}

// The connection that has been idle for the longest must make room, and be read once more before it is closed.
func TestIdleConnectionMakesRoom(t *testing.T) {
	serveRoom(t, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		var idle []*callertest.Caller
		for range maxConns {
			idle = append(idle, l.Dial())
			assert.NilError(t, idle[len(idle)-1].Exchange(callertest.Get))
			time.Sleep(time.Second)
		}
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
		assert.NilError(t, idle[0].Exchange(callertest.Get), "a request that crosses the close is lost")
		time.Sleep(time.Second)
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
		time.Sleep(2 * lastLook)
		assert.Assert(t, isClosed(idle[1]))
		for _, c := range idle[2:] {
			assert.NilError(t, c.Exchange(callertest.Get))
		}
	})
}

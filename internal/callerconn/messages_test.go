package callerconn

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/evict"
)

// portConn is an in-memory connection of a caller with a port of its own.
type portConn struct {
	net.Conn
	port int
}

func (c portConn) RemoteAddr() net.Addr { return &net.TCPAddr{Port: c.port} }

// messageCaller is a caller that sends one message in parts.
type messageCaller struct {
	net.Conn
	server *messageConn
	// end is called once the message was read whole; closed is closed with the connection.
	end    func()
	closed chan struct{}
}

// newMessageCaller opens a connection on which a message begins to be read.
func newMessageCaller(m *Messages, port int) *messageCaller {
	client, server := net.Pipe()
	c := &messageCaller{Conn: client, server: m.add(portConn{server, port}), closed: make(chan struct{})}
	c.end = m.Reading(m.TagConn(context.Background(), c.server.RemoteAddr()))
	go func() {
		defer close(c.closed)
		for buffer := make([]byte, 32<<10); ; {
			if _, err := c.server.Read(buffer); err != nil {
				_ = c.server.Close()
				return
			}
		}
	}()
	return c
}

func (c *messageCaller) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Unfinished messages must not take more than the limit: the connection that holds the most for the longest is closed, and
// others are read on.
func TestUnfinishedMessagesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		evictions := 0
		m := NewMessages(memoryLimit, func(Refusal) { evictions++ })
		stalled := newMessageCaller(m, 1)
		_, err := stalled.Write(make([]byte, memoryLimit))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		ordinary := newMessageCaller(m, 2)
		_, err = ordinary.Write(make([]byte, bodyLimit))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Assert(t, stalled.isClosed() && !ordinary.isClosed())
		assert.Equal(t, evictions, 1)
		ordinary.end()
		ordinary.end()
		assert.Equal(t, m.memory.taken(), int64(0))
		_ = ordinary.Close()
	})
}

// A connection that carries message after message must not be closed for what it has carried.
func TestFinishedMessagesTakeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMessages(memoryLimit, func(Refusal) { t.Error("a connection was closed") })
		other := newMessageCaller(m, 2) // One that is alone may exceed the limit.
		_, err := other.Write(make([]byte, 2*allowance))
		assert.NilError(t, err)
		c := newMessageCaller(m, 1)
		for range 10 {
			_, err := c.Write(make([]byte, bodyLimit))
			assert.NilError(t, err)
			time.Sleep(2 * evict.Tenure)
			synctest.Wait()
			c.end()
			c.end = m.Reading(m.TagConn(t.Context(), c.server.RemoteAddr()))
		}
		_, _ = c.Close(), other.Close()
		synctest.Wait()
		assert.Equal(t, m.memory.taken(), int64(0))
		assert.Equal(t, len(m.conns), 0)
	})
}

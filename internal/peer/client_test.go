package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
)

// testTimeout bounds a test in case of a failure.
const testTimeout = 10 * time.Second

// relayStub answers State. Calls with a revision wait at the barrier, so that they
// are in flight at the same time, each on a connection of its own.
type relayStub struct {
	relaypb.DRPCRelayUnimplementedServer
	barrier sync.WaitGroup
}

// largeReply is the size of the reply to a relayed request to one server, in bytes. Servers may send more.
const largeReply = 5 << 20

func (s *relayStub) Gather(_ *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	return stream.Send(&relaypb.GatherReply{Results: []*relaypb.CallResult{{Reply: &relaypb.ServerReply{Status: 200, Body: make([]byte, largeReply)}}}})
}

func (s *relayStub) State(_ context.Context, m *relaypb.StateRequest) (*relaypb.StateReply, error) {
	if m.GetRevision() > 0 {
		s.barrier.Done()
		s.barrier.Wait()
	}
	return &relaypb.StateReply{Revision: 7}, nil
}

// faultyListener wraps accepted connections so that they can be silenced.
type faultyListener struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []*faultyConn
}

// faultyConn discards writes once it is silent.
type faultyConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, &faultyConn{Conn: c})
	return l.conns[len(l.conns)-1], nil
}

func (l *faultyListener) Close() error   { return l.listener.Close() }
func (l *faultyListener) Addr() net.Addr { return l.listener.Addr() }

// silence silences all accepted connections and returns their number.
func (l *faultyListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(l.conns)
}

// Forget must discard idle connections that no longer respond, instead of each being
// used and timing out before a new one is dialed.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stub, mux := &relayStub{}, drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, stub))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	l := &faultyListener{listener: listener}
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }()

	client := peer.NewDRPCClient(testTimeout, nil)
	defer func() { _ = client.Close() }()
	address := listener.Addr().String()
	const calls = 5
	stub.barrier.Add(calls)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := client.State(ctx, address, &relaypb.StateRequest{Revision: 1})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, l.silence(), calls)
	client.CloseIdle(address)
	reply, err := client.State(ctx, address, &relaypb.StateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRevision(), uint64(7))
}

// A reply that a server may send must be able to pass a relay: a larger message fails the call, after the
// server has run the request.
func TestLargeReplyPassesARelay(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, &relayStub{}))
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	client := peer.NewDRPCClient(time.Second, nil)
	defer func() { _ = client.Close() }()
	received := 0
	err = client.Gather(ctx, listener.Addr().String(), &relaypb.GatherRequest{}, func(r *relaypb.GatherReply) {
		received += len(r.GetResults()[0].GetReply().GetBody())
	})
	assert.NilError(t, err)
	assert.Equal(t, received, largeReply)
}

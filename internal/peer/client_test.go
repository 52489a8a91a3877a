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

// patience bounds what a test waits for; nothing that works takes so long.
const patience = 10 * time.Second

// relayStub answers State, when all calls of a round are there.
type relayStub struct {
	relaypb.DRPCRelayUnimplementedServer
	round sync.WaitGroup
}

func (s *relayStub) State(_ context.Context, m *relaypb.StateRequest) (*relaypb.StateReply, error) {
	if m.GetRevision() > 0 {
		s.round.Done()
		s.round.Wait()
	}
	return &relaypb.StateReply{Revision: 7}, nil
}

// link passes connections on to a server until they are silenced.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	open     []*silenceable
}

// silenceable loses what is written to it once it is silent.
type silenceable struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *silenceable) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *link) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, &silenceable{Conn: c})
	return l.open[len(l.open)-1], nil
}

func (l *link) Close() error   { return l.listener.Close() }
func (l *link) Addr() net.Addr { return l.listener.Addr() }

// silence silences all open connections and returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(l.open)
}

// Open connections that went silent for good were once tried one by one, each
// after the wait of a suspected peer, although a new connection would have
// worked at once.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stub, mux := &relayStub{}, drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, stub))
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	l := &link{listener: listener}
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }()

	client := peer.NewDRPC(patience, nil)
	defer func() { _ = client.Close() }()
	address := listener.Addr().String()
	const calls = 5
	stub.round.Add(calls)
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			_, err := client.State(ctx, address, &relaypb.StateRequest{Revision: 1})
			assert.Check(t, err)
		})
	}
	done.Wait()
	assert.Equal(t, l.silence(), calls)
	client.Forget(address)
	reply, err := client.State(ctx, address, &relaypb.StateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRevision(), uint64(7))
}

package coordination

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/quota"
)

// relayServer serves Coordinate.
type relayServer struct {
	relaypb.DRPCRelayUnimplementedServer
	coordination *Coordination
}

func (s *relayServer) Coordinate(stream relaypb.DRPCRelay_CoordinateStream) error {
	return s.coordination.Serve(stream)
}

// listen serves a mux and returns its address.
func listen(t *testing.T, mux *drpcmux.Mux) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

// await waits until a condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Over real connections, no end of a stream counts as the end of a process: a host whose connection
// broke, or that left and has started anew, may admit requests as a host of another coordinator.
func TestNoEndOfAStreamCountsAsEndOfAProcess(t *testing.T) {
	ledger := &fakeLedger{hosts: map[string]int{}}
	state := State{Hosts: 1, Limit: func(string) quota.Limit { return testLimit }}
	c := New(Config{State: func() State { return state }, Ledger: ledger, Meter: &fakeMeter{}, Log: zerolog.Nop()})
	c.Start(t.Context())
	mux := drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, &relayServer{coordination: c}))
	address := listen(t, mux)
	client := peer.NewDRPCClient(time.Second, nil)
	awaitHosts := func(n int) { await(t, func() bool { return ledger.connected() == n }) }
	run := func(name string, end func(s peer.CoordinateStream)) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_ = client.Coordinate(ctx, address, func(s peer.CoordinateStream) error {
			assert.NilError(t, s.Send(&relaypb.CoordinateReport{Host: name}))
			awaitHosts(1)
			end(s)
			return nil
		})
		cancel()
		awaitHosts(0)
	}
	run("moves", func(s peer.CoordinateStream) { assert.NilError(t, s.Close()) })
	assert.Equal(t, len(ledger.gone()), 0)
	run("breaks", func(peer.CoordinateStream) {})
	assert.Equal(t, len(ledger.gone()), 0)
	run("leaves", func(s peer.CoordinateStream) {
		assert.NilError(t, s.Send(&relaypb.CoordinateReport{Host: "leaves", Leaving: true}))
		awaitHosts(0)
	})
	assert.Equal(t, len(ledger.gone()), 0)
}

// A host of a version without the method answers with an error that is recognised.
func TestUnknownMethodIsRecognised(t *testing.T) {
	address := listen(t, drpcmux.New())
	err := peer.NewDRPCClient(time.Second, nil).Coordinate(t.Context(), address, func(s peer.CoordinateStream) error {
		assert.NilError(t, s.Send(&relaypb.CoordinateReport{Host: "h"}))
		_, err := s.Recv()
		return err
	})
	assert.Assert(t, peer.Unimplemented(err), "%v", err)
}

// A host gets its answers over a real connection. The coordinator learns that it closes the stream,
// and that it leaves.
func TestSessionOverRealConnection(t *testing.T) {
	ledger := &fakeLedger{hosts: map[string]int{}, left: 1}
	state := State{Hosts: 2, Limit: func(string) quota.Limit { return testLimit }}
	server := New(Config{State: func() State { return State{Hosts: 2, Limit: state.Limit} }, Ledger: ledger, Meter: &fakeMeter{}, Log: zerolog.Nop()})
	server.Start(t.Context())
	mux := drpcmux.New()
	assert.NilError(t, relaypb.DRPCRegisterRelay(mux, &relayServer{coordination: server}))
	state.Candidates = []Host{{Name: "server", Address: listen(t, mux)}}
	var disabled atomic.Bool
	current := func() State {
		s := state
		s.Enabled = !disabled.Load()
		return s
	}
	host := New(Config{
		Host: "host", State: current, Ledger: ledger, Meter: &fakeMeter{}, Log: zerolog.Nop(),
		Peers: peer.NewDRPCClient(time.Second, nil), Suspected: func(string) bool { return false }, Suspect: func(string, time.Time) {},
	})
	host.Start(t.Context())
	await(t, func() bool {
		r := host.Take(t.Context(), "t", testLimit, Caller{})
		return r.Action == quota.Admit && r.Coordinator == "server"
	})
	disabled.Store(true)
	await(t, func() bool { return ledger.connected() == 0 })
	assert.Equal(t, len(ledger.gone()), 0)
	disabled.Store(false)
	await(t, func() bool { return ledger.connected() == 1 })
	host.Leave()
	await(t, func() bool { return ledger.connected() == 0 })
}

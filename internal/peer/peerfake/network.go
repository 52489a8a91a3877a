// Package peerfake simulates the network between entry hosts in memory, with
// partitions, frozen hosts and crashes, for tests.
package peerfake

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/internal/peer"
)

var errLost = errors.New("connection lost")

// Network connects entry hosts. It is safe for concurrent use.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration

	mu      sync.Mutex
	servers map[string]peerpb.DRPCPeerServer
	cuts    map[direction]bool
	frozen  map[string]chan struct{}
}

// direction is one direction of the link between two addresses.
type direction struct {
	from, to string
}

// New returns a network without hosts. delay is the one-way latency.
func New(delay time.Duration) *Network {
	return &Network{
		Delay: delay, servers: map[string]peerpb.DRPCPeerServer{},
		cuts: map[direction]bool{}, frozen: map[string]chan struct{}{},
	}
}

// Serve adds a host to the network.
func (n *Network) Serve(address string, s peerpb.DRPCPeerServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
}

// Remove removes a host from the network. Its replies in flight are lost.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// Cut blocks the direction from one address to another, or restores it if on is
// false.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = on
}

// Freeze holds all messages from and to a host until Thaw.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[address] == nil {
		n.frozen[address] = make(chan struct{})
	}
}

// Thaw ends a freeze. Messages that were held are delivered late.
func (n *Network) Thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.frozen[address]; c != nil {
		close(c)
		delete(n.frozen, address)
	}
}

// WaitUntilThawed blocks as long as a host is frozen.
func (n *Network) WaitUntilThawed(address string) {
	for {
		n.mu.Lock()
		c := n.frozen[address]
		n.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// Alive reports whether a host is on the network.
func (n *Network) Alive(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[address] != nil
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}]
}

func (n *Network) server(address string) peerpb.DRPCPeerServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[address]
}

// Client returns the client of one host.
func (n *Network) Client(from string) peer.Client { return client{network: n, from: from} }

type client struct {
	network *Network
	from    string
}

// result is the reply or error of a call.
type result struct {
	reply proto.Message
	err   error
}

// call delivers a call to a peer. The peer runs it even if ctx ends before.
func (c client) call(ctx context.Context, to string, run func(peerpb.DRPCPeerServer) (proto.Message, error)) (proto.Message, error) {
	n := c.network
	n.WaitUntilThawed(c.from)
	if n.server(to) == nil || n.isCut(c.from, to) {
		time.Sleep(n.Delay)
		return nil, &peer.UnreachableError{Address: to, Err: errors.New("connection refused")}
	}
	results := make(chan result, 1)
	go func() {
		time.Sleep(n.Delay)
		n.WaitUntilThawed(to)
		server := n.server(to)
		if server == nil {
			results <- result{err: errLost}
			return
		}
		reply, err := run(server)
		n.WaitUntilThawed(to)
		time.Sleep(n.Delay)
		if !n.Alive(to) || n.isCut(to, c.from) {
			reply, err = nil, errLost
		}
		results <- result{reply: reply, err: err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-results:
		n.WaitUntilThawed(c.from)
		return r.reply, r.err
	}
}

// Gossip implements peer.Client.
func (c client) Gossip(ctx context.Context, address string, message *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	reply, err := c.call(ctx, address, func(s peerpb.DRPCPeerServer) (proto.Message, error) { return s.Gossip(ctx, message) })
	if err != nil {
		return nil, err
	}
	return reply.(*peerpb.GossipMessage), nil
}

// Forward implements peer.Client.
func (c client) Forward(ctx context.Context, address string, request *peerpb.ForwardRequest) (*callerpb.AskReply, error) {
	request = proto.Clone(request).(*peerpb.ForwardRequest)
	reply, err := c.call(ctx, address, func(s peerpb.DRPCPeerServer) (proto.Message, error) {
		return s.Forward(context.WithoutCancel(ctx), request)
	})
	if err != nil {
		return nil, err
	}
	return proto.Clone(reply).(*callerpb.AskReply), nil
}

// FetchHead implements peer.Client.
func (c client) FetchHead(ctx context.Context, address string) (*peerpb.FetchHeadReply, error) {
	reply, err := c.call(ctx, address, func(s peerpb.DRPCPeerServer) (proto.Message, error) {
		return s.FetchHead(ctx, &peerpb.FetchHeadRequest{})
	})
	if err != nil {
		return nil, err
	}
	return reply.(*peerpb.FetchHeadReply), nil
}

// FetchParts implements peer.Client.
func (c client) FetchParts(ctx context.Context, address string, request *peerpb.FetchPartsRequest) (*peerpb.FetchPartsReply, error) {
	reply, err := c.call(ctx, address, func(s peerpb.DRPCPeerServer) (proto.Message, error) { return s.FetchParts(ctx, request) })
	if err != nil {
		return nil, err
	}
	return reply.(*peerpb.FetchPartsReply), nil
}

// Applied implements peer.Client.
func (c client) Applied(ctx context.Context, address string) (*peerpb.AppliedReply, error) {
	reply, err := c.call(ctx, address, func(s peerpb.DRPCPeerServer) (proto.Message, error) {
		return s.Applied(ctx, &peerpb.AppliedRequest{})
	})
	if err != nil {
		return nil, err
	}
	return reply.(*peerpb.AppliedReply), nil
}

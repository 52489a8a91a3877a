package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/internal/secure"
	"github.com/mallowgap/mallowgap/internal/sockopt"
)

// Client calls other entry hosts by their addresses.
type Client interface {
	Gossip(ctx context.Context, address string, message *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
	// Forward sends a request to a home host of its service. After an error other
	// than an *UnreachableError, the host may have run the request.
	Forward(ctx context.Context, address string, request *peerpb.ForwardRequest) (*callerpb.AskReply, error)
	FetchHead(ctx context.Context, address string) (*peerpb.FetchHeadReply, error)
	FetchParts(ctx context.Context, address string, request *peerpb.FetchPartsRequest) (*peerpb.FetchPartsReply, error)
	Applied(ctx context.Context, address string) (*peerpb.AppliedReply, error)
}

// UnreachableError reports that no connection could be established and nothing was
// sent.
type UnreachableError struct {
	Address string
	Err     error
}

// Error returns the address of the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Unreachable reports whether an error proves that nothing was sent.
func Unreachable(err error) bool {
	var e *UnreachableError
	return errors.As(err, &e)
}

const (
	// userTimeout is how long sent data may remain unacknowledged before the
	// connection is closed: a few round trips between regions.
	userTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer bounds the idle connections kept to one peer.
	maxIdlePerPeer = 32
	// maxIdleTotal bounds the idle connections kept to all peers.
	maxIdleTotal = 512
	// maxMessage bounds a message between hosts, in bytes: the largest response of a server that is
	// accepted, with its header.
	maxMessage = 17 << 20
)

// NewServer returns a server for the calls of peers. It accepts messages as large as those of clients.
func NewServer(handler drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// DRPCClient calls peers over DRPC. It implements Client and is safe for concurrent use.
type DRPCClient struct {
	pool        *drpcpool.Pool[string, drpcpool.Conn]
	dialTimeout time.Duration
	identity    *secure.Identity
}

// NewDRPCClient returns a client without connections. dialTimeout bounds each dial.
// identity is nil if TLS is disabled.
func NewDRPCClient(dialTimeout time.Duration, identity *secure.Identity) *DRPCClient {
	return &DRPCClient{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer, Capacity: maxIdleTotal,
		}),
		dialTimeout: dialTimeout,
		identity:    identity,
	}
}

// Close closes all idle connections.
func (c *DRPCClient) Close() error { return c.pool.Close() }

// CloseIdle closes the idle connections to a peer that stopped responding. All of them
// may be dead without having been reset, while a new connection would work.
func (c *DRPCClient) CloseIdle(address string) {
	for {
		conn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = conn.Close() // Nothing is in flight on an idle connection.
	}
}

// call runs fn with a client on a pooled or new connection.
func (c *DRPCClient) call(ctx context.Context, address string, fn func(client peerpb.DRPCPeerClient) error) error {
	return c.withConn(ctx, address, func(conn drpc.Conn) error { return fn(peerpb.NewDRPCPeerClient(conn)) })
}

// withConn runs fn with a pooled or new connection. It returns an *UnreachableError
// if no connection could be established.
func (c *DRPCClient) withConn(ctx context.Context, address string, fn func(conn drpc.Conn) error) error {
	var dialErr error
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		raw, err := c.dial(ctx, address)
		if err != nil {
			dialErr = err
			return nil, err
		}
		return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
	})
	defer func() { _ = conn.Close() }()
	err := fn(conn)
	if dialErr != nil {
		return &UnreachableError{Address: address, Err: dialErr}
	}
	return err
}

// dial connects to a peer. With TLS, the handshake has completed when it returns.
func (c *DRPCClient) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.dialTimeout, Control: sockopt.UserTimeout(userTimeout)}
	if c.identity == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := tls.Dialer{NetDialer: &dialer, Config: c.identity.ClientConfig()}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

// Gossip implements Client.
func (c *DRPCClient) Gossip(ctx context.Context, address string, message *peerpb.GossipMessage) (reply *peerpb.GossipMessage, err error) {
	err = c.call(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		reply, err = client.Gossip(ctx, message)
		return err
	})
	return reply, err
}

// Forward implements Client.
func (c *DRPCClient) Forward(ctx context.Context, address string, request *peerpb.ForwardRequest) (reply *callerpb.AskReply, err error) {
	err = c.call(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		reply, err = client.Forward(ctx, request)
		return err
	})
	return reply, err
}

// FetchHead implements Client.
func (c *DRPCClient) FetchHead(ctx context.Context, address string) (reply *peerpb.FetchHeadReply, err error) {
	err = c.call(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		reply, err = client.FetchHead(ctx, &peerpb.FetchHeadRequest{})
		return err
	})
	return reply, err
}

// FetchParts implements Client.
func (c *DRPCClient) FetchParts(ctx context.Context, address string, request *peerpb.FetchPartsRequest) (reply *peerpb.FetchPartsReply, err error) {
	err = c.call(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		reply, err = client.FetchParts(ctx, request)
		return err
	})
	return reply, err
}

// Applied implements Client.
func (c *DRPCClient) Applied(ctx context.Context, address string) (reply *peerpb.AppliedReply, err error) {
	err = c.call(ctx, address, func(client peerpb.DRPCPeerClient) (err error) {
		reply, err = client.Applied(ctx, &peerpb.AppliedRequest{})
		return err
	})
	return reply, err
}

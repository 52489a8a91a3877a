package leaf

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/secure"
)

// Client sends requests to backend servers.
type Client interface {
	// Execute sends one attempt of a request. After an error other than a
	// *NotSentError, the server may have run it.
	Execute(ctx context.Context, address string, request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error)
	// Describe returns the state of a server. It connects to the server if needed.
	Describe(ctx context.Context, address string) (*leafpb.DescribeReply, error)
	// CloseConn closes the connection to a server, for example one that was removed
	// from the configuration.
	CloseConn(address string)
}

// NotSentError reports that no part of a request was sent.
type NotSentError struct {
	Address string
	Err     error
}

// Error returns the address of the server and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to leaf %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent reports whether an error proves that the request was not sent.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

const (
	// maxReplyBytes is the largest reply accepted from a leaf.
	maxReplyBytes = 16 << 20
	// reconnectBaseDelay and reconnectMaxDelay bound the backoff between dials, so
	// that a restarted server is not flooded with connections.
	reconnectBaseDelay = 100 * time.Millisecond
	reconnectMaxDelay  = 2 * time.Second
	// dialTimeout is the minimum time allowed for a dial.
	dialTimeout = 2 * time.Second
)

// GRPCClient implements Client over gRPC. It multiplexes the requests to a server on one
// connection. It is safe for concurrent use.
type GRPCClient struct {
	credentials credentials.TransportCredentials
	mu          sync.Mutex
	conns       map[string]*grpc.ClientConn
}

// NewGRPCClient returns a client without connections. It uses the credentials for each
// connection.
func NewGRPCClient(c credentials.TransportCredentials) *GRPCClient {
	return &GRPCClient{credentials: c, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (c *GRPCClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// CloseConn implements Client.
func (c *GRPCClient) CloseConn(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *GRPCClient) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := secure.Dial(address, c.credentials,
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sentRecorder{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 2, Jitter: 0.3, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// Execute implements Client.
func (c *GRPCClient) Execute(ctx context.Context, address string, request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	sent := &atomic.Bool{}
	reply, err := leafpb.NewLeafClient(conn).Execute(context.WithValue(ctx, sentKey{}, sent), request)
	if err != nil && !sent.Load() {
		return nil, &NotSentError{Address: address, Err: err}
	}
	return reply, err
}

// Describe implements Client.
func (c *GRPCClient) Describe(ctx context.Context, address string) (*leafpb.DescribeReply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	return leafpb.NewLeafClient(conn).Describe(ctx, &leafpb.DescribeRequest{}, grpc.WaitForReady(true))
}

type sentKey struct{}

// sentRecorder records that the header of a request was passed to the transport.
// Before that, nothing can have reached the server.
type sentRecorder struct{}

// TagRPC implements stats.Handler.
func (sentRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentRecorder) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentRecorder) HandleConn(context.Context, stats.ConnStats) {}

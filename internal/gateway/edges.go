package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is unique to the attempt.
	ID     string
	Method string
	// Host is the host name that selects the route.
	Host string
	// Path is the path that selects the route.
	Path string
	// Target is the path and query as the caller sent them.
	Target string
	// Header holds the end-to-end headers.
	Header http.Header
	// HeaderBytes is the size of the header as the caller sent it.
	HeaderBytes int
	Body        []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is for how long the caller waits; 0 is unknown.
	Timeout time.Duration
}

// Reply is what a server sent.
type Reply struct {
	Status int
	// Header holds all headers as they came.
	Header http.Header
	Body   []byte
	// Signature proves that the server ran the request.
	Signature string
	// Load is what the server tells of itself.
	Load Load
}

// Load is what a server tells of its load with an answer.
type Load struct {
	// Known tells that the server told it.
	Known bool
	// Running and Waiting are the numbers of requests that run and wait.
	Running, Waiting int
}

// OK reports whether the server served the request.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }

// NotRunError says that a server did not run a request.
type NotRunError struct {
	// Arrived tells that the server refused it; otherwise it was not sent.
	Arrived bool
	// Moved tells that the address now belongs to another server.
	Moved  bool
	Reason string
	// Load is what the server told of itself when it refused.
	Load Load
	Err  error
}

// Error gives the reason.
func (e *NotRunError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("not run: %s: %v", e.Reason, e.Err)
	}
	return "not run: " + e.Reason
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// Leafs calls backend servers.
type Leafs interface {
	// Call sends a request to a server. The error is a *NotRunError where the
	// server cannot have run the request; after any other it may have. fresh
	// asks for a connection that was not idle for long.
	Call(ctx context.Context, server discovery.Server, request *Request, timeout time.Duration, fresh bool) (*Reply, error)
	// Forget closes the idle connections to a server that is gone.
	Forget(server discovery.Server)
}

// Peers calls other gateways.
type Peers interface {
	Gather(ctx context.Context, address string, request *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error
	State(ctx context.Context, address string, request *relaypb.StateRequest) (*relaypb.StateReply, error)
	Follow(ctx context.Context, address string, request *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error
	// Forget closes the idle connections to a gateway.
	Forget(address string)
}

// Entry is one value of the platform's store that matters to a gateway.
type Entry struct {
	Kind relaypb.EntryKind
	// Name is that of the server or host; empty for the configuration.
	Name  string
	Value []byte
	// Revision is the store's revision of the value's last change.
	Revision uint64
	// Removed tells that the value is gone.
	Removed bool
}

// Reading is a consistent reading of the store, or the changes since one.
type Reading struct {
	// Revision is that of the store; later changes come after it.
	Revision uint64
	Entries  []Entry
}

// ErrCompacted is returned by Watch where the changes asked for are no longer
// kept: everything must be read again.
var ErrCompacted = errors.New("the store no longer has these changes: read everything again")

// ErrLeaseEnded is returned by Renew for a lease that is gone.
var ErrLeaseEnded = errors.New("the lease has ended: announce again")

// Store is the platform's store. Each call ends in bounded time, Watch with the
// context.
type Store interface {
	// Read returns all entries.
	Read(ctx context.Context) (Reading, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// Announce writes this host's entry under a new lease and returns it.
	Announce(ctx context.Context, name string, value []byte, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease.
	Renew(ctx context.Context, lease uint64) error
	// Withdraw ends a lease, which removes the entry.
	Withdraw(ctx context.Context, lease uint64) error
	// DecodeConfig decodes the value of a configuration entry.
	DecodeConfig(value []byte) (route.Config, error)
	// DecodeServer decodes the value of a server entry.
	DecodeServer(id string, value []byte) (discovery.Server, error)
}

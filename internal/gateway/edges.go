package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
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
	// Slowness is how many times longer than usual work takes on the server's machine at
	// this moment; 0 is unknown.
	Slowness float64
	// Unreadable is what the server told where that cannot be read.
	Unreadable string
}

// OK reports whether the server served the request.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }

// NotRunError says that a server did not run a request.
type NotRunError struct {
	// Arrived tells that the server refused it; otherwise it was not sent.
	Arrived bool
	// Moved tells that the address now belongs to another server.
	Moved bool
	// Absent tells of a request that was not sent that nothing listens at the address.
	Absent bool
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
	// Ended reports whether nothing listens at a server's address any more. Where that
	// cannot be found out within the time of a message there and back, it has not.
	Ended(ctx context.Context, server discovery.Server) bool
	// Forget closes the idle connections to a server that is gone.
	Forget(server discovery.Server)
}

// Peers calls other gateways.
type Peers interface {
	control.Peers
	Gather(ctx context.Context, address string, request *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error
}

package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/peer"
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
	// Target is the path and query as sent by the caller.
	Target string
	// Header holds the end-to-end headers.
	Header http.Header
	// Authorization holds the values of the Authorization header, also where the caller declared
	// it to concern only its connection. It is cleared once the team is known.
	Authorization []string
	// Team is the name of the team whose key the request carried; empty if there is none.
	Team string
	// HeaderBytes is the size of the header as sent by the caller.
	HeaderBytes int
	Body        []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is how long the caller waits; 0 is unknown.
	Timeout time.Duration
}

// Reply is the reply of a backend server.
type Reply struct {
	Status int
	// Header holds all headers as received.
	Header http.Header
	Body   []byte
	// Signature proves that the server ran the request.
	Signature string
	// Load is the load that the server reported.
	Load Load
}

// Load is the load that a server reports with a reply.
type Load struct {
	// Known reports whether the server reported its load.
	Known bool
	// Running and Waiting are the numbers of running and queued requests.
	Running, Waiting int
	// Slowness is the current slowdown of the server's machine, as a factor of the usual duration
	// of work; 0 is unknown.
	Slowness float64
	// Unreadable is the report of the server if it could not be parsed.
	Unreadable string
}

// OK reports whether the server served the request.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }

// NotRunError reports that a server did not run a request.
type NotRunError struct {
	// Refused reports that the server refused the request; otherwise it was not sent.
	Refused bool
	// Moved reports that the address now belongs to another server.
	Moved bool
	// Absent reports that the request was not sent because nothing listens at the address.
	Absent bool
	Reason string
	// Load is the load that the server reported with its refusal.
	Load Load
	Err  error
}

// Error implements error.
func (e *NotRunError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("not run: %s: %v", e.Reason, e.Err)
	}
	return "not run: " + e.Reason
}

// Unwrap returns the cause, if any.
func (e *NotRunError) Unwrap() error { return e.Err }

// InvalidReplyError reports that a server sent bytes that are no answer to the request. The server may
// have run the request.
type InvalidReplyError struct {
	// Reason is a short name of what is wrong, for metrics and logs.
	Reason string
	Err    error
}

// Error implements error.
func (e *InvalidReplyError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidReplyError) Unwrap() error { return e.Err }

// BackendClient calls backend servers.
type BackendClient interface {
	// Call sends a request to a server. The error is a *NotRunError if the server cannot have run
	// the request, and an *InvalidReplyError if it sent something that is no answer to it; after any
	// error but the first, it may have run the request. fresh asks for a connection that has not been
	// idle for long.
	Call(ctx context.Context, server discovery.Server, request *Request, timeout time.Duration, fresh bool) (*Reply, error)
	// HasExited reports whether nothing listens at a server's address any more. It returns false if
	// that cannot be determined within about a round trip.
	HasExited(ctx context.Context, server discovery.Server) bool
	// CloseIdle closes the idle connections to a server that is gone.
	CloseIdle(server discovery.Server)
}

// PeerClient calls other gateways.
type PeerClient interface {
	control.PeerClient
	Gather(ctx context.Context, address string, request *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error
	Coordinate(ctx context.Context, address string, run func(peer.CoordinateStream) error) error
}

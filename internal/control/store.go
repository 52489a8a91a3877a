package control

import (
	"context"
	"errors"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

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

// ErrLeaseEnded is returned by Renew and Write for a lease that is gone.
var ErrLeaseEnded = errors.New("the lease has ended: announce again")

// Decoder decodes what the store's entries hold.
type Decoder interface {
	// DecodeConfig decodes the value of a configuration entry.
	DecodeConfig(value []byte) (route.Config, error)
	// DecodeServer decodes the value of a server entry.
	DecodeServer(id string, value []byte) (discovery.Server, error)
}

// Store is the platform's store. Each call ends in bounded time, Watch with the
// context.
type Store interface {
	Decoder
	// Read returns all entries.
	Read(ctx context.Context) (Reading, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// Lease returns a new lease. Entries written under it go when it ends.
	Lease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease, or returns ErrLeaseEnded.
	Renew(ctx context.Context, lease uint64) error
	// Write writes entries of one of the kinds that hosts write by their names under a
	// lease (0: none) and removes others, all or nothing, 32 together at the most. It returns
	// the revision. To do so twice changes nothing, so that a call whose reply was lost can be
	// made again.
	Write(ctx context.Context, kind relaypb.EntryKind, lease uint64, puts map[string][]byte, remove []string) (revision uint64, err error)
	// Reconnect gives up the connections that are idle: they may be silent for good.
	Reconnect()
	// Create writes an empty entry without a lease, and reports whether there was none of
	// that name. After an error it may or may not have.
	Create(ctx context.Context, kind relaypb.EntryKind, name string) (created bool, err error)
}

// Peers calls other gateways.
type Peers interface {
	State(ctx context.Context, address string, request *relaypb.StateRequest) (*relaypb.StateReply, error)
	Follow(ctx context.Context, address string, request *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error
	Tell(ctx context.Context, address string, request *relaypb.TellRequest) error
	// Forget closes the idle connections to a gateway.
	Forget(address string)
}

// Listener is told what changes for the way of a request. It is called on the
// goroutine that owns the state and must not block.
type Listener interface {
	// ServersChanged gives the servers in service and this host's share of each.
	ServersChanged(servers []discovery.Server, shares func(discovery.Server) Share, now time.Time)
	// ServerGone tells that a server came not back after an outage of the store.
	ServerGone(server discovery.Server)
	// TableChanged gives a table of routes that comes into force.
	TableChanged(table *route.Table)
	// QuarantineChanged gives an entry about a request under which servers ended.
	QuarantineChanged(e Entry, now time.Time)
	// Slept tells that the machine was suspended for a time, which the steady clock did not
	// count.
	Slept(d time.Duration)
}

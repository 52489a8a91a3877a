package control

import (
	"context"
	"errors"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// Entry is a value of the platform's store that gateways use.
type Entry struct {
	Kind relaypb.EntryKind
	// Name is the key within the kind, such as the server or host; empty for the
	// configuration.
	Name  string
	Value []byte
	// Revision is the store revision of the last change.
	Revision uint64
	// Removed is set if the entry has been deleted.
	Removed bool
}

// Batch is a consistent snapshot of the store, or the changes since a revision.
type Batch struct {
	// Revision is the store's revision; later changes have higher ones.
	Revision uint64
	Entries  []Entry
	// Source is the name or address of the host that sent the batch, or empty for the store itself.
	Source string
}

// source describes where a batch came from, for the log.
func (b Batch) source() string {
	if b.Source == "" {
		return "store"
	}
	return b.Source
}

// ErrCompacted is returned by Watch if the requested changes are no longer available and the
// store must be read from scratch.
var ErrCompacted = errors.New("store history compacted: a complete read is required")

// ErrLeaseExpired is returned by Renew and Write if the lease does not exist anymore.
var ErrLeaseExpired = errors.New("lease expired: a new lease is required")

// Decoder decodes the values of store entries.
type Decoder interface {
	// DecodeConfig decodes the value of a configuration entry.
	DecodeConfig(value []byte) (route.Config, error)
	// DecodeServer decodes the value of a server entry.
	DecodeServer(id string, value []byte) (discovery.Server, error)
}

// Store is the platform's store. Each call returns in bounded time, except that Watch may last
// as long as its context.
type Store interface {
	Decoder
	// Read returns all entries.
	Read(ctx context.Context) (Batch, error)
	// Watch waits at most wait for changes after a revision.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	// Lease creates a lease. Entries written under it are deleted when it expires.
	Lease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease uint64) error
	// Write atomically writes and removes entries of a kind that hosts may write, at most
	// MaxWrites together, and returns the new revision. The written entries are bound to lease
	// unless it is 0. Write is idempotent, so that a call whose reply was lost can be
	// repeated.
	Write(ctx context.Context, kind relaypb.EntryKind, lease uint64, puts map[string][]byte, remove []string) (revision uint64, err error)
	// Reconnect closes idle connections, which may be dead.
	Reconnect()
	// Create writes an empty entry without a lease, and reports whether it did not exist
	// before. After an error, the entry may or may not have been created.
	Create(ctx context.Context, kind relaypb.EntryKind, name string) (created bool, err error)
}

// PeerClient sends calls to other gateways.
type PeerClient interface {
	State(ctx context.Context, address string, request *relaypb.StateRequest) (*relaypb.StateReply, error)
	Follow(ctx context.Context, address string, request *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error
	Tell(ctx context.Context, address string, request *relaypb.TellRequest) error
	// CloseIdle closes the idle connections to a gateway.
	CloseIdle(address string)
}

// Listener receives the changes that request handling needs to know. Its methods are called
// on the goroutine that owns the state and must not block.
type Listener interface {
	// ServersChanged passes the servers in service and a function that returns this host's
	// share of each.
	ServersChanged(servers []discovery.Server, shares func(discovery.Server) Share, now time.Time)
	// ServerExpired reports a server that was not registered again after an outage of the store.
	ServerExpired(server discovery.Server)
	// TableChanged passes a routing table that takes effect.
	TableChanged(table *route.Table)
	// QuarantineChanged passes an entry about a request that crashes servers.
	QuarantineChanged(e Entry, now time.Time)
	// Resumed reports that the machine was suspended for d, which the monotonic clock did not
	// count.
	Resumed(d time.Duration)
}

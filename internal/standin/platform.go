package standin

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/platformpb"
)

// Platform simulates a key-value service with compare-and-swap, leases and
// watches, and a host list with a lag. It is safe for concurrent use.
type Platform struct {
	platformpb.UnimplementedKeyValueServer
	platformpb.UnimplementedHostListServer
	platformpb.UnimplementedControlServer

	mu     sync.Mutex
	values map[string]storedValue
	// leases holds the expiry of each lease.
	leases map[uint64]time.Time
	// changed is closed, and replaced, on every change of a value or the faults.
	changed chan struct{}
	// hosts holds the announcements of each host, the newest last.
	hosts     map[string][]announcement
	faults    *platformpb.PlatformFaults
	counters  *platformpb.CountersReply
	lastLease uint64
}

// storedValue is the value of a key. A deleted one keeps its version.
type storedValue struct {
	version uint64
	value   []byte
	lease   uint64
}

// announcement is a state of a host and the time at which it was announced.
type announcement struct {
	host *platformpb.Host
	at   time.Time
}

var (
	errOutage    = status.Error(codes.Unavailable, "platform outage")
	errReplyLost = status.Error(codes.Unavailable, "reply lost")
)

// NewPlatform returns an empty platform with the given faults.
func NewPlatform(faults *platformpb.PlatformFaults) *Platform {
	return &Platform{
		values:   map[string]storedValue{},
		leases:   map[uint64]time.Time{},
		changed:  make(chan struct{}),
		hosts:    map[string][]announcement{},
		faults:   faults,
		counters: &platformpb.CountersReply{},
	}
}

// beginCall counts a call and applies the outage and delay faults.
func (p *Platform) beginCall(ctx context.Context, counter *uint64) error {
	p.mu.Lock()
	*counter++
	outage, delay := p.faults.GetOutage(), time.Duration(p.faults.GetDelayMs())*time.Millisecond
	p.mu.Unlock()
	if outage {
		return errOutage
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-time.After(delay):
		return nil
	}
}

// current returns the value of a key. A value whose lease has expired is deleted,
// which increments the version of the key. p.mu is held.
func (p *Platform) current(key string) storedValue {
	e := p.values[key]
	if e.lease != 0 && time.Now().After(p.leases[e.lease]) {
		e.value = nil
		e.lease = 0
		e.version++
		p.values[key] = e
	}
	return e
}

// Get returns the value of a key.
func (p *Platform) Get(ctx context.Context, request *platformpb.GetRequest) (*platformpb.GetReply, error) {
	if err := p.beginCall(ctx, &p.counters.Reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current(request.GetKey())
	return &platformpb.GetReply{Version: e.version, Value: e.value}, nil
}

// CompareAndSwap writes a value if the key has the expected version.
func (p *Platform) CompareAndSwap(ctx context.Context, request *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapReply, error) {
	if err := p.beginCall(ctx, &p.counters.Writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current(request.GetKey())
	swapped := e.version == request.GetExpectVersion()
	if swapped {
		e = storedValue{version: e.version + 1, value: request.GetValue(), lease: request.GetLease()}
		p.values[request.GetKey()] = e
		close(p.changed)
		p.changed = make(chan struct{})
	}
	if p.faults.GetLoseReplies() > 0 {
		p.faults.LoseReplies--
		return nil, errReplyLost
	}
	return &platformpb.CompareAndSwapReply{Swapped: swapped, Version: e.version}, nil
}

// Watch waits until the version of a key is above the given one.
func (p *Platform) Watch(ctx context.Context, request *platformpb.WatchRequest) (*platformpb.GetReply, error) {
	if err := p.beginCall(ctx, &p.counters.Watches); err != nil {
		return nil, err
	}
	for {
		p.mu.Lock()
		e, changed, outage := p.current(request.GetKey()), p.changed, p.faults.GetOutage()
		p.mu.Unlock()
		if outage {
			return nil, errOutage
		}
		if e.version > request.GetAfterVersion() {
			return &platformpb.GetReply{Version: e.version, Value: e.value}, nil
		}
		select {
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		case <-changed:
		}
	}
}

// GrantLease grants or renews a lease.
func (p *Platform) GrantLease(ctx context.Context, request *platformpb.GrantLeaseRequest) (*platformpb.GrantLeaseReply, error) {
	if err := p.beginCall(ctx, &p.counters.Writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := request.GetLease()
	if expiry, ok := p.leases[id]; id != 0 && (!ok || time.Now().After(expiry)) {
		return nil, status.Error(codes.NotFound, "the lease has expired: grant a new one")
	}
	if id == 0 {
		p.lastLease++
		id = p.lastLease
	}
	p.leases[id] = time.Now().Add(time.Duration(request.GetTtlMs()) * time.Millisecond)
	return &platformpb.GrantLeaseReply{Lease: id}, nil
}

// List returns the hosts as announced before the lag.
func (p *Platform) List(ctx context.Context, _ *platformpb.ListRequest) (*platformpb.ListReply, error) {
	if err := p.beginCall(ctx, &p.counters.Reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(p.faults.GetHostListLagMs()) * time.Millisecond)
	reply := &platformpb.ListReply{}
	for _, history := range p.hosts {
		for i := len(history) - 1; i >= 0; i-- {
			if history[i].at.Before(cutoff) {
				reply.Hosts = append(reply.Hosts, history[i].host)
				break
			}
		}
	}
	return reply, nil
}

// Announce adds or updates a host.
func (p *Platform) Announce(ctx context.Context, request *platformpb.AnnounceRequest) (*platformpb.AnnounceReply, error) {
	if err := p.beginCall(ctx, &p.counters.Writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := proto.Clone(request.GetHost()).(*platformpb.Host)
	p.hosts[h.GetName()] = append(p.hosts[h.GetName()], announcement{host: h, at: time.Now()})
	return &platformpb.AnnounceReply{}, nil
}

// SetPlatformFaults replaces the faults.
func (p *Platform) SetPlatformFaults(_ context.Context, f *platformpb.PlatformFaults) (*platformpb.ControlReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = proto.Clone(f).(*platformpb.PlatformFaults)
	close(p.changed)
	p.changed = make(chan struct{})
	return &platformpb.ControlReply{}, nil
}

// Counters returns the counts of calls so far.
func (p *Platform) Counters(context.Context, *platformpb.CountersRequest) (*platformpb.CountersReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return proto.Clone(p.counters).(*platformpb.CountersReply), nil
}

// Package platformfake implements the platform's services in memory, with fault
// injection, for tests.
package platformfake

import (
	"context"
	"errors"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/config"
)

// ErrOutage is returned by every call during an outage.
var ErrOutage = errors.New("platform outage")

// ErrLost is returned for a write whose reply was lost.
var ErrLost = errors.New("reply lost")

// Platform is a key-value service and a host list. It is safe for concurrent use.
type Platform struct {
	mu     sync.Mutex
	values map[string]config.Value
	hosts  map[string]*platformpb.Host
	// changed is closed and replaced by each write.
	changed chan struct{}
	outage  bool
	// delayedWrites are writes that were sent but have not yet taken effect.
	delayedWrites []delayedWrite
	// delayWrites and loseReplies are how many of the next writes of faultyKey are
	// delayed or lose their replies.
	delayWrites int
	loseReplies int
	faultyKey   string
	// staleReads is how many of the next reads and watches return the previous value.
	staleReads int
	previous   map[string]config.Value
	calls      int
	reads      map[string]int
}

type delayedWrite struct {
	key    string
	expect uint64
	data   []byte
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{values: map[string]config.Value{}, previous: map[string]config.Value{}, reads: map[string]int{}, hosts: map[string]*platformpb.Host{}, changed: make(chan struct{})}
}

// SetOutage starts or ends an outage.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
}

// LoseReplies makes the next n writes of a key take effect but return ErrLost.
func (p *Platform) LoseReplies(key string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultyKey, p.loseReplies = key, n
}

// StaleReads makes the next n reads and watches return the value before the last
// write of the key.
func (p *Platform) StaleReads(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleReads = n
}

// DelayWrites makes the next n writes of a key return ErrLost and take effect only
// when Deliver is called.
func (p *Platform) DelayWrites(key string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultyKey, p.delayWrites = key, n
}

// Deliver executes the delayed writes.
func (p *Platform) Deliver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.delayedWrites {
		p.swap(w.key, w.expect, w.data)
	}
	p.delayedWrites = nil
}

// Calls returns the number of calls of both services so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Reads returns the number of Get calls for keys with the given prefix.
func (p *Platform) Reads(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for key, reads := range p.reads {
		if strings.HasPrefix(key, prefix) {
			n += reads
		}
	}
	return n
}

// Get implements platform.Store.
func (p *Platform) Get(_ context.Context, key string) (config.Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.reads[key]++
	if p.outage {
		return config.Value{}, ErrOutage
	}
	if p.staleReads > 0 {
		p.staleReads--
		return p.previous[key], nil
	}
	return p.values[key], nil
}

// CompareAndSwap implements platform.Store.
func (p *Platform) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.outage {
		return false, ErrOutage
	}
	if p.delayWrites > 0 && key == p.faultyKey {
		p.delayWrites--
		p.delayedWrites = append(p.delayedWrites, delayedWrite{key: key, expect: expect, data: data})
		return false, ErrLost
	}
	swapped := p.swap(key, expect, data)
	if p.loseReplies > 0 && key == p.faultyKey {
		p.loseReplies--
		return false, ErrLost
	}
	return swapped, nil
}

func (p *Platform) swap(key string, expect uint64, data []byte) bool {
	old := p.values[key]
	if old.Version != expect {
		return false
	}
	p.previous[key] = old
	p.values[key] = config.Value{Version: expect + 1, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
	return true
}

// Watch implements platform.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (config.Value, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		value, changed, outage := p.values[key], p.changed, p.outage
		stale := p.staleReads > 0 && p.previous[key].Version > 0
		if stale {
			p.staleReads--
			value = p.previous[key]
		}
		p.mu.Unlock()
		if outage {
			return config.Value{}, ErrOutage
		}
		if stale {
			return value, nil
		}
		if value.Version > after {
			return value, nil
		}
		select {
		case <-ctx.Done():
			return config.Value{}, ctx.Err()
		case <-changed:
		}
	}
}

// Hosts implements platform.HostList.
func (p *Platform) Hosts(context.Context) ([]*platformpb.Host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.outage {
		return nil, ErrOutage
	}
	var hosts []*platformpb.Host
	for _, h := range p.hosts {
		hosts = append(hosts, proto.Clone(h).(*platformpb.Host))
	}
	return hosts, nil
}

// Announce implements platform.HostList.
func (p *Platform) Announce(_ context.Context, host *platformpb.Host) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.outage {
		return ErrOutage
	}
	p.hosts[host.GetName()] = proto.Clone(host).(*platformpb.Host)
	return nil
}

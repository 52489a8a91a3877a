package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/route"
	"google.golang.org/protobuf/types/known/durationpb"
)

// cluster is a set of hosts that share one store, in fake time.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *fakestore.Store
	mu    sync.Mutex
	hosts map[string]*testHost
}

// testHost is one host of the cluster.
type testHost struct {
	*control.Control
	store *fakestore.Partitioned
	// silent makes calls by other hosts wait until they time out.
	silent atomic.Bool
	// servers are those that the host sends requests to.
	servers *serverSet
	ctx     context.Context
	cancel  context.CancelFunc
}

// serverSet records the servers in service of one host.
type serverSet struct {
	noopListener
	mu    sync.Mutex
	inUse map[string]bool
}

// ServersChanged implements control.Listener.
func (s *serverSet) ServersChanged(servers []discovery.Server, _ func(discovery.Server) control.Share, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse = map[string]bool{}
	for _, server := range servers {
		s.inUse[server.ID] = !server.Draining
	}
}

// uses reports whether the host sends requests to a server.
func (s *serverSet) uses(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse[id]
}

// noopListener ignores all changes.
type noopListener struct{}

func (noopListener) ServersChanged([]discovery.Server, func(discovery.Server) control.Share, time.Time) {
}
func (noopListener) ServerExpired(discovery.Server)             {}
func (noopListener) TableChanged(*route.Table)                  {}
func (noopListener) QuarantineChanged(control.Entry, time.Time) {}
func (noopListener) Resumed(time.Duration)                      {}

// lease is the TTL of the leases of host entries.
const lease = 12 * time.Second

// withCluster runs a test with n hosts in each of three regions of two failure domains. The
// first three hosts of each region are stronger than the others.
func withCluster(t *testing.T, n int, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, store: fakestore.New(), hosts: map[string]*testHost{}}
		c.store.PutConfig(testConfig(1))
		for _, region := range regions {
			for i := range n {
				c.start(hostName(region, i))
			}
		}
		time.Sleep(3 * time.Second)
		run(c)
		cancel()
		synctest.Wait()
	})
}

var regions = []string{"a", "b", "c"}

func hostName(region string, i int) string { return fmt.Sprintf("%s%03d", region, i) }

func testConfig(version uint64) route.Config {
	return route.Config{Version: version, Services: []route.Service{{Name: "s", MaxConns: 60}}, Routes: []route.Route{
		{Name: "one", Host: "h", Prefix: "/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}},
	}}
}

// start starts a host. Its name is also its address.
func (c *cluster) start(name string) *testHost {
	region := name[:1]
	var i int
	_, _ = fmt.Sscanf(name[1:], "%d", &i)
	strength := 0.2
	if i < 3 {
		strength = 0.8
	}
	self := &relaypb.Host{Name: name, Address: name, Domain: fmt.Sprint(region, i%2+1), Region: region, Strength: strength, Packs: true}
	settings := &settingspb.GatewayStoreSection{
		CallTimeout: durationpb.New(fakestore.Timeout), WatchWait: durationpb.New(800 * time.Millisecond),
		WatchSlack: durationpb.New(400 * time.Millisecond), Lease: durationpb.New(lease), ServerHeartbeat: durationpb.New(1200 * time.Millisecond),
	}
	m := &testHost{store: &fakestore.Partitioned{Store: c.store}, servers: &serverSet{}}
	m.Control = control.New(control.Config{
		Suspended: func() time.Duration { return 0 },
		Self:      self, Settings: settings, Seeds: []string{hostName("a", 0), hostName("b", 0), hostName("c", 0)}, RelaysPerDomain: 3,
		Store: m.store, Peers: &peers{c, name}, Listener: m.servers, Log: zerolog.Nop(),
	})
	m.ctx, m.cancel = context.WithCancel(c.ctx)
	c.mu.Lock()
	c.hosts[name] = m
	c.mu.Unlock()
	m.Start(m.ctx)
	return m
}

// kill stops a host abruptly.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	m := c.hosts[name]
	delete(c.hosts, name)
	c.mu.Unlock()
	m.cancel()
}

// knownHosts returns the number of hosts that the host at knows by their entries.
func (c *cluster) knownHosts(at string) int {
	n := 0
	for _, group := range c.hosts[at].View().Hosts {
		n += len(group)
	}
	return n
}

// await waits until a condition holds and returns the elapsed time, or fails the test after
// timeout.
func (c *cluster) await(timeout time.Duration, what string, holds func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > timeout {
			c.t.Fatalf("%s: condition not met within %v", what, timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// peers connects one host to the others.
type peers struct {
	cluster *cluster
	name    string
}

var errUnreachable = errors.New("unreachable")

// lookup returns the running host with an address.
func (p *peers) lookup(address string) (*testHost, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if m := p.cluster.hosts[address]; m != nil && m.ctx.Err() == nil {
		return m, nil
	}
	return nil, errUnreachable
}

func (p *peers) CloseIdle(string) {}

func (p *peers) State(ctx context.Context, address string, r *relaypb.StateRequest) (*relaypb.StateReply, error) {
	m, err := p.lookup(address)
	if err != nil {
		return nil, err
	}
	if m.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m.State(ctx, r)
}

func (p *peers) Tell(ctx context.Context, address string, r *relaypb.TellRequest) error {
	m, err := p.lookup(address)
	if err == nil {
		m.Tell(ctx, r)
	}
	return err
}

func (p *peers) Follow(ctx context.Context, address string, r *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error {
	m, err := p.lookup(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel) // The stream ends when the host stops.
	defer stop()
	return m.Follow(r, &stream{ctx: ctx, received: received})
}

// stream is a server stream that passes sent messages directly to the receiver.
type stream struct {
	drpc.Stream
	ctx      context.Context
	received func(*relaypb.FollowReply)
}

func (s *stream) Context() context.Context { return s.ctx }

func (s *stream) Send(r *relaypb.FollowReply) error {
	s.received(r)
	return s.ctx.Err()
}

package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
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

// world is a fleet of control sides on one store, in fake time.
type world struct {
	t     *testing.T
	ctx   context.Context
	store *fakestore.Store
	mu    sync.Mutex
	hosts map[string]*member
}

// member is one host of the fleet.
type member struct {
	*control.Control
	store  *fakestore.Parted
	ctx    context.Context
	cancel context.CancelFunc
}

// nothing takes what changes and does nothing.
type nothing struct{}

func (nothing) ServersChanged([]discovery.Server, func(discovery.Server) control.Share, time.Time) {}
func (nothing) ServerGone(discovery.Server)                                                        {}
func (nothing) TableChanged(*route.Table)                                                          {}
func (nothing) QuarantineChanged(control.Entry, time.Time)                                         {}
func (nothing) Slept(time.Duration)                                                                {}

const lease = 12 * time.Second

// inWorld runs a test with n hosts in each of three regions of two domains each. The
// first three of each region are as strong as four others.
func inWorld(t *testing.T, n int, run func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx, store: fakestore.New(), hosts: map[string]*member{}}
		w.store.PutConfig(configOf(1))
		for _, region := range regions {
			for i := range n {
				w.start(nameOf(region, i))
			}
		}
		time.Sleep(3 * time.Second)
		run(w)
		cancel()
		synctest.Wait()
	})
}

var regions = []string{"a", "b", "c"}

func nameOf(region string, i int) string { return fmt.Sprintf("%s%03d", region, i) }

func configOf(version uint64) route.Config {
	return route.Config{Version: version, Services: []route.Service{{Name: "s", MaxConns: 60}}, Routes: []route.Route{
		{Name: "one", Host: "h", Prefix: "/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}},
	}}
}

// start starts the process of a host. Its name is its address.
func (w *world) start(name string) *member {
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
		WatchSlack: durationpb.New(400 * time.Millisecond), Lease: durationpb.New(lease),
	}
	m := &member{store: &fakestore.Parted{Store: w.store}}
	m.Control = control.New(control.Config{
		Suspended: func() time.Duration { return 0 },
		Self:      self, Settings: settings, Seeds: []string{nameOf("a", 0), nameOf("b", 0), nameOf("c", 0)}, RelaysPerDomain: 3,
		Store: m.store, Peers: &peers{w, name}, Listener: nothing{}, Log: zerolog.Nop(),
	})
	m.ctx, m.cancel = context.WithCancel(w.ctx)
	w.mu.Lock()
	w.hosts[name] = m
	w.mu.Unlock()
	m.Start(m.ctx)
	return m
}

// kill ends the process of a host at once.
func (w *world) kill(name string) {
	w.mu.Lock()
	m := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	m.cancel()
}

// announced returns the number of hosts that a host knows by their entries.
func (w *world) announced(at string) int {
	n := 0
	for _, group := range w.hosts[at].View().Hosts {
		n += len(group)
	}
	return n
}

// await returns after what time something holds, or fails.
func (w *world) await(most time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > most {
			w.t.Fatalf("%s: not within %v", what, most)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// peers is one host's way to the others.
type peers struct {
	world *world
	name  string
}

var errUnreachable = errors.New("unreachable")

func (p *peers) find(address string) (*member, error) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if m := p.world.hosts[address]; m != nil && m.ctx.Err() == nil {
		return m, nil
	}
	return nil, errUnreachable
}

func (p *peers) Forget(string) {}

func (p *peers) State(ctx context.Context, address string, r *relaypb.StateRequest) (*relaypb.StateReply, error) {
	m, err := p.find(address)
	if err != nil {
		return nil, err
	}
	return m.State(ctx, r)
}

func (p *peers) Tell(ctx context.Context, address string, r *relaypb.TellRequest) error {
	m, err := p.find(address)
	if err == nil {
		m.Tell(ctx, r)
	}
	return err
}

func (p *peers) Follow(ctx context.Context, address string, r *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error {
	m, err := p.find(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel) // The stream ends with the process.
	defer stop()
	return m.Follow(r, &stream{ctx: ctx, received: received})
}

// stream hands what is sent to the receiver.
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

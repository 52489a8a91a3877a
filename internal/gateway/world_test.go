package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/internal/settings"
	"github.com/mallowgap/mallowgap/route"
)

// world holds gateways with fakes at their edges, in fake time.
type world struct {
	t      *testing.T
	store  *fakestore.Store
	leafs  *fakeLeafs
	peers  *fakePeers
	hosts  map[string]*Gateway
	ctx    context.Context
	nextID atomic.Int64
	// asleep tells for how long a host's machine has been suspended.
	asleepMu sync.Mutex
	asleep   map[string]time.Duration
	// log is the log of the gateways that are started; none by default.
	log zerolog.Logger
}

// hostSpec names a gateway and where it stands.
type hostSpec struct{ name, domain, region string }

// regionsOfWorld are the failure domains of the fake world.
const regionsOfWorld = "a1=a, a2=a, b1=b, c1=c"

// inWorld runs a test in fake time.
func inWorld(t *testing.T, config route.Config, servers []discovery.Server, hosts []hostSpec, run func(w *world)) {
	files := map[string]*settingspb.Gateway{}
	for _, h := range hosts {
		files[h.name] = settingsOf(t, h)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, store: fakestore.New(), hosts: map[string]*Gateway{}, asleep: map[string]time.Duration{}, ctx: ctx}
		w.leafs = &fakeLeafs{behave: map[string]behaviour{}, served: map[string]int{}, requests: map[string][]arrival{}, ended: map[string]bool{}}
		w.peers = &fakePeers{world: w, cut: map[string]bool{}, passed: map[string]int{}}
		w.store.PutConfig(config)
		for _, s := range servers {
			w.store.PutServer(s)
		}
		for _, h := range hosts {
			w.start(files[h.name])
		}
		time.Sleep(time.Second)
		run(w)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// suspended returns for how long the machine of a host has been suspended.
func (w *world) suspended(host string) time.Duration {
	w.asleepMu.Lock()
	defer w.asleepMu.Unlock()
	return w.asleep[host]
}

// suspend adds a suspension of a host's machine, at the moment at which it wakes.
func (w *world) suspend(host string, d time.Duration) {
	w.asleepMu.Lock()
	defer w.asleepMu.Unlock()
	w.asleep[host] += d
}

func (w *world) start(file *settingspb.Gateway) *Gateway {
	return w.startOn(file, &fakestore.Parted{Store: w.store})
}

// startOn starts a gateway on a store of its own kind.
func (w *world) startOn(file *settingspb.Gateway, store control.Store) *Gateway {
	name := file.GetHost().GetName()
	g := New(file, Edges{Store: store, Leafs: w.leafs, Peers: w.peers, Suspended: func() time.Duration { return w.suspended(name) }}, w.log)
	w.peers.add(file.GetListen().GetPeers(), g)
	w.hosts[file.GetHost().GetName()] = g
	g.Start(w.ctx)
	return g
}

func settingsOf(t *testing.T, h hostSpec) *settingspb.Gateway {
	t.Helper()
	text := fmt.Sprintf("[host]\nname = %s\nfailure_domain = %s\nregion = %s\nregions = %s\n"+
		"[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:4\n",
		h.name, h.domain, h.region, regionsOfWorld, 1000+len(h.name)*256+int(h.name[len(h.name)-1]))
	path := filepath.Join(t.TempDir(), "gateway.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	file := &settingspb.Gateway{}
	assert.NilError(t, settings.LoadGateway(path, file))
	return file
}

// ask sends a request for a path through a host.
func (w *world) ask(host, path string) Answer {
	return w.askCtx(w.ctx, host, path)
}

func (w *world) askCtx(ctx context.Context, host, path string) Answer {
	return w.hosts[host].Serve(ctx, w.newRequest(path))
}

func (w *world) newRequest(path string) *Request {
	return &Request{
		ID: fmt.Sprint("r", w.nextID.Add(1)), Method: http.MethodGet, Host: "desk.example", Path: path, Target: path,
		Header: http.Header{}, Arrived: time.Now(), Timeout: time.Second,
	}
}

// shardedConfig is a configuration with one query over n shards at /q/, and
// one service at /one/.
func shardedConfig(version uint64, n int) route.Config {
	var shards []string
	services := []route.Service{{Name: "single", MaxConns: 60}}
	for i := range n {
		shards = append(shards, fmt.Sprint("shard", i))
		services = append(services, route.Service{Name: shards[i], MaxConns: 26})
	}
	return route.Config{Version: version, Services: services, Routes: []route.Route{
		{Name: "query", Host: "desk.example", Prefix: "/q/", Idempotent: true, Timeout: time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, Query: &route.Query{Shards: shards, Top: 3, MinShare: 0.5}},
		{Name: "one", Host: "desk.example", Prefix: "/one/", Idempotent: true, Timeout: time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, Targets: []route.Target{{Service: "single", Weight: 1}}},
		{Name: "once", Host: "desk.example", Prefix: "/once/", Timeout: time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, Targets: []route.Target{{Service: "single", Weight: 1}}},
	}}
}

// serversOf returns servers of each service, one in each domain given.
func serversOf(services []string, domains ...string) []discovery.Server {
	var servers []discovery.Server
	for _, service := range services {
		for _, domain := range domains {
			servers = append(servers, discovery.Server{
				ID: service + "@" + domain, Service: service, Address: service + "." + domain, Domain: domain, Slots: 2,
			})
		}
	}
	return servers
}

func shardNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("shard", i))
	}
	return names
}

// behaviour is what a server does with a request.
type behaviour func(ctx context.Context, r *Request) (*Reply, error)

type arrival struct {
	at      time.Time
	request string
}

// fakeLeafs are backend servers that answer after a few milliseconds unless a
// test says otherwise.
type fakeLeafs struct {
	mu       sync.Mutex
	behave   map[string]behaviour
	served   map[string]int
	requests map[string][]arrival
	ended    map[string]bool
}

const leafTime = 10 * time.Millisecond

func (f *fakeLeafs) Call(ctx context.Context, s discovery.Server, r *Request, _ time.Duration, _ bool) (*Reply, error) {
	f.mu.Lock()
	behave := f.behave[s.ID]
	if behave == nil {
		behave = f.behave[s.Service]
	}
	f.requests[s.ID] = append(f.requests[s.ID], arrival{time.Now(), r.ID})
	f.mu.Unlock()
	if behave != nil {
		return behave(ctx, r)
	}
	return serve(s.ID, leafTime)(ctx, r)
}

func (f *fakeLeafs) Forget(discovery.Server) {}

// Ended implements Leafs: a server that has ended is one that the test says so of.
func (f *fakeLeafs) Ended(_ context.Context, s discovery.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[s.ID]
}

// setEnded says whether a server has ended.
func (f *fakeLeafs) setEnded(id string, ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[id] = ended
}

// set says what a server, or all servers of a service, do.
func (f *fakeLeafs) set(id string, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behave[id] = b
}

// arrivals returns the number of requests that reached servers whose
// identifier begins with prefix.
func (f *fakeLeafs) arrivals(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, arrivals := range f.requests {
		if strings.HasPrefix(id, prefix) {
			n += len(arrivals)
		}
	}
	return n
}

// serve answers after a time with one record.
func serve(id string, after time.Duration) behaviour {
	return func(ctx context.Context, r *Request) (*Reply, error) {
		select {
		case <-time.After(after):
			return &Reply{Status: http.StatusOK, Body: []byte("record-000000001"), Signature: id + "/" + r.ID}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// shed refuses at once.
func shed(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Arrived: true, Reason: "full"}
}

// unreachable cannot be connected to.
func unreachable(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Reason: "no connection"}
}

// silent never answers.
func silent(ctx context.Context, _ *Request) (*Reply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// breakOff runs the request and loses the answer.
func breakOff(context.Context, *Request) (*Reply, error) {
	time.Sleep(leafTime)
	return nil, errors.New("connection reset")
}

// fakePeers connects the gateways of a world.
type fakePeers struct {
	world     *world
	mu        sync.Mutex
	byAddress map[string]*Gateway
	// cut holds the addresses whose calls hang.
	cut     map[string]bool
	gathers atomic.Int64
	// passed counts the requests passed to a host, by its address.
	passed map[string]int
}

// passedTo returns the number of requests passed to a host.
func (p *fakePeers) passedTo(g *Gateway) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed[g.self.GetAddress()]
}

func (p *fakePeers) add(address string, g *Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = map[string]*Gateway{}
	}
	p.byAddress[address] = g
}

func (p *fakePeers) find(address string) (*Gateway, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[address], p.cut[address]
}

// cutOff makes the calls of a host hang, those that are under way included.
func (p *fakePeers) cutOff(g *Gateway) { p.setCut(g, true) }

// setCut cuts a host off, or ends that.
func (p *fakePeers) setCut(g *Gateway, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[g.self.GetAddress()] = cut
}

func (p *fakePeers) Gather(ctx context.Context, address string, m *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	g, cut := p.find(address)
	p.gathers.Add(1)
	p.mu.Lock()
	p.passed[address]++
	p.mu.Unlock()
	if g == nil || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.Gather(m, &fakeStream{ctx: ctx, send: received})
}

func (p *fakePeers) Forget(string) {}

func (p *fakePeers) State(ctx context.Context, address string, m *relaypb.StateRequest) (*relaypb.StateReply, error) {
	g, cut := p.find(address)
	if g == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return g.State(ctx, m)
}

func (p *fakePeers) Tell(ctx context.Context, address string, m *relaypb.TellRequest) error {
	g, cut := p.find(address)
	if g == nil || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	_, err := g.Tell(ctx, m)
	return err
}

func (p *fakePeers) Follow(ctx context.Context, address string, m *relaypb.FollowRequest, received func(*relaypb.FollowReply)) error {
	g, cut := p.find(address)
	if g == nil || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.Follow(m, &fakeFollowStream{fakeStream{ctx: ctx}, p, address, received})
}

// fakeFollowStream hands each message over at once, unless the peer is cut off.
type fakeFollowStream struct {
	fakeStream
	peers   *fakePeers
	address string
	send    func(*relaypb.FollowReply)
}

func (s *fakeFollowStream) Send(r *relaypb.FollowReply) error {
	if _, cut := s.peers.find(s.address); cut {
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	s.send(r)
	return nil
}

// fakeStream hands each reply over at once.
type fakeStream struct {
	drpc.Stream
	ctx  context.Context
	send func(*relaypb.GatherReply)
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Send(r *relaypb.GatherReply) error {
	s.send(r)
	return nil
}

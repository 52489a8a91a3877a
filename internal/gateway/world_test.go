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
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/internal/coordination"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/settings"
	"github.com/mallowgap/mallowgap/route"
)

// cluster is a set of gateways with a fake store, fake servers and fake peer connections, in fake
// time.
type cluster struct {
	t        *testing.T
	store    *fakestore.Store
	backends *fakeBackends
	peers    *fakePeers
	hosts    map[string]*Gateway
	ctx      context.Context
	nextID   atomic.Int64
	// suspensions is the total time for which each host's machine was suspended.
	suspensionsMu sync.Mutex
	suspensions   map[string]time.Duration
	// log is used by the gateways started afterwards; by default they do not log.
	log zerolog.Logger
}

// hostSpec is the name and the location of a gateway.
type hostSpec struct{ name, domain, region string }

// teamHeader is the header that tells the servers of the cluster the team of a request.
const teamHeader = "X-Team"

// domainRegions assigns the failure domains of the cluster to regions.
const domainRegions = "a1=a, a2=a, b1=b, c1=c"

// withCluster runs a test on a new cluster in fake time.
func withCluster(t *testing.T, config route.Config, servers []discovery.Server, hosts []hostSpec, run func(cl *cluster)) {
	files := map[string]*settingspb.Gateway{}
	for _, h := range hosts {
		files[h.name] = settingsOf(t, h)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cl := &cluster{t: t, store: fakestore.New(), hosts: map[string]*Gateway{}, suspensions: map[string]time.Duration{}, ctx: ctx}
		cl.backends = &fakeBackends{behaviours: map[string]behaviour{}, served: map[string]int{}, requests: map[string][]arrival{}, exited: map[string]bool{}}
		cl.peers = &fakePeers{cluster: cl, cut: map[string]bool{}, relayed: map[string]int{}}
		cl.store.PutConfig(config)
		for _, s := range servers {
			cl.store.PutServer(s)
		}
		for _, h := range hosts {
			cl.start(files[h.name])
		}
		time.Sleep(time.Second)
		run(cl)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// suspended returns the total time for which the machine of a host was suspended.
func (cl *cluster) suspended(host string) time.Duration {
	cl.suspensionsMu.Lock()
	defer cl.suspensionsMu.Unlock()
	return cl.suspensions[host]
}

// suspend records a suspension of a host's machine that ends now.
func (cl *cluster) suspend(host string, d time.Duration) {
	cl.suspensionsMu.Lock()
	defer cl.suspensionsMu.Unlock()
	cl.suspensions[host] += d
}

// start starts a gateway with its own connection to the cluster's store.
func (cl *cluster) start(file *settingspb.Gateway) *Gateway {
	return cl.startOn(file, &fakestore.Partitioned{Store: cl.store})
}

// startOn starts a gateway on the given store.
func (cl *cluster) startOn(file *settingspb.Gateway, store control.Store) *Gateway {
	name := file.GetHost().GetName()
	g := New(file, Adapters{Store: store, Backends: cl.backends, Peers: cl.peers, TeamHeader: teamHeader, Suspended: func() time.Duration { return cl.suspended(name) }}, cl.log)
	cl.peers.add(file.GetListen().GetPeers(), g)
	cl.hosts[file.GetHost().GetName()] = g
	g.Start(cl.ctx)
	return g
}

// settingsOf loads the settings of a gateway from a settings file.
func settingsOf(t *testing.T, h hostSpec) *settingspb.Gateway {
	t.Helper()
	text := fmt.Sprintf("[host]\nname = %s\nfailure_domain = %s\nregion = %s\nregions = %s\n"+
		"[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:4\n",
		h.name, h.domain, h.region, domainRegions, 1000+len(h.name)*256+int(h.name[len(h.name)-1]))
	path := filepath.Join(t.TempDir(), "gateway.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	file := &settingspb.Gateway{}
	assert.NilError(t, settings.LoadGateway(path, file))
	return file
}

// ask sends a request for a path to a host and returns the answer.
func (cl *cluster) ask(host, path string) Answer {
	return cl.askCtx(cl.ctx, host, path)
}

func (cl *cluster) askCtx(ctx context.Context, host, path string) Answer {
	return cl.hosts[host].Serve(ctx, cl.newRequest(path))
}

func (cl *cluster) newRequest(path string) *Request {
	return &Request{
		ID: fmt.Sprint("r", cl.nextID.Add(1)), Method: http.MethodGet, Host: "desk.example", Path: path, Target: path,
		Header: http.Header{}, Arrived: time.Now(), Timeout: time.Second,
	}
}

// shardedConfig returns a configuration with a query over n shards at /q/ and a service with one
// target at /one/ (idempotent) and /once/ (not idempotent).
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

// serversOf returns one server of each service in each of the given domains.
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

// behaviour is how a fake server handles a request.
type behaviour func(ctx context.Context, r *Request) (*Reply, error)

// arrival records that a request reached a server.
type arrival struct {
	at      time.Time
	request string
}

// fakeBackends are backend servers that answer after leafServiceTime unless a test sets another
// behaviour, for one server or for all servers of a service.
type fakeBackends struct {
	mu         sync.Mutex
	behaviours map[string]behaviour
	served     map[string]int
	requests   map[string][]arrival
	exited     map[string]bool
}

// leafServiceTime is the default service time of a fake server.
const leafServiceTime = 10 * time.Millisecond

func (f *fakeBackends) Call(ctx context.Context, s discovery.Server, r *Request, _ time.Duration, _ bool) (*Reply, error) {
	f.mu.Lock()
	behave := f.behaviours[s.ID]
	if behave == nil {
		behave = f.behaviours[s.Service]
	}
	f.requests[s.ID] = append(f.requests[s.ID], arrival{time.Now(), r.ID})
	f.mu.Unlock()
	if behave != nil {
		return behave(ctx, r)
	}
	return serve(s.ID, leafServiceTime)(ctx, r)
}

func (f *fakeBackends) CloseIdle(discovery.Server) {}

// HasExited implements BackendClient. It reports what setExited has set.
func (f *fakeBackends) HasExited(_ context.Context, s discovery.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exited[s.ID]
}

// setExited sets whether the process of a server has exited.
func (f *fakeBackends) setExited(id string, exited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exited[id] = exited
}

// set sets the behaviour of a server or of all servers of a service; nil restores the default.
func (f *fakeBackends) set(id string, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[id] = b
}

// arrivals returns the number of requests that reached servers whose identifiers begin with prefix.
func (f *fakeBackends) arrivals(prefix string) int {
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

// serve answers with one record after a delay.
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

// shed refuses a request at once, as an overloaded server does.
func shed(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Refused: true, Reason: "full"}
}

// unreachable fails to connect.
func unreachable(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Reason: "no connection"}
}

// silent never answers.
func silent(ctx context.Context, _ *Request) (*Reply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// dropConnection runs the request, and the connection is reset before the reply.
func dropConnection(context.Context, *Request) (*Reply, error) {
	time.Sleep(leafServiceTime)
	return nil, errors.New("connection reset")
}

// fakePeers connects the gateways of a cluster to each other.
type fakePeers struct {
	cluster   *cluster
	mu        sync.Mutex
	byAddress map[string]*Gateway
	// cut holds the addresses to which calls hang.
	cut map[string]bool
	// gathers counts the Gather calls to all hosts, relayed those to each address.
	gathers atomic.Int64
	relayed map[string]int
	// onGather is called with each Gather call, if it is set.
	onGather func(*relaypb.GatherRequest)
}

// relayedTo returns the number of Gather calls to a host.
func (p *fakePeers) relayedTo(g *Gateway) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed[g.self.GetAddress()]
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

// cutOff makes all calls to a host hang; open Follow streams deliver nothing more.
func (p *fakePeers) cutOff(g *Gateway) { p.setCut(g, true) }

// setCut cuts a host off from its peers or reconnects it.
func (p *fakePeers) setCut(g *Gateway, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[g.self.GetAddress()] = cut
}

func (p *fakePeers) Gather(ctx context.Context, address string, m *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	g, cut := p.find(address)
	p.gathers.Add(1)
	p.mu.Lock()
	p.relayed[address]++
	if p.onGather != nil {
		p.onGather(m)
	}
	p.mu.Unlock()
	if g == nil || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.Gather(m, &fakeStream{ctx: ctx, send: received})
}

func (p *fakePeers) CloseIdle(string) {}

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

// Coordinate connects with the coordination of a host; a host that is cut off gets and sends nothing.
func (p *fakePeers) Coordinate(ctx context.Context, address string, run func(peer.CoordinateStream) error) error {
	g, cut := p.find(address)
	if g == nil || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return coordination.Connect(ctx, func(s coordination.ServerStream) error {
		return g.coordination.Serve(&fakeCoordinateStream{s, p, address})
	}, run)
}

// fakeCoordinateStream loses the messages of a coordinator that is cut off.
type fakeCoordinateStream struct {
	coordination.ServerStream
	peers   *fakePeers
	address string
}

func (s *fakeCoordinateStream) Send(m *relaypb.CoordinateVerdict) error {
	if _, cut := s.peers.find(s.address); cut {
		return nil
	}
	return s.ServerStream.Send(m)
}

func (s *fakeCoordinateStream) Recv() (*relaypb.CoordinateReport, error) {
	for {
		m, err := s.ServerStream.Recv()
		if _, cut := s.peers.find(s.address); !cut || err != nil {
			return m, err
		}
	}
}

// fakeFollowStream delivers each message at once unless the peer is cut off.
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

// fakeStream delivers each reply at once.
type fakeStream struct {
	drpc.Stream
	ctx  context.Context
	send func(*relaypb.GatherReply)
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Send(r *relaypb.GatherReply) error {
	if _, err := proto.Marshal(r); err != nil {
		return err
	}
	s.send(r)
	return nil
}

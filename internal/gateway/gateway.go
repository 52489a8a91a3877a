package gateway

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/guard"
	"github.com/mallowgap/mallowgap/internal/pause"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/route"
)

// Edges are the adapters that a gateway works through.
type Edges struct {
	Store control.Store
	Leafs Leafs
	Peers Peers
	// Suspended tells for how long the machine has been suspended since it started; nil: the
	// clocks of the system tell.
	Suspended func() time.Duration
}

// Gateway is the daemon.
type Gateway struct {
	name     string
	settings *settingspb.Gateway
	edges    Edges
	log      zerolog.Logger
	self     *relaypb.Host
	fleet    *fleet
	control  *control.Control
	requests *requestLog
	latency  *latencies
	peers    *control.PeerHealth
	reports  *reports
	guard    *guard.Guard
	sleep    *sleep
	// patience tells by route for how long callers wait.
	patienceMu sync.Mutex
	patience   map[string]*admission.Patience

	started  time.Time
	inFlight atomic.Int64
	stopping atomic.Bool
	stop     context.CancelFunc
}

// New returns a gateway; Start must follow.
func New(settings *settingspb.Gateway, edges Edges, log zerolog.Logger) *Gateway {
	h := settings.GetHost()
	p := location{name: h.GetName(), domain: h.GetFailureDomain(), region: h.GetRegion(), regions: regions(h.GetRegions())}
	f := newFleet(p, settings.GetRetry().GetWindow().AsDuration())
	g := &Gateway{
		name: h.GetName(), settings: settings, edges: edges, log: log, fleet: f,
		self: &relaypb.Host{
			Name: h.GetName(), Address: cmp.Or(settings.GetListen().GetPeersAdvertised(), settings.GetListen().GetPeers()), Domain: p.domain, Region: p.region,
			Strength: h.GetCpuShare() * h.GetCpuSpeed(), Packs: true, Whole: true,
		},
		requests: newRequestLog(log, int(settings.GetLog().GetRequestsPerSecond())),
		latency:  newLatencies(settings.GetQuery().GetHedgeQuantile()),
		reports:  newReports(f),
		sleep:    newSleep(),
		patience: map[string]*admission.Patience{},
		started:  time.Now(),
	}
	g.guard = guard.New(h.GetName(), keeper{g}, log)
	g.control = control.New(control.Config{
		Self: g.self, Settings: settings.GetStore(), Seeds: list(settings.GetStore().GetSeeds()),
		RelaysPerDomain: int(settings.GetRelay().GetHostsPerDomain()),
		Cold:            limit.ColdBound{Excess: settings.GetCold().GetExcess(), Slack: settings.GetCold().GetSlack()},
		Store:           edges.Store, Peers: edges.Peers, Listener: listener{g}, Suspended: edges.Suspended, Log: log,
	})
	g.peers = g.control.Health()
	return g
}

// keeper lets the store keep what this host saw. The control is made after the guard, which it
// tells what it reads.
type keeper struct{ gateway *Gateway }

// PutRecord implements guard.Keeper.
func (k keeper) PutRecord(name string, value []byte) { k.gateway.control.PutRecord(name, value) }

// RemoveRecords implements guard.Keeper.
func (k keeper) RemoveRecords(names []string) { k.gateway.control.RemoveRecords(names) }

// listener takes what the control side learns to the way of a request.
type listener struct{ gateway *Gateway }

// ServersChanged implements control.Listener.
func (l listener) ServersChanged(servers []discovery.Server, shares func(discovery.Server) control.Share, now time.Time) {
	restarted, ended := l.gateway.fleet.update(servers, shares, now)
	for _, s := range ended {
		l.gateway.guard.ServerEnded(processName(s), s.ID, s.Service, now)
	}
	for _, restarted := range restarted {
		l.gateway.requests.servers.Info().Str("server", restarted.ID).Str("service", restarted.Service).Int64("born", restarted.Born).Msg("server starts anew: what was observed of it is forgotten")
		go l.gateway.edges.Leafs.Forget(restarted)
	}
	l.gateway.fleet.setShares(shares, now)
}

// ServerGone implements control.Listener.
func (l listener) ServerGone(server discovery.Server) { go l.gateway.edges.Leafs.Forget(server) }

// TableChanged implements control.Listener.
func (l listener) TableChanged(t *route.Table) {
	l.gateway.latency.forgetOthers(t.HasRoute)
	l.gateway.forgetPatience(t.HasRoute)
	forgetRoutes(t.HasRoute)
}

// QuarantineChanged implements control.Listener.
func (l listener) QuarantineChanged(e control.Entry, now time.Time) { l.gateway.guard.Learn(e, now) }

// Slept implements control.Listener: requests in hand are as much older, and connections that
// are idle may be silent for good.
func (l listener) Slept(d time.Duration) {
	l.gateway.sleep.add(d)
	go func() {
		for _, server := range l.gateway.fleet.servers() {
			l.gateway.edges.Leafs.Forget(server)
		}
	}()
}

// State implements the relay protocol.
func (g *Gateway) State(ctx context.Context, m *relaypb.StateRequest) (reply *relaypb.StateReply, err error) {
	err = g.contain("a question of a peer", "", func() error {
		reply, err = g.control.State(ctx, m)
		return err
	})
	return reply, err
}

// Tell implements the relay protocol.
func (g *Gateway) Tell(ctx context.Context, m *relaypb.TellRequest) (reply *relaypb.TellReply, err error) {
	err = g.contain("the word of a peer", "", func() error {
		reply = g.control.Tell(ctx, m)
		return nil
	})
	return reply, err
}

// Follow implements the relay protocol.
func (g *Gateway) Follow(m *relaypb.FollowRequest, stream relaypb.DRPCRelay_FollowStream) error {
	return g.contain("a peer that follows", "", func() error { return g.control.Follow(m, stream) })
}

// regions reads DOMAIN=REGION, comma-separated.
func regions(text string) map[string]string {
	m := map[string]string{}
	for _, pair := range list(text) {
		domain, region, _ := strings.Cut(pair, "=")
		m[strings.TrimSpace(domain)] = strings.TrimSpace(region)
	}
	return m
}

func list(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Start starts the control goroutine and the duties. They end with ctx.
func (g *Gateway) Start(ctx context.Context) {
	ctx, g.stop = context.WithCancel(ctx)
	g.control.Start(ctx)
	go g.sweepQuarantine(ctx)
}

// sweepQuarantine forgets records whose time is over until ctx ends.
func (g *Gateway) sweepQuarantine(ctx context.Context) {
	for pause.For(ctx, guard.SweepEvery); ctx.Err() == nil; pause.For(ctx, guard.SweepEvery) {
		g.guard.Sweep(g.control.ReadsStore(), time.Now())
	}
}

// Ready reports whether the balancer should send requests here.
func (g *Gateway) Ready() bool { return g.control.View().Ready }

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Leave begins a planned stop: the host is no longer ready, and peers no longer
// find it. Requests that arrive are still served.
func (g *Gateway) Leave(ctx context.Context) {
	g.stopping.Store(true)
	g.control.Leave(ctx)
}

// InFlight returns the number of requests being served, for callers and peers.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Drained waits until no request is in flight and returns how many still are
// when ctx ends.
func (g *Gateway) Drained(ctx context.Context) int {
	const pollEvery = 10 * time.Millisecond
	for g.InFlight() > 0 && ctx.Err() == nil {
		pause.For(ctx, pollEvery)
	}
	return g.InFlight()
}

// Close ends the duties.
func (g *Gateway) Close() {
	g.stop()
	g.control.Wait()
}

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
	"github.com/mallowgap/mallowgap/route"
)

// Edges are the adapters that a gateway works through.
type Edges struct {
	Store Store
	Leafs Leafs
	Peers Peers
}

// Gateway is the daemon.
type Gateway struct {
	name     string
	settings *settingspb.Gateway
	edges    Edges
	log      zerolog.Logger
	seeds    []string
	self     *relaypb.Host
	fleet    *fleet
	control  *control
	counters *counters
	requests *requestLog
	latency  *latencies
	peers    *peerHealth
	reports  *reports
	packer   entryPacker
	// patience tells by route for how long callers wait.
	patienceMu sync.Mutex
	patience   map[string]*admission.Patience

	// loaded, followed and heldOff belong to the goroutine that follows the store.
	loaded   bool
	followed uint64
	// heldOff tells until when a host, by its address, is not followed.
	heldOff map[string]time.Time

	started  time.Time
	inFlight atomic.Int64
	stopping atomic.Bool
	duties   sync.WaitGroup
	stop     context.CancelFunc
	leaving  context.CancelFunc
}

// New returns a gateway; Start must follow.
func New(settings *settingspb.Gateway, edges Edges, log zerolog.Logger) *Gateway {
	h := settings.GetHost()
	p := location{domain: h.GetFailureDomain(), region: h.GetRegion(), regions: regions(h.GetRegions())}
	f := newFleet(p, settings.GetRetry().GetWindow().AsDuration())
	g := &Gateway{
		name: h.GetName(), settings: settings, edges: edges, log: log, fleet: f,
		seeds: list(settings.GetStore().GetSeeds()),
		self: &relaypb.Host{
			Name: h.GetName(), Address: cmp.Or(settings.GetListen().GetPeersAdvertised(), settings.GetListen().GetPeers()), Domain: p.domain, Region: p.region,
			Strength: h.GetCpuShare() * h.GetCpuSpeed(), Packs: true,
		},
		counters: newCounters(),
		requests: newRequestLog(log, int(settings.GetLog().GetRequestsPerSecond())),
		latency:  newLatencies(settings.GetQuery().GetHedgeQuantile()),
		peers:    newPeerHealth(),
		reports:  newReports(f),
		patience: map[string]*admission.Patience{},
		heldOff:  map[string]time.Time{},
		started:  time.Now(),
	}
	g.control = newControl(edges.Store, f, int(settings.GetRelay().GetHostsPerDomain()), log)
	g.control.onGone = func(s discovery.Server) { go edges.Leafs.Forget(s) }
	g.control.onTable = func(t *route.Table) {
		g.latency.forgetOthers(t.HasRoute)
		g.forgetPatience(t.HasRoute)
		forgetRoutes(t.HasRoute)
	}
	return g
}

// startedShare is the part of the slack of the retry budget that a host uses in
// its first window: the process before it may have used its own.
func (g *Gateway) startedShare(now time.Time) float64 {
	window := g.settings.GetRetry().GetWindow().AsDuration()
	return min(1, 0.5+0.5*float64(now.Sub(g.started))/float64(window))
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
	announceCtx, leave := context.WithCancel(ctx)
	g.leaving = leave
	go g.control.run(ctx)
	g.duty(func() { g.followStore(ctx) })
	g.duty(func() { g.followPeers(ctx) })
	g.duty(func() { g.probePeers(ctx) })
	g.duty(func() { g.announce(announceCtx) })
}

func (g *Gateway) duty(run func()) {
	g.duties.Add(1)
	go func() {
		defer g.duties.Done()
		run()
	}()
}

// Ready reports whether the balancer should send requests here.
func (g *Gateway) Ready() bool { return g.control.view().ready }

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Leave begins a planned stop: the host is no longer ready, and peers no longer
// find it. Requests that arrive are still served.
func (g *Gateway) Leave(ctx context.Context) {
	g.stopping.Store(true)
	g.control.do(ctx, func() {
		g.control.stopping = true
		g.control.publish(time.Now())
	})
	g.leaving()
}

// InFlight returns the number of requests being served, for callers and peers.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Drained waits until no request is in flight and returns how many still are
// when ctx ends.
func (g *Gateway) Drained(ctx context.Context) int {
	const pollEvery = 10 * time.Millisecond
	for g.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, pollEvery)
	}
	return g.InFlight()
}

// Close ends the duties.
func (g *Gateway) Close() {
	g.stop()
	g.duties.Wait()
}

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
	"github.com/mallowgap/mallowgap/internal/coordination"
	"github.com/mallowgap/mallowgap/internal/guard"
	"github.com/mallowgap/mallowgap/internal/pause"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/route"
)

// Adapters are the platform adapters that a gateway uses.
type Adapters struct {
	Store    control.Store
	Backends BackendClient
	Peers    PeerClient
	// TeamHeader is the name of the header that tells servers the team of a request.
	TeamHeader string
	// Suspended returns the total time for which the machine has been suspended since boot. If nil,
	// it is derived from the system clocks.
	Suspended func() time.Duration
}

// Gateway serves callers by routes and relays calls for other gateways.
type Gateway struct {
	name        string
	settings    *settingspb.Gateway
	adapters    Adapters
	log         zerolog.Logger
	self        *relaypb.Host
	fleet       *fleet
	control     *control.Control
	requestLog  *requestLog
	latency     *latencyTracker
	peerHealth  *control.PeerHealth
	slowReports *slowReports
	guard       *guard.Guard
	suspensions *suspensions
	teamMetrics *teamMetrics
	// coordination connects this host with the coordinator of all hosts.
	coordination *coordination.Coordination
	// callerWaits infers, by route, how long callers have already waited.
	callerWaitsMu sync.Mutex
	callerWaits   map[string]*admission.WaitEstimator

	started  time.Time
	inFlight atomic.Int64
	stopping atomic.Bool
	stop     context.CancelFunc
	// aborting is closed when requests in flight must end, shortly before a graceful shutdown does;
	// aborted counts those that ended without success then.
	aborting chan struct{}
	aborted  atomic.Int64
}

// New returns a gateway that serves once Start is called.
func New(settings *settingspb.Gateway, adapters Adapters, log zerolog.Logger) *Gateway {
	h := settings.GetHost()
	loc := location{name: h.GetName(), domain: h.GetFailureDomain(), region: h.GetRegion(), regions: parseRegions(h.GetRegions())}
	f := newFleet(loc, settings.GetRetry().GetWindow().AsDuration())
	g := &Gateway{
		name: h.GetName(), settings: settings, adapters: adapters, log: log, fleet: f,
		self: &relaypb.Host{
			Name: h.GetName(), Address: cmp.Or(settings.GetListen().GetPeersAdvertised(), settings.GetListen().GetPeers()), Domain: loc.domain, Region: loc.region,
			Strength: h.GetCpuShare() * h.GetCpuSpeed(), Packs: true, Whole: true,
		},
		requestLog:  newRequestLog(log, int(settings.GetLog().GetRequestsPerSecond())),
		latency:     newLatencyTracker(settings.GetQuery().GetHedgeQuantile()),
		slowReports: newSlowReports(f),
		suspensions: newSuspensions(),
		teamMetrics: newTeamMetrics(),
		callerWaits: map[string]*admission.WaitEstimator{},
		started:     time.Now(),
		aborting:    make(chan struct{}),
	}
	g.guard = guard.New(h.GetName(), quarantineStore{g}, log)
	g.control = control.New(control.Config{
		Self: g.self, Settings: settings.GetStore(), Seeds: splitList(settings.GetStore().GetSeeds()),
		RelaysPerDomain: int(settings.GetRelay().GetHostsPerDomain()),
		ColdBound:       limit.ColdBound{Factor: settings.GetCold().GetExcess(), Slack: settings.GetCold().GetSlack()},
		Store:           adapters.Store, Peers: adapters.Peers, Listener: controlListener{g}, Suspended: adapters.Suspended, Log: log,
	})
	g.peerHealth = g.control.Health()
	g.coordination = g.newCoordination()
	return g
}

// quarantineStore writes quarantine records through the control goroutine. It refers to the gateway
// because Control is created after the guard that uses it.
type quarantineStore struct{ gateway *Gateway }

// PutRecord implements guard.RecordStore.
func (s quarantineStore) PutRecord(name string, value []byte) {
	s.gateway.control.PutRecord(name, value)
}

// RemoveRecords implements guard.RecordStore.
func (s quarantineStore) RemoveRecords(names []string) { s.gateway.control.RemoveRecords(names) }

// controlListener applies changes of the control state to the request path.
type controlListener struct{ gateway *Gateway }

// ServersChanged implements control.Listener.
func (l controlListener) ServersChanged(servers []discovery.Server, shares func(discovery.Server) control.Share, now time.Time) {
	restarted, crashed := l.gateway.fleet.update(servers, shares, now)
	for _, s := range crashed {
		l.gateway.guard.ServerCrashed(processName(s), s.ID, s.Service, now)
	}
	for _, server := range restarted {
		l.gateway.requestLog.servers.Info().Str("server", server.ID).Str("service", server.Service).Int64("born", server.StartedAtMillis).Msg("server restarted: earlier observations discarded")
		go l.gateway.adapters.Backends.CloseIdle(server)
	}
	l.gateway.fleet.setShares(shares, now)
}

// ServerExpired implements control.Listener.
func (l controlListener) ServerExpired(server discovery.Server) {
	go l.gateway.adapters.Backends.CloseIdle(server)
}

// TableChanged implements control.Listener.
func (l controlListener) TableChanged(t *route.Table) {
	l.gateway.latency.prune(t.HasRoute)
	l.gateway.pruneCallerWaits(t.HasRoute)
	pruneRouteMetrics(t.HasRoute)
}

// QuarantineChanged implements control.Listener.
func (l controlListener) QuarantineChanged(e control.Entry, now time.Time) {
	l.gateway.guard.ApplyEntry(e, now)
}

// Resumed implements control.Listener. It ages the requests in flight and closes idle connections,
// which may have died silently during the suspension.
func (l controlListener) Resumed(duration time.Duration) {
	l.gateway.suspensions.add(duration)
	l.gateway.coordination.Resumed()
	go func() {
		for _, server := range l.gateway.fleet.servers() {
			l.gateway.adapters.Backends.CloseIdle(server)
		}
	}()
}

// State implements the relay protocol.
func (g *Gateway) State(ctx context.Context, m *relaypb.StateRequest) (reply *relaypb.StateReply, err error) {
	err = g.recoverPanic("state request of a peer", "", func() error {
		reply, err = g.control.State(ctx, m)
		return err
	})
	return reply, err
}

// Tell implements the relay protocol.
func (g *Gateway) Tell(ctx context.Context, m *relaypb.TellRequest) (reply *relaypb.TellReply, err error) {
	err = g.recoverPanic("tell request of a peer", "", func() error {
		reply = g.control.Tell(ctx, m)
		return nil
	})
	return reply, err
}

// Follow implements the relay protocol.
func (g *Gateway) Follow(m *relaypb.FollowRequest, stream relaypb.DRPCRelay_FollowStream) error {
	return g.recoverPanic("follow stream of a peer", "", func() error { return g.control.Follow(m, stream) })
}

// parseRegions parses a comma-separated list of DOMAIN=REGION pairs.
func parseRegions(pairs string) map[string]string {
	m := map[string]string{}
	for _, pair := range splitList(pairs) {
		domain, region, _ := strings.Cut(pair, "=")
		m[strings.TrimSpace(domain)] = strings.TrimSpace(region)
	}
	return m
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Start starts the control goroutine and the background tasks, which run until ctx is done.
func (g *Gateway) Start(ctx context.Context) {
	ctx, g.stop = context.WithCancel(ctx)
	g.control.Start(ctx)
	g.coordination.Start(ctx)
	go g.sweepQuarantine(ctx)
}

// sweepQuarantine removes expired quarantine records periodically until ctx is done.
func (g *Gateway) sweepQuarantine(ctx context.Context) {
	for pause.Sleep(ctx, guard.SweepInterval); ctx.Err() == nil; pause.Sleep(ctx, guard.SweepInterval) {
		g.guard.Sweep(g.control.ReadsStoreDirectly(), time.Now())
	}
}

// Ready reports whether the load balancer should send requests to this host.
func (g *Gateway) Ready() bool { return g.control.View().Ready }

// Stopping reports whether a graceful shutdown has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// BeginStop begins a graceful shutdown: the host reports itself not ready and withdraws from its
// peers. Requests that still arrive are served.
func (g *Gateway) BeginStop(ctx context.Context) {
	g.stopping.Store(true)
	g.control.BeginStop(ctx)
	g.coordination.BeginStop()
}

// abortRequests makes the requests in flight end, each with an answer.
func (g *Gateway) abortRequests() {
	if n := g.InFlight(); n > 0 {
		g.log.Warn().Int("in_flight", n).Msg("requests in flight are ended: drain_timeout is almost over")
	}
	close(g.aborting)
}

func (g *Gateway) isAborting() bool {
	select {
	case <-g.aborting:
		return true
	default:
		return false
	}
}

// InFlight returns the number of requests being served for callers and peers.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// WaitDrained waits until no request is in flight or ctx is done, and returns the number of
// requests still in flight.
func (g *Gateway) WaitDrained(ctx context.Context) int {
	const pollEvery = 10 * time.Millisecond
	for g.InFlight() > 0 && ctx.Err() == nil {
		pause.Sleep(ctx, pollEvery)
	}
	return g.InFlight()
}

// Close stops the background tasks and waits for them.
func (g *Gateway) Close() {
	g.coordination.Leave()
	g.stop()
	g.control.Wait()
	g.coordination.Wait()
}

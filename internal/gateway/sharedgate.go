package gateway

import (
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// gateExpiry is the time without requests after which the shared gate of a service is forgotten.
	gateExpiry = 10 * time.Second
	// gateLinesPerSecond limits the log lines of one process about shared gates.
	gateLinesPerSecond = 5
	// loggedShareStep is the change of the refused share that is logged.
	loggedShareStep = 0.1
)

// sharesGates reports whether the hosts decide on admission together.
func (g *Gateway) sharesGates(v *control.View) bool {
	minHosts := int(g.settings.GetCoordination().GetMinHosts())
	return minHosts > 0 && v.HostCount >= minHosts
}

// gateKeeper decides on admission for all hosts while this host coordinates. It implements
// coordination.GateKeeper, whose methods one goroutine calls.
type gateKeeper struct {
	gateway *Gateway
	log     zerolog.Logger
	// gates holds the gates by their name, the first service of the routes.
	gates map[string]*keptGate
	// board decides which loads of servers all hosts are told.
	board *replica.Board
}

// keptGate is the shared gate of the servers of some routes.
type keptGate struct {
	*admission.SharedGate
	offeredAt time.Time
	// refusing reports whether the last verdict refused requests, loggedShare the refused share that
	// was last logged.
	refusing    bool
	loggedShare float64
}

func newGateKeeper(g *Gateway) *gateKeeper {
	return &gateKeeper{gateway: g, log: obs.RateLimited(g.log, gateLinesPerSecond), gates: map[string]*keptGate{}, board: replica.NewBoard()}
}

// Offered implements coordination.GateKeeper. Gates that the configuration does not have are ignored.
func (k *gateKeeper) Offered(_, service string, offered []admission.Offered, now time.Time) {
	table := k.gateway.control.View().Table
	if table == nil {
		return
	}
	if _, ok := table.Gate(service); !ok {
		return
	}
	gate := k.gates[service]
	if gate == nil {
		gate = &keptGate{SharedGate: admission.NewSharedGate()}
		k.gates[service] = gate
	}
	gate.offeredAt = now
	gate.Offered(offered, now)
}

// Loads implements coordination.GateKeeper.
func (k *gateKeeper) Loads(host string, loads []replica.ServerLoad, now time.Time) {
	for _, l := range loads {
		b, servers := k.gateway.findServer(l.Server)
		if b == nil {
			continue
		}
		k.board.Observe(host, l, b.Slots, now)
		if host != k.gateway.name && !l.StartsOnly() { // Its own calls are known already.
			servers.applyLoad(b, l, now)
		}
	}
}

// Left implements coordination.GateKeeper. What a host has offered is forgotten soon anyway.
func (k *gateKeeper) Left(host string, _ time.Time) { k.board.Left(host) }

// LoadChanges implements coordination.GateKeeper.
func (k *gateKeeper) LoadChanges(now time.Time) (changes []replica.ServerLoad, again bool) {
	if !k.gateway.sharesGates(k.gateway.control.View()) {
		return nil, false
	}
	return k.board.Changes(now)
}

// CombinedLoads implements coordination.GateKeeper.
func (k *gateKeeper) CombinedLoads() []replica.ServerLoad { return k.board.Loaded() }

// Verdicts implements coordination.GateKeeper.
func (k *gateKeeper) Verdicts(now time.Time) (verdicts map[string]admission.Verdict, changed bool) {
	verdicts = make(map[string]admission.Verdict, len(k.gates))
	for name, gate := range k.gates {
		v, ok := k.verdict(name, gate, now)
		if !ok {
			k.forget(name)
			changed = true
			continue
		}
		verdicts[name] = v
		if refusing := v.RefusedShare > 0; refusing != gate.refusing {
			gate.refusing, changed = refusing, true
		}
		k.publish(name, gate, v, now)
	}
	return verdicts, changed
}

// verdict returns the verdict of a gate, or false if the gate is no longer needed.
func (k *gateKeeper) verdict(name string, gate *keptGate, now time.Time) (admission.Verdict, bool) {
	table := k.gateway.control.View().Table
	if table == nil || now.Sub(gate.offeredAt) > gateExpiry {
		return admission.Verdict{}, false
	}
	servers, ok := table.Gate(name)
	if !ok {
		return admission.Verdict{}, false
	}
	groups := make([]*group, len(servers.Services))
	for i, service := range servers.Services {
		groups[i] = k.gateway.fleet.group(service)
	}
	gate.ObserveWait(serverWait(groups, servers.Needed, servers.Homes, now), now)
	return gate.Verdict(now)
}

// publish logs and counts what a gate decided.
func (k *gateKeeper) publish(name string, gate *keptGate, v admission.Verdict, now time.Time) {
	promised := gate.Promised(now)
	metrics.GetOrCreateGauge(gateMetric("refused_share", name), nil).Set(v.RefusedShare)
	metrics.GetOrCreateGauge(gateMetric("promised_seconds", name), nil).Set(promised)
	if math.Abs(v.RefusedShare-gate.loggedShare) < loggedShareStep && (v.RefusedShare > 0) == (gate.loggedShare > 0) {
		return
	}
	gate.loggedShare = v.RefusedShare
	k.log.Info().Str("service", name).Float64("refused_share", v.RefusedShare).Dur("wait", v.Wait).Float64("promised_seconds", promised).Int("classes", len(v.Classes)).
		Msg("the share of requests refused at all hosts changes")
}

func (k *gateKeeper) forget(name string) {
	delete(k.gates, name)
	metrics.UnregisterMetric(gateMetric("refused_share", name))
	metrics.UnregisterMetric(gateMetric("promised_seconds", name))
}

func gateMetric(name, service string) string {
	return fmt.Sprintf(`mallowgap_shared_gate_%s{service="%s"}`, name, labelEscaper.Replace(service))
}

// verdictListener passes what the coordinator tells to the groups of this host. It implements
// coordination.Listener.
type verdictListener struct {
	fleet *fleet
	log   zerolog.Logger
	mu    sync.Mutex
	// loaded maps the servers that the coordinator told to be loaded to when it did.
	loaded map[string]time.Time
}

func newVerdictListener(f *fleet, log zerolog.Logger) *verdictListener {
	return &verdictListener{fleet: f, log: obs.RateLimited(log, gateLinesPerSecond), loaded: map[string]time.Time{}}
}

// VerdictsChanged implements coordination.Listener.
func (l *verdictListener) VerdictsChanged(verdicts map[string]admission.Verdict, now time.Time) {
	for name, v := range verdicts {
		if g := l.fleet.existingGroup(name); g != nil {
			g.applyVerdict(v, now)
		}
	}
}

// LoadsChanged implements coordination.Listener.
func (l *verdictListener) LoadsChanged(loads []replica.ServerLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first replica.ServerLoad
	changed := 0
	for _, load := range loads {
		b := l.fleet.server(load.Server)
		if b == nil {
			continue
		}
		if l.fleet.group(b.Service).applyTold(b, load, now) {
			if changed++; changed == 1 {
				first = load
			}
		}
		l.loaded[load.Server] = now
		if load.Waiting == 0 && load.InFlight < max(b.Slots, 1) {
			delete(l.loaded, load.Server)
		}
	}
	maps.DeleteFunc(l.loaded, func(_ string, told time.Time) bool { return now.Sub(told) > replica.ToldTTL })
	sharedLoads.Set(float64(len(l.loaded)))
	sharedLoadsTime.Set(float64(now.UnixMilli()) / 1000)
	if changed > 0 {
		l.log.Info().Int("servers", changed).Int("loaded", len(l.loaded)).Str("server", first.Server).Int("waiting", first.Waiting).Dur("service_time", first.ServiceTime).
			Msg("the coordinator tells that servers are loaded: others are preferred")
	}
}

// existingGroup returns the group of a service, or nil if there is none.
func (f *fleet) existingGroup(service string) *group {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.groups[service]
}

func (g *group) applyVerdict(v admission.Verdict, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.ApplyVerdict(v, now)
}

// applyLoad records the load of a server that another host observed.
func (g *group) applyLoad(b *backend, l replica.ServerLoad, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := g.indexOf(b.leaf); i != replica.None {
		g.set.ApplyLoad(i, l.Waiting, l.ServiceTime, now)
	}
}

// applyTold records the load of a server that all hosts were told. It returns whether the server is
// loaded and was not before.
func (g *group) applyTold(b *backend, l replica.ServerLoad, now time.Time) (newlyLoaded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := g.indexOf(b.leaf); i != replica.None {
		return g.set.ApplyTold(i, l, now)
	}
	return false
}

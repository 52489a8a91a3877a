package gateway

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

const (
	// reportInterval is the interval at which the report is recomputed.
	reportInterval = 100 * time.Millisecond
	// minSlowTime is how long a server must have been slow before it is reported: longer than the
	// occasional pauses of a healthy server.
	minSlowTime = 800 * time.Millisecond
	// reportWarmup is the process age from which servers missing from the report count as healthy.
	reportWarmup = 2 * time.Second
	// maxReportedServers limits the servers in one report.
	maxReportedServers = 100
)

// slowReports determines which servers of the host's failure domain are slow. Hosts elsewhere use
// the report, because this host calls these servers more often than they do.
type slowReports struct {
	fleet *fleet
	mu    sync.Mutex
	// computedAt is when the report was last computed.
	computedAt time.Time
	// slowSince holds, by server, the time since which it has been slow without interruption.
	slowSince map[string]time.Time
	slow      []*relaypb.SlowServer
}

func newSlowReports(f *fleet) *slowReports {
	return &slowReports{fleet: f, slowSince: map[string]time.Time{}}
}

// isSlow reports whether a server is in the latest report.
func (r *slowReports) isSlow(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.slow, func(s *relaypb.SlowServer) bool { return s.GetId() == id })
}

// current returns the servers that have been slow for at least minSlowTime.
func (r *slowReports) current(table *route.Table, now time.Time) []*relaypb.SlowServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.computedAt) < reportInterval || table == nil {
		return r.slow
	}
	r.computedAt = now
	r.slow = nil
	slowSince := map[string]time.Time{}
	for _, shards := range table.ShardSets() {
		r.addSlow(shards, slowSince, now)
	}
	r.slowSince = slowSince
	return r.slow
}

// addSlow adds the slow servers of one set of shards, whose servers are comparable.
func (r *slowReports) addSlow(shards []string, slowSince map[string]time.Time, now time.Time) {
	ids, observed := r.fleet.observations(shards, now)
	for _, s := range replica.SlowReplicas(observed, now) {
		id := ids[s.Index]
		from, ok := r.slowSince[id]
		if !ok {
			from = now
		}
		slowSince[id] = from
		if now.Sub(from) >= minSlowTime && len(r.slow) < maxReportedServers {
			r.slow = append(r.slow, &relaypb.SlowServer{Id: id, ExpectedMs: uint32(s.Latency.Milliseconds())})
		}
	}
}

// observations returns the observations of the services' servers in the host's failure domain.
func (f *fleet) observations(services []string, now time.Time) (ids []string, observed []replica.Observation) {
	for _, service := range services {
		ids, observed = f.group(service).addObservations(f.location.domain, now, ids, observed)
	}
	return ids, observed
}

// addObservations appends the observations of the servers in a failure domain.
func (g *group) addObservations(domain string, now time.Time, ids []string, observed []replica.Observation) ([]string, []replica.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.members {
		if b.Domain == domain {
			ids = append(ids, b.ID)
			observed = append(observed, b.leaf.Observation(now))
		}
	}
	return ids, observed
}

// applyReport applies the report in a relay's reply. Listed servers are marked slow for all
// requests. If the relay vouches for the rest, the other servers of this query in its domain are
// marked healthy.
func (rc *relayCall) applyReport(reply *relaypb.GatherReply, now time.Time) {
	g := rc.query.gateway
	slow := make(map[string]bool, len(reply.GetSlow()))
	var newlySlow []string
	for _, s := range reply.GetSlow() {
		slow[s.GetId()] = true
		expected := time.Duration(s.GetExpectedMs()) * time.Millisecond
		if b, servers := g.findServer(s.GetId()); b != nil && servers.markSlow(b, expected, now) {
			newlySlow = append(newlySlow, fmt.Sprintf("%s of %s: %v", b.ID, b.Service, expected))
		}
	}
	g.logReport(rc.relay.Name, newlySlow)
	if !reply.GetVouches() {
		return
	}
	for _, servers := range rc.query.groups {
		servers.markHealthy(rc.relay.Domain, slow, now)
	}
}

// maxLoggedServers limits the servers named in one log line.
const maxLoggedServers = 20

// logReport logs the servers that a report newly shows to be slow.
func (g *Gateway) logReport(peer string, newlySlow []string) {
	if len(newlySlow) == 0 {
		return
	}
	g.requestLog.servers.Info().Str("peer", peer).Int("count", len(newlySlow)).Strs("servers", newlySlow[:min(len(newlySlow), maxLoggedServers)]).
		Msg("servers are slow, as a peer near them reports")
}

// markSlow records a reported latency of a server and reports whether the server was not known to
// be slow.
func (g *group) markSlow(b *backend, latency time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.indexOf(b.leaf)
	return i != replica.None && g.set.ApplyReport(i, latency, now)
}

// markHealthy records that the servers of a failure domain are healthy, except the slow ones.
func (g *group) markHealthy(domain string, slow map[string]bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, b := range g.members {
		if b.Domain == domain && !slow[b.ID] {
			g.set.ApplyReport(i, 0, now)
		}
	}
}

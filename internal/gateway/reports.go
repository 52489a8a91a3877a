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
	// reportEvery is how often the servers to report are worked out anew.
	reportEvery = 100 * time.Millisecond
	// reportAfter is for how long a server must have been slow before it is
	// reported: longer than the pauses that every server makes now and then.
	reportAfter = 800 * time.Millisecond
	// vouchAfter is the age of a process from which its calls tell which
	// servers are sound.
	vouchAfter = 2 * time.Second
	// maxReported bounds the servers of one report.
	maxReported = 100
)

// reports works out which servers of the own failure domain are slow, for the
// hosts that call them through this one: it calls each of them more often than
// they do.
type reports struct {
	fleet *fleet
	mu    sync.Mutex
	// madeAt is when the report was last worked out.
	madeAt time.Time
	// since tells from when on a server was slow without a break.
	since map[string]time.Time
	slow  []*relaypb.SlowServer
}

func newReports(f *fleet) *reports {
	return &reports{fleet: f, since: map[string]time.Time{}}
}

// isSlow reports whether a server was in the last report.
func (r *reports) isSlow(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.slow, func(s *relaypb.SlowServer) bool { return s.GetId() == id })
}

// report returns the servers that have been slow for a while.
func (r *reports) report(table *route.Table, now time.Time) []*relaypb.SlowServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.madeAt) < reportEvery || table == nil {
		return r.slow
	}
	r.madeAt = now
	r.slow = nil
	since := map[string]time.Time{}
	for _, shards := range table.ShardSets() {
		r.addSlow(shards, since, now)
	}
	r.since = since
	return r.slow
}

// addSlow adds the slow servers of one set of shards, which do the same kind of
// work.
func (r *reports) addSlow(shards []string, since map[string]time.Time, now time.Time) {
	ids, observed := r.fleet.observations(shards, now)
	for _, s := range replica.Slow(observed, now) {
		id := ids[s.Index]
		from, ok := r.since[id]
		if !ok {
			from = now
		}
		since[id] = from
		if now.Sub(from) >= reportAfter && len(r.slow) < maxReported {
			r.slow = append(r.slow, &relaypb.SlowServer{Id: id, ExpectedMs: uint32(s.Latency.Milliseconds())})
		}
	}
}

// observations returns what was observed of the servers of services in the own
// failure domain.
func (f *fleet) observations(services []string, now time.Time) (ids []string, observed []replica.Observation) {
	for _, service := range services {
		g := f.group(service)
		g.mu.Lock()
		for _, b := range g.members {
			if b.Domain == f.location.domain {
				ids = append(ids, b.ID)
				observed = append(observed, b.leaf.Observation(now))
			}
		}
		g.mu.Unlock()
	}
	return ids, observed
}

// takeReport takes in the report that came with a reply of a relay: slow servers
// are so for all requests; where the relay vouches, the others of this query are
// sound.
func (rc *relayCall) takeReport(reply *relaypb.GatherReply, now time.Time) {
	g := rc.query.gateway
	slow := make(map[string]bool, len(reply.GetSlow()))
	var news []string
	for _, s := range reply.GetSlow() {
		slow[s.GetId()] = true
		expected := time.Duration(s.GetExpectedMs()) * time.Millisecond
		if b, servers := g.serverOf(s.GetId()); b != nil && servers.reported(b, expected, now) {
			news = append(news, fmt.Sprintf("%s of %s: %v", b.ID, b.Service, expected))
		}
	}
	g.logReport(rc.relay.Name, news)
	if !reply.GetVouches() {
		return
	}
	for _, servers := range rc.query.groups {
		servers.vouch(rc.relay.Domain, slow, now)
	}
}

// maxReportNames bounds the servers that one line names.
const maxReportNames = 20

// logReport writes one line for all the servers that a report shows to be slow.
func (g *Gateway) logReport(peer string, news []string) {
	if len(news) == 0 {
		return
	}
	g.requests.servers.Info().Str("peer", peer).Int("count", len(news)).Strs("servers", news[:min(len(news), maxReportNames)]).
		Msg("servers are slow, as a peer near them reports")
}

// reported takes in that a server is slow, and returns whether that is news.
func (g *group) reported(b *backend, latency time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.index(b.leaf)
	return i != replica.None && g.set.Reported(i, latency, now)
}

// vouch takes in that the servers of a domain are sound but for those named.
func (g *group) vouch(domain string, slow map[string]bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, b := range g.members {
		if b.Domain == domain && !slow[b.ID] {
			g.set.Reported(i, 0, now)
		}
	}
}

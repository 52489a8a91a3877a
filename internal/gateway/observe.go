package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/retry"
)

// counters are the metrics of a gateway that have no label.
type counters struct {
	storeRereads *metrics.Counter
	logDropped   *metrics.Counter
}

func newCounters() *counters {
	return &counters{
		storeRereads: metrics.GetOrCreateCounter("mallowgap_store_rereads_total"),
		logDropped:   metrics.GetOrCreateCounter("mallowgap_log_lines_dropped_total"),
	}
}

func countAnswer(route string, a Answer) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_requests_total{route=%q,outcome=%q,cause=%q}", route, a.Outcome, a.Code)).Inc()
}

// forgetRoutes removes the metrics of routes that keep does not know, so that
// their number stays bounded while routes come and go.
func forgetRoutes(keep func(route string) bool) {
	for _, name := range metrics.ListMetricNames() {
		_, label, found := strings.Cut(name, "{route=\"")
		route, _, _ := strings.Cut(label, "\"")
		if found && route != "" && !keep(route) {
			metrics.UnregisterMetric(name)
		}
	}
}

func observeDuration(route string, d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("mallowgap_request_duration_seconds{route=%q}", route)).Update(d.Seconds())
}

// callHistogram returns the histogram of the time of calls to the servers of a
// service.
func callHistogram(service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("mallowgap_server_call_duration_seconds{service=%q}", service))
}

// attemptCounters are by kind of attempt and what became of it.
var attemptCounters = newAttemptCounters()

func newAttemptCounters() map[attemptKind]map[relaypb.Outcome]*metrics.Counter {
	counters := map[attemptKind]map[relaypb.Outcome]*metrics.Counter{}
	for _, kind := range []attemptKind{firstAttempt, retryAttempt, hedgeAttempt} {
		counters[kind] = map[relaypb.Outcome]*metrics.Counter{}
		for value, name := range relaypb.Outcome_name {
			counters[kind][relaypb.Outcome(value)] = metrics.GetOrCreateCounter(
				fmt.Sprintf("mallowgap_gateway_attempts_total{kind=%q,result=%q}", kind, strings.ToLower(name)))
		}
	}
	return counters
}

func countAttempt(kind attemptKind, outcome relaypb.Outcome) { attemptCounters[kind][outcome].Inc() }

func countDenied(kind attemptKind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_gateway_attempts_denied_total{kind=%q}", kind)).Inc()
}

// attemptKind is why an attempt is made.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retryAttempt attemptKind = "retry"
	hedgeAttempt attemptKind = "hedge"
)

// hedgeFloor is the least delay before a hedge: below it timers and the
// scheduling of goroutines decide, not the server.
const hedgeFloor = 4 * time.Millisecond

// latencies follow the latency of calls by route, near and far apart.
type latencies struct {
	quantile float64
	mu       sync.Mutex
	delays   map[latencyKey]*retry.HedgeDelay
}

type latencyKey struct {
	route string
	// relayed is the time until a relay's reply came here; otherwise that from
	// the call of a server to its reply, wherever the call was made.
	relayed bool
}

func newLatencies(quantile float64) *latencies {
	return &latencies{quantile: quantile, delays: map[latencyKey]*retry.HedgeDelay{}}
}

func (l *latencies) of(key latencyKey) *retry.HedgeDelay {
	d := l.delays[key]
	if d == nil {
		d = retry.NewHedgeDelay(l.quantile, hedgeFloor)
		l.delays[key] = d
	}
	return d
}

// forgetOthers forgets the routes that keep does not know.
func (l *latencies) forgetOthers(keep func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.delays {
		if !keep(key.route) {
			delete(l.delays, key)
		}
	}
}

func (l *latencies) observe(key latencyKey, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(key).Observe(latency)
}

// delay returns after what time a call is late, or fallback while little is
// known.
func (l *latencies) delay(key latencyKey, fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.of(key).Delay(); ok {
		return min(d, fallback)
	}
	return fallback
}

// peerHealth remembers which peers did not answer.
type peerHealth struct {
	mu       sync.Mutex
	failures map[string]int
	until    map[string]time.Time
	running  map[string]int
}

const (
	// firstSuspicion is for how long a peer that did not answer is not asked;
	// it doubles with each further failure up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

func newPeerHealth() *peerHealth {
	return &peerHealth{failures: map[string]int{}, until: map[string]time.Time{}, running: map[string]int{}}
}

// choose returns the host with the fewest calls running of those not
// suspected, or false where there is none.
func (p *peerHealth) choose(hosts []host, self string, now time.Time) (host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := host{}, false
	for _, h := range hosts {
		if h.name == self || now.Before(p.until[h.address]) {
			continue
		}
		if !found || p.running[h.address] < p.running[best.address] {
			best, found = h, true
		}
	}
	return best, found
}

// suspected reports whether a peer did not answer of late.
func (p *peerHealth) suspected(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[address])
}

func (p *peerHealth) start(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[address]++
}

func (p *peerHealth) end(address string, answered bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address]--; p.running[address] <= 0 {
		delete(p.running, address)
	}
	if answered {
		delete(p.failures, address)
		delete(p.until, address)
	}
}

// suspect keeps a peer from being asked for a while.
func (p *peerHealth) suspect(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until[address]) {
		return
	}
	wait := min(firstSuspicion<<min(p.failures[address], 8), longestSuspicion)
	p.failures[address]++
	p.until[address] = now.Add(wait)
}

// requestLog writes a line for each request, bounded in number.
type requestLog struct {
	good, bad zerolog.Logger
}

func newRequestLog(log zerolog.Logger, perSecond int) *requestLog {
	dropped := func() zerolog.Sampler {
		return countDropped{metrics.GetOrCreateCounter("mallowgap_log_lines_sampled_total")}
	}
	sampler := func() zerolog.Sampler {
		return &zerolog.BurstSampler{Burst: uint32(perSecond), Period: time.Second, NextSampler: dropped()}
	}
	return &requestLog{good: log.Sample(sampler()), bad: log.Sample(sampler())}
}

// countDropped drops every line and counts it.
type countDropped struct{ counter *metrics.Counter }

// Sample implements zerolog.Sampler.
func (c countDropped) Sample(zerolog.Level) bool {
	c.counter.Inc()
	return false
}

// maxNotes bounds the notes of one request's line.
const maxNotes = 24

// trace collects what decided about one request, for its line in the log. Only
// the goroutine of the request writes to it.
type trace struct {
	first, retries, hedges, denied int
	relayed                        int
	// limit is for how long the request could be worked on.
	limit time.Duration
	// servers are those that were sent a request that is not a query.
	servers []string
	// missing names the shards that are not in the answer, with the servers
	// that were sent the request.
	missing []string
	notes   []string
	dropped int
}

func (t *trace) note(format string, args ...any) {
	if len(t.notes) >= maxNotes {
		t.dropped++
		return
	}
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// logGather writes the line of a relay's work for a peer.
func (g *Gateway) logGather(m *relaypb.GatherRequest, results []*relaypb.CallResult, elapsed time.Duration) {
	log := &g.requests.good
	var notes []string
	for _, r := range results {
		if r.GetOutcome() != relaypb.Outcome_PART && len(notes) < maxNotes {
			notes = append(notes, fmt.Sprintf("%s %s after %v: %s", m.GetServerIds()[r.GetIndex()], r.GetOutcome(), time.Duration(r.GetElapsedUs())*time.Microsecond, r.GetReason()))
		}
	}
	if len(notes) > 0 || len(results) < len(m.GetServerIds()) {
		log = &g.requests.bad
	}
	log.Info().Str("request", m.GetRequestId()).Int("calls", len(m.GetServerIds())).Int("ended", len(results)).Strs("notes", notes).Dur("elapsed", elapsed).Msg("relayed calls")
}

func (g *Gateway) logRequest(r *Request, v *view, routeName string, a Answer, t *trace, elapsed, objective time.Duration) {
	good := (a.Outcome == Forwarded && a.Reply.OK() || a.Outcome == Gathered && a.Gathered.Missing == 0) && elapsed <= objective
	log := &g.requests.bad
	if good {
		log = &g.requests.good
	}
	e := log.Info()
	if e == nil {
		return
	}
	e = e.Str("request", r.ID).Str("route", routeName).Str("outcome", a.Outcome.String()).Dur("elapsed", elapsed).Dur("timeout", r.Timeout)
	if v.table != nil {
		e = e.Uint64("version", v.table.Version()).Dur("version_age", time.Since(v.tableSince))
	}
	if !v.storeLost.IsZero() {
		e = e.Dur("store_lost", time.Since(v.storeLost))
	}
	if a.Reason != "" {
		e = e.Str("cause", string(a.Code)).Str("reason", a.Reason)
	}
	if a.Reply != nil {
		e = e.Int("status", a.Reply.Status)
	}
	if a.Outcome == Gathered {
		e = e.Int("parts", len(a.Gathered.Signatures)).Int("missing", a.Gathered.Missing)
	}
	if t.limit > 0 {
		e = e.Dur("limit", t.limit)
	}
	if len(t.servers) > 0 {
		e = e.Strs("servers", t.servers)
	}
	if len(t.missing) > 0 {
		e = e.Strs("missing_shards", t.missing)
	}
	e = e.Int("first", t.first).Int("relayed", t.relayed).Int("retries", t.retries).Int("hedges", t.hedges).Int("denied", t.denied)
	if len(t.notes) > 0 {
		e = e.Strs("notes", t.notes)
	}
	if t.dropped > 0 {
		e = e.Int("notes_dropped", t.dropped)
	}
	e.Msg("request")
}

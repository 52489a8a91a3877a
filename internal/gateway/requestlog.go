package gateway

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// requestLog writes a line for each request, bounded in number.
type requestLog struct {
	good, bad zerolog.Logger
	// servers is for what is believed of servers.
	servers zerolog.Logger
}

// serverLinesPerSecond bounds the lines of one process about servers that are slow,
// failed or moved.
const serverLinesPerSecond = 10

func newRequestLog(log zerolog.Logger, perSecond int) *requestLog {
	return &requestLog{good: obs.Bounded(log, perSecond), bad: obs.Bounded(log, perSecond), servers: obs.Bounded(log, serverLinesPerSecond)}
}

// maxNotes bounds the notes of one request's line.
const maxNotes = 24

// trace collects what decided about one request, for its line in the log. Only
// the goroutine of the request writes to it.
type trace struct {
	first, retries, hedges, denied int
	relayed                        int
	// rank is that of the route; 0 is the highest.
	rank uint32
	// wait is how long a request was expected to wait at the servers, chance that
	// with which it was let in for that.
	wait   time.Duration
	chance float64
	// limit is for how long the request could be worked on.
	limit time.Duration
	// servers are those that were sent a request that is not a query.
	servers []string
	// missing names the shards that are not in the answer, with the servers
	// that were sent the request.
	missing []string
	// fingerprint is that of a request under which servers ended; empty for any other.
	fingerprint string
	notes       []string
	dropped     int
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

func (g *Gateway) logRequest(r *Request, v *control.View, routeName string, a Answer, t *trace, elapsed, objective time.Duration) {
	good := (a.Outcome == Forwarded && a.Reply.OK() || a.Outcome == Gathered && a.Gathered.Missing == 0) && elapsed <= objective
	log := &g.requests.bad
	if good {
		log = &g.requests.good
	}
	e := log.Info()
	if e == nil {
		return
	}
	e = e.Str("request", r.ID).Str("route", routeName).Uint32("rank", t.rank).Dur("objective", objective).Str("outcome", a.Outcome.String()).Dur("elapsed", elapsed).Dur("timeout", r.Timeout)
	if v.Table != nil {
		e = e.Uint64("version", v.Table.Version()).Dur("version_age", time.Since(v.TableSince))
	}
	if !v.StoreLost.IsZero() {
		e = e.Dur("store_lost", time.Since(v.StoreLost))
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
	if t.wait > 0 {
		e = e.Dur("expected_wait", t.wait).Float64("chance", t.chance)
	}
	if t.fingerprint != "" {
		e = e.Str("fingerprint", t.fingerprint)
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

package gateway

import (
	"context"
	"fmt"
	"log"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// requestLog writes rate-limited log lines about requests and servers. Requests that were not
// served completely and in time are limited separately.
type requestLog struct {
	good, bad zerolog.Logger
	// servers logs changes in the state of servers.
	servers zerolog.Logger
	// faults logs panics.
	faults zerolog.Logger
}

const (
	// serverLinesPerSecond limits the log lines of one process about servers.
	serverLinesPerSecond = 10
	// httpErrorLinesPerSecond limits the log lines of one process about errors of its HTTP servers.
	httpErrorLinesPerSecond = 5
	// maxServerErrorBytes limits a line of net/http in the log, in bytes. It may hold a stack trace.
	maxServerErrorBytes = 2000
	// faultLinesPerSecond limits the log lines of one process about panics, which hold a stack trace.
	faultLinesPerSecond = 10
)

func newRequestLog(log zerolog.Logger, perSecond int) *requestLog {
	return &requestLog{good: obs.RateLimited(log, perSecond), bad: obs.RateLimited(log, perSecond), servers: obs.RateLimited(log, serverLinesPerSecond), faults: obs.RateLimited(log, faultLinesPerSecond)}
}

// newHTTPErrorLog returns the log of the errors of HTTP servers.
func newHTTPErrorLog(lines zerolog.Logger) *log.Logger {
	return log.New(httpErrorWriter{obs.RateLimited(lines, httpErrorLinesPerSecond)}, "", 0)
}

// httpErrorWriter logs and counts each message that is written to it.
type httpErrorWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w httpErrorWriter) Write(message []byte) (int, error) {
	httpServerErrors.Inc()
	text := strings.TrimSpace(string(message[:min(len(message), maxServerErrorBytes)]))
	w.log.Error().Str("error", text).Msg("error of an HTTP server")
	return len(message), nil
}

// maxNotes limits the notes in the log line of one request.
const maxNotes = 24

// trace collects the decisions about one request for its log line. Only the goroutine of the
// request may use it.
type trace struct {
	first, retries, hedges, denied int
	relayed                        int
	// rank is the rank of the request; 0 is the highest.
	rank uint32
	// wait is the expected wait at the servers and probability the probability of admission that
	// resulted.
	wait        time.Duration
	probability float64
	// shared is set if the verdict of the coordinator decided on admission, which was verdictAge
	// old.
	shared     bool
	verdictAge time.Duration
	// quota is who allowed a request of a limited team, or refused it, and with which inputs.
	quota string
	// limit is how long the query could take from its arrival.
	limit time.Duration
	// servers lists the servers that were sent a request that is not a query.
	servers []string
	// missing lists the shards that are not in the answer, with the servers that were sent the
	// request.
	missing []string
	// fingerprint is the fingerprint of a request that made servers crash; empty for others.
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

// sent reports whether a server was sent the request, or was about to be.
func (t *trace) sent() bool { return t.first+t.retries+t.hedges > 0 }

// gateName says which gate decided on admission: that of this host, or the one of all hosts.
func (t *trace) gateName() string {
	if t.shared {
		return "shared"
	}
	return "own"
}

// describeEnd describes why the connection of a caller ended. It returns "" if it has not ended, as far as
// is known.
func describeEnd(ctx context.Context) string {
	switch end := callerconn.FromContext(ctx); {
	case end == callerconn.Unknown && ctx.Err() != nil:
		return context.Cause(ctx).Error()
	case end == callerconn.Unknown || end == callerconn.Open:
		return ""
	default:
		return end.String()
	}
}

// logGather logs the calls that this host made for a peer.
func (g *Gateway) logGather(m *relaypb.GatherRequest, results []*relaypb.CallResult, elapsed time.Duration) {
	log := &g.requestLog.good
	var notes []string
	for _, r := range results {
		if r.GetOutcome() != relaypb.Outcome_PART && len(notes) < maxNotes {
			notes = append(notes, fmt.Sprintf("%s %s after %v: %s", m.GetServerIds()[r.GetIndex()], r.GetOutcome(), time.Duration(r.GetElapsedUs())*time.Microsecond, r.GetReason()))
		}
	}
	if len(notes) > 0 || len(results) < len(m.GetServerIds()) {
		log = &g.requestLog.bad
	}
	g.describeState(log.Info().Bytes("request", m.GetRequestId()).Int("calls", len(m.GetServerIds())).Int("ended", len(results)).Uint64("revision", g.control.View().Revision)).Strs("notes", notes).Dur("elapsed", elapsed).Msg("relayed calls")
}

// describeState adds how long ago the store was heard, from which this host knows the servers.
func (g *Gateway) describeState(e *zerolog.Event) *zerolog.Event {
	if age, heard := g.control.StoreAge(time.Now()); heard {
		return e.Dur("store_age", age)
	}
	return e
}

func (g *Gateway) logRequest(s *requestState, a Answer, elapsed time.Duration) {
	r, v, t, objective := s.request, s.view, s.trace, s.objective
	good := (a.Outcome == Forwarded && a.Reply.OK() || a.Outcome == Gathered && a.Gathered.Missing == 0) && elapsed <= objective
	log := &g.requestLog.bad
	if good {
		log = &g.requestLog.good
	}
	e := log.Info()
	if e == nil {
		return
	}
	e = e.Str("request", r.ID).Str("route", a.Route).Uint32("rank", t.rank).Dur("objective", objective).Str("outcome", a.Outcome.String()).Dur("elapsed", elapsed).Dur("timeout", r.Timeout)
	if r.Team != "" {
		e = e.Str("team", r.Team)
	}
	if v.Table != nil {
		e = e.Uint64("version", a.Version).Dur("version_age", time.Since(v.TableSince))
	}
	e = g.describeState(e.Uint64("revision", v.Revision))
	if !v.StoreLost.IsZero() {
		e = e.Dur("store_lost", time.Since(v.StoreLost))
	}
	if a.Reason != "" {
		e = e.Str("cause", string(a.Cause)).Str("reason", a.Reason)
	}
	if a.Reply != nil {
		e = e.Int("status", a.Reply.Status)
	}
	if a.Outcome == Gathered {
		e = e.Int("parts", len(a.Gathered.Signatures)).Int("missing", a.Gathered.Missing)
	}
	if t.quota != "" {
		e = e.Str("quota", t.quota)
	}
	if t.wait > 0 || t.shared {
		e = e.Dur("expected_wait", t.wait).Float64("chance", t.probability).Str("gate", t.gateName())
	}
	if t.shared {
		e = e.Dur("verdict_age", t.verdictAge)
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

// ReportUnanswered logs and counts an answer that could not be written to its caller.
func (g *Gateway) ReportUnanswered(ctx context.Context, r *Request, a Answer, err error) {
	cause := unansweredWriteFailed
	if a.Outcome == CallerLeft {
		cause = unansweredCallerLeft
	}
	countUnanswered(cause)
	g.requestLog.bad.Info().Str("request", r.ID).Str("route", a.Route).Uint64("version", a.Version).Str("outcome", a.Outcome.String()).Str("cause", string(cause)).
		AnErr("error", err).Str("end", describeEnd(ctx)).Dur("elapsed", time.Since(r.Arrived)).Msg("answer could not be written")
}

package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/scarcity"
	"github.com/mallowgap/mallowgap/team"
)

const (
	// endMargin is the time reserved before the caller's timeout for sending the answer.
	endMargin = 20 * time.Millisecond
	// dispatchShare is the share of the objective within which an admitted request must obtain a
	// slot on a server. After that it is refused, so that the caller can still retry elsewhere in
	// time.
	dispatchShare = 0.1
	// dueMargin is the time kept within the objective for merging the last parts. It is shorter than the
	// margin for the way to the caller: a part that is worth asking for may still come in time.
	dueMargin = 8 * time.Millisecond
	// minRetryAfter is the minimum time after which a refused caller is told to retry.
	minRetryAfter = 50 * time.Millisecond
	// startupWait is how long a request waits on a host that does not know the configuration yet.
	// Waiting is cheaper for the caller than a new connection to another host, which may be
	// starting too.
	startupWait = 150 * time.Millisecond
	// fleetStartShare is the share of the caller's timeout for which a request waits if no host
	// knows the configuration: no other host could serve it, and a caller that is refused may not
	// come back more than once. fleetStartReturn is the share of the remaining timeout after which
	// the caller is told to come back.
	fleetStartShare  = 1.0 / 3
	fleetStartReturn = 1.0 / 3
	// maxStartupWaiters limits the requests that wait for longer than startupWait.
	maxStartupWaiters = 500
)

// requestState is what is known of a request while it is served.
type requestState struct {
	request *Request
	// view is empty until the configuration in force is looked up, and so are route and objective
	// until the route is known.
	view      *control.View
	route     string
	objective time.Duration
	trace     *trace
}

// version returns the version of the configuration by which the request is served, or 0.
func (s *requestState) version() uint64 {
	if s.view.Table == nil {
		return 0
	}
	return s.view.Table.Version()
}

// addFields adds to the log line of a panic where it met the request.
func (s *requestState) addFields(e *zerolog.Event) *zerolog.Event {
	return e.Str("route", s.route).Uint64("version", s.version()).Dur("elapsed", time.Since(s.request.Arrived)).Bool("sent", s.trace.sent())
}

// Serve serves one request of a caller. It returns an answer whatever happens, a panic included. ctx
// is done when the connection of the caller has ended.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	s := &requestState{request: r, view: &control.View{}, trace: &trace{}}
	var answer Answer
	err := g.recoverPanicWith("request of a caller", r.ID, s.addFields, func() error {
		answer = g.serve(ctx, s)
		return nil
	})
	if err != nil {
		answer = s.panicAnswer(err)
	}
	answer.Route, answer.Version = s.route, s.version()
	g.record(s, answer)
	return answer
}

func (g *Gateway) serve(ctx context.Context, s *requestState) Answer {
	r := s.request
	s.view = g.awaitView(ctx, r)
	entry, answer := matchRoute(s.view, r)
	if entry != nil {
		s.route, s.objective = entry.Name, entry.EffectiveObjective()
		answer = g.serveRoute(ctx, s.view, entry, r, s.trace)
	}
	if answer.Outcome == Forwarded && answer.Reply == nil {
		return Answer{Outcome: Failed, Cause: CauseServerFailed, Reason: "a relay reported success without the reply of the server: run the same build on all hosts"}
	}
	if answer.Outcome == CallerLeft {
		answer.Reason = "the connection of the caller ended before the answer: " + describeEnd(ctx)
		if answer.Sent = s.trace.sent(); !answer.Sent {
			answer.RetryAfter = minRetryAfter
		}
	}
	if answer.Cause == CauseNoConfig && g.control.FleetStarting() {
		answer.RetryAfter = max(minRetryAfter, time.Duration(fleetStartReturn*float64(r.Timeout-time.Since(r.Arrived))))
	}
	return answer
}

// panicAnswer answers a request that a panic ended. Its value is told by the log only.
func (s *requestState) panicAnswer(err error) Answer {
	s.trace.note("%v", err)
	if !s.trace.sent() {
		return notRun(CausePanic, FaultReason, minRetryAfter)
	}
	return Answer{Outcome: Failed, Cause: CausePanic, Reason: FaultReason}
}

// record counts and logs what became of a request. A panic meanwhile is logged, and the answer stands.
func (g *Gateway) record(s *requestState, a Answer) {
	r, elapsed := s.request, time.Since(s.request.Arrived)
	_ = g.recoverPanicWith("metrics of a request", r.ID, s.addFields, func() error {
		countAnswer(a.Route, a)
		if r.Team != "" {
			g.teamMetrics.count(r.Team, teamResultOf(a), time.Now())
		}
		observeDuration(a.Route, elapsed)
		return nil
	})
	_ = g.recoverPanicWith("log line of a request", r.ID, s.addFields, func() error {
		g.logRequest(s, a, elapsed)
		return nil
	})
}

// awaitView returns the view in force. On a host that has just started or resumed from a
// suspension, it waits up to startupWait for the state to be known or confirmed, and up to
// fleetStartShare of the caller's timeout if no host knows the configuration.
func (g *Gateway) awaitView(ctx context.Context, r *Request) *control.View {
	if v := g.control.View(); v.Initialized && !v.Unconfirmed {
		return v
	}
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	for extended := false; ; {
		v := g.control.View()
		changed := g.control.Initialized()
		if v.Initialized {
			changed = v.Superseded
		}
		if v.Initialized && !v.Unconfirmed {
			return v
		}
		select {
		case <-changed:
		case <-timer.C:
			rest := time.Duration(fleetStartShare*float64(r.Timeout)) - time.Since(r.Arrived)
			if extended || rest <= 0 || !g.control.FleetStarting() || g.InFlight() > maxStartupWaiters {
				return g.control.View()
			}
			extended = true
			timer.Reset(rest)
		case <-ctx.Done():
			return g.control.View()
		}
	}
}

// Limits returns the request limits of the configuration in force.
func (g *Gateway) Limits() route.Limits {
	if table := g.control.View().Table; table != nil {
		return table.Limits()
	}
	return route.Limits{}
}

// matchRoute returns the route of a request, or nil and the answer that rejects the request.
func matchRoute(v *control.View, r *Request) (*route.Entry, Answer) {
	if v.Table == nil {
		return nil, notRun(CauseNoConfig, "no configuration is known yet", minRetryAfter)
	}
	if r.ID == "" {
		return nil, Answer{Outcome: Malformed, Cause: CauseNoID, Reason: "the request has no identifier"}
	}
	limits := v.Table.Limits()
	if limits.HeaderBytes > 0 && r.HeaderBytes > limits.HeaderBytes {
		return nil, Answer{Outcome: HeaderTooLarge, Cause: CauseHeaderSize, Reason: "the header is larger than the configuration allows"}
	}
	if limits.BodyBytes > 0 && len(r.Body) > limits.BodyBytes {
		return nil, Answer{Outcome: TooLarge, Cause: CauseBodySize, Reason: "the body is larger than the configuration allows"}
	}
	entry := v.Table.Match(r.Host, r.Path)
	if entry == nil {
		return nil, Answer{Outcome: NoRoute, Cause: CauseNoRoute, Reason: "no route of the configuration in force matches the host name and path"}
	}
	return entry, Answer{}
}

// serveRoute serves a request that matched a route.
func (g *Gateway) serveRoute(ctx context.Context, v *control.View, entry *route.Entry, r *Request, t *trace) Answer {
	member, refused, ok := g.authenticate(v.Table.Teams(), entry, r)
	t.rank = member.Rank(entry.Rank())
	if !ok {
		return refused
	}
	q := g.newQuery(v, entry, t.rank, r, t)
	if !time.Now().Before(q.end) {
		return notRun(CauseNoTime, "the caller's timeout has expired", minRetryAfter)
	}
	if refused, ok := q.checkQuarantine(ctx); !ok {
		return refused
	}
	if !q.enoughServers() {
		return q.noServersAnswer()
	}
	if q.isCutOff() {
		return notRun(CauseCutOff, "this host reaches neither the store nor a host of another failure domain, and its own failure domain lacks servers", q.retryAfter())
	}
	if q.lacksServers(time.Now()) {
		return q.absentAnswer(time.Now())
	}
	if ctx.Err() != nil {
		return Answer{Outcome: CallerLeft, Cause: CauseCallerLeft}
	}
	if refused, ok := q.takeQuota(ctx, member); !ok {
		return refused
	}
	return q.serveCounted(ctx, member)
}

// serveCounted serves a request that was taken from the limit of its team. It gives the request back
// if no server ran it, and cancels its calls if it panics.
func (q *query) serveCounted(ctx context.Context, member *team.Team) Answer {
	a, panicked := Answer{Outcome: Failed}, true
	defer func() {
		if panicked {
			q.abort()
		}
		settled := a
		if !q.trace.sent() {
			settled.Outcome = NotRun
		}
		q.settleQuota(member, settled)
	}()
	a = q.serveAllowed(ctx)
	panicked = false
	return a
}

// abort cancels the calls of a request that panics, and tells the trace which servers were asked.
func (q *query) abort() {
	q.trace.servers = slices.Concat(q.tried...)
	q.abandonUnsent()
	if q.stopCalls != nil {
		q.stopCalls()
	}
}

// serveAllowed serves a request that is within the limit of its team.
func (q *query) serveAllowed(ctx context.Context) Answer {
	if refused, ok := q.admit(time.Now()); !ok {
		return refused
	}
	return q.finish(q.run(ctx))
}

// newQuery returns the query that serves a request. A route without shards is served as a query
// over a single shard, the chosen service.
func (g *Gateway) newQuery(v *control.View, entry *route.Entry, rank uint32, r *Request, t *trace) *query {
	timeout := entry.Timeout
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	objective := entry.EffectiveObjective()
	q := &query{
		gateway: g, view: v, entry: entry, rank: rank, request: r, trace: t, objective: objective,
		waited:     g.callerWaited(entry.Name, r.Timeout, time.Now()),
		end:        r.Arrived.Add(timeout - endMargin),
		dispatchBy: r.Arrived.Add(time.Duration(dispatchShare * float64(objective))),
	}
	settings := fanout.Settings{Shards: 1, MinShare: 1, MaxAttempts: entry.EffectiveMaxAttempts(), AnswerAt: q.end, Deadline: q.end}
	if entry.Query == nil {
		q.groups = []*group{g.fleet.group(entry.Choose())}
	} else {
		for _, shard := range entry.Query.Shards {
			q.groups = append(q.groups, g.fleet.group(shard))
		}
		settings.Shards = len(q.groups)
		settings.Top = entry.Query.EffectiveTop()
		settings.MinShare = entry.Query.MinShare
		settings.AnswerAt = g.answerAt(r, objective)
		q.askOrder = scarcity.NewAskOrder(settings.Shards, newRNG())
		q.farRegion = v.RandomRemoteRegion()
	}
	if !entry.Idempotent {
		settings.MaxAttempts = 1
	}
	q.state = fanout.New(settings)
	q.due = r.Arrived.Add(max(objective-dueMargin, objective/2))
	if entry.Query == nil {
		q.due = q.end
	}
	q.barChanged = g.guard.BarredSignal()
	q.suspendedFor, q.resumed = g.suspensions.current()
	q.skipReasons = map[int]string{}
	q.tried = make([][]string, settings.Shards)
	q.firstCounted = make([]bool, settings.Shards)
	q.events = make(chan event, settings.Shards*(settings.MaxAttempts+maxRefusalsPerShard))
	return q
}

// answerAt returns the time at which an answer with enough shards is sent although others are
// missing: late enough to include most shards, early enough to reach the caller within the
// objective.
func (g *Gateway) answerAt(r *Request, objective time.Duration) time.Time {
	q := g.settings.GetQuery()
	wait := min(time.Duration(q.GetAnswerShare()*float64(objective)), objective-q.GetAnswerMargin().AsDuration())
	return r.Arrived.Add(wait)
}

package gateway

import (
	"context"
	"time"

	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/scarcity"
)

const (
	// endMargin is kept between the last moment at which an answer is sent and
	// the end of the caller's timeout.
	endMargin = 20 * time.Millisecond
	// offerShare is the share of the objective within which a request that was let in
	// must have found a slot of a server; otherwise it is refused, so that the caller
	// hears of it while it can still be served elsewhere in time.
	offerShare = 0.1
	// comeBack is the least time after which a refused caller is asked to come
	// back.
	comeBack = 50 * time.Millisecond
	// startWait is for how long a request waits on a host that has just started
	// and does not know the configuration yet. The smallest hosts learn it within
	// 0.2 s; a caller that is refused needs a new connection, and may come to
	// another host that starts.
	startWait = 150 * time.Millisecond
)

// Serve serves one request of a caller. The end of ctx says that the caller
// has left.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	v := g.startedView(ctx)
	t := &trace{}
	name, objective := "", time.Duration(0)
	entry, answer := match(v, r)
	if entry != nil {
		name, objective, t.rank = entry.Name, entry.Goal(), entry.Rank()
		answer = g.serveRoute(ctx, v, entry, r, t)
	}
	elapsed := time.Since(r.Arrived)
	countAnswer(name, answer)
	observeDuration(name, elapsed)
	g.logRequest(r, v, name, answer, t, elapsed, objective)
	return answer
}

// startedView returns the view in force. On a host that has just started, or woken from a
// suspension, it waits for a moment until there is something to know, or what is known is
// confirmed.
func (g *Gateway) startedView(ctx context.Context) *control.View {
	if v := g.control.View(); v.Known && !v.Doubted {
		return v
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	for {
		v := g.control.View()
		news := g.control.Known()
		if v.Known {
			news = v.Outdated
		}
		if v.Known && !v.Doubted {
			return v
		}
		select {
		case <-news:
		case <-timer.C:
			return g.control.View()
		case <-ctx.Done():
			return g.control.View()
		}
	}
}

// Limits returns what callers may send by the configuration in force.
func (g *Gateway) Limits() route.Limits {
	if table := g.control.View().Table; table != nil {
		return table.Limits()
	}
	return route.Limits{}
}

// match finds the route, or the answer where there is none.
func match(v *control.View, r *Request) (*route.Entry, Answer) {
	if v.Table == nil {
		return nil, notRun(CodeNoConfig, "no configuration is known yet", comeBack)
	}
	if r.ID == "" {
		return nil, Answer{Outcome: Malformed, Code: CodeNoID, Reason: "the request has no identifier"}
	}
	limits := v.Table.Limits()
	if limits.HeaderBytes > 0 && r.HeaderBytes > limits.HeaderBytes {
		return nil, Answer{Outcome: HeaderTooLarge, Code: CodeHeaderSize, Reason: "the header is larger than the configuration allows"}
	}
	if limits.BodyBytes > 0 && len(r.Body) > limits.BodyBytes {
		return nil, Answer{Outcome: TooLarge, Code: CodeBodySize, Reason: "the body is larger than the configuration allows"}
	}
	entry := v.Table.Match(r.Host, r.Path)
	if entry == nil {
		return nil, Answer{Outcome: NoRoute, Code: CodeNoRoute, Reason: "no route of the configuration in force"}
	}
	return entry, Answer{}
}

// serveRoute serves a request of a known route.
func (g *Gateway) serveRoute(ctx context.Context, v *control.View, entry *route.Entry, r *Request, t *trace) Answer {
	p := g.plan(v, entry, r, t)
	if !time.Now().Before(p.end) {
		return notRun(CodeNoTime, "no time is left", comeBack)
	}
	if refused, ok := p.mayRun(ctx); !ok {
		return refused
	}
	if !p.enoughServers() {
		return p.noServers()
	}
	if p.outOfReach() {
		return notRun(CodeCutOff, "this host is cut off from the store and from all hosts of other failure domains, and its own lacks servers", p.retryAfter())
	}
	if p.lacksServers(time.Now()) {
		return p.absentAnswer(time.Now())
	}
	if refused, ok := p.admit(time.Now()); !ok {
		return refused
	}
	return p.finish(p.run(ctx))
}

// plan says how a request is served: as a query over shards, or as one over the
// single shard that the chosen service is.
func (g *Gateway) plan(v *control.View, entry *route.Entry, r *Request, t *trace) *query {
	timeout := entry.Timeout
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	objective := entry.Goal()
	p := &query{
		gateway: g, view: v, entry: entry, request: r, trace: t, objective: objective,
		end:     r.Arrived.Add(timeout - endMargin),
		offerBy: r.Arrived.Add(time.Duration(offerShare * float64(objective))),
	}
	settings := fanout.Settings{Shards: 1, MinShare: 1, MaxAttempts: entry.MaxAttempts, AnswerAt: p.end, End: p.end}
	if entry.Query == nil {
		p.groups = []*group{g.fleet.group(entry.Choose())}
	} else {
		for _, shard := range entry.Query.Shards {
			p.groups = append(p.groups, g.fleet.group(shard))
		}
		settings.Shards = len(p.groups)
		settings.Top = entry.Query.Top
		settings.MinShare = entry.Query.MinShare
		settings.AnswerAt = g.answerAt(r, objective)
		p.choice = scarcity.NewChoice(settings.Shards, newRNG())
		p.farRegion = v.AnyFarRegion()
	}
	if !entry.Idempotent {
		settings.MaxAttempts = 1
	}
	p.state = fanout.New(settings)
	p.due = r.Arrived.Add(max(objective-g.settings.GetQuery().GetAnswerMargin().AsDuration(), objective/2))
	if entry.Query == nil {
		p.due = p.end
	}
	p.news = g.guard.News()
	p.asleep, p.woken = g.sleep.now()
	p.putOff = map[int]string{}
	p.tried = make([][]string, settings.Shards)
	p.counted = make([]bool, settings.Shards)
	p.events = make(chan event, settings.Shards*(entry.MaxAttempts+maxRefusals))
	return p
}

// answerAt is when an answer with enough shards goes out: late enough to wait
// for most, early enough to reach the caller within the objective.
func (g *Gateway) answerAt(r *Request, objective time.Duration) time.Time {
	q := g.settings.GetQuery()
	wait := min(time.Duration(q.GetAnswerShare()*float64(objective)), objective-q.GetAnswerMargin().AsDuration())
	return r.Arrived.Add(wait)
}

package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/peer"
)

// sendDirect calls a server from here.
func (q *query) sendDirect(ctx context.Context, a attempt, now time.Time) {
	q.sent(a, now, false)
	fresh, timeout := !q.entry.Idempotent, q.end.Sub(now)
	go func() {
		r := q.gateway.callServer(ctx, a.call, q.request, timeout, fresh)
		r.shard = a.shard
		e := event{results: []result{r}}
		if r.outcome == relaypb.Outcome_PART && q.entry.Query != nil {
			e.records = r.reply.Body
		}
		if r.outcome == relaypb.Outcome_PART {
			q.gateway.latency.observe(latencyKey{q.entry.Name, false}, r.elapsed)
		}
		countAttempt(a.kind, r.outcome)
		q.events <- e
	}()
}

// callServer calls a server on which a slot was taken, and gives the slot back.
func (g *Gateway) callServer(ctx context.Context, c *call, r *Request, timeout time.Duration, fresh bool) (out result) {
	err := g.contain("the call of a server", r.ID, func() error {
		out = g.callOnce(ctx, c, r, timeout, fresh)
		return nil
	})
	if err != nil {
		c.drop()
		return result{server: c.backend.ID, outcome: relaypb.Outcome_FAILED, reason: err.Error(), elapsed: time.Since(c.started)}
	}
	return out
}

func (g *Gateway) callOnce(ctx context.Context, c *call, r *Request, timeout time.Duration, fresh bool) result {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := g.edges.Leafs.Call(callCtx, c.backend.Server, r, timeout, fresh)
	now := time.Now()
	elapsed := now.Sub(c.started)
	out := result{server: c.backend.ID, elapsed: elapsed}
	c.group.calls.Update(elapsed.Seconds())
	evidence := classify(&out, reply, err, ctx.Err() != nil)
	if evidence == callFailed && out.outcome == relaypb.Outcome_FAILED && reply == nil && callCtx.Err() == nil {
		// A connection that breaks is no death: it may be an idle one that the server forgot,
		// a lost answer or a cut. A server that has ended refuses the next connection.
		out.ended = g.edges.Leafs.Ended(ctx, c.backend.Server)
		out.brokeOff = !out.ended && !timedOut(err)
	}
	news := c.end(callEnd{result: evidence, elapsed: elapsed, atServer: workTime(out, elapsed), load: out.load, absent: out.absent || out.ended}, now)
	out.ran = news.ran
	g.logLearned(c.backend, news, out.reason)
	if out.load.Unreadable != "" {
		g.logUnreadable(c.backend, out.load.Unreadable)
	}
	if evidence == callMoved {
		g.requests.servers.Info().Str("server", c.backend.ID).Str("service", c.backend.Service).Msg("address belongs to another server: no more requests")
		g.edges.Leafs.Forget(c.backend.Server)
	}
	return out
}

// logLearned says what a call has changed in what is believed of its server.
func (g *Gateway) logLearned(b *backend, news learned, reason string) {
	if news.ejected {
		g.requests.servers.Info().Str("server", b.ID).Str("service", b.Service).Str("reason", reason).Msg("server ejected after failures in a row")
	}
	if news.absent {
		serversAbsent.Inc()
		g.requests.servers.Info().Str("reason", reason).Str("server", b.ID).Str("service", b.Service).Msg("nothing listens at the address of a server: it is asked rarely until it answers")
	}
	if news.back {
		g.requests.servers.Info().Str("server", b.ID).Str("service", b.Service).Msg("a server that was absent answers again")
	}
}

// logUnreadable says, once for each server, that its load reports cannot be read.
func (g *Gateway) logUnreadable(b *backend, report string) {
	if b.saidUnreadable.Swap(true) {
		return
	}
	g.requests.servers.Warn().Str("server", b.ID).Str("service", b.Service).Str("report", report).
		Msg("load reports of a server cannot be read; it is used without them")
}

// workTime is the time that a call says something about the work of its server:
// none where the server did not run it.
func workTime(r result, elapsed time.Duration) time.Duration {
	if r.outcome != relaypb.Outcome_PART {
		return 0
	}
	return elapsed
}

// timedOut reports whether an error is that nothing was heard for too long, as of a server
// without power or behind a cut.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// errUnsigned says that a success lacks the proof that the server ran the
// request.
var errUnsigned = errors.New("the server's success has no signature")

// classify fills in what a reply or an error means, and returns what it tells
// about the server.
func classify(out *result, reply *Reply, err error, cut bool) callResult {
	if err == nil && reply.OK() && reply.Signature == "" {
		err = errUnsigned
	}
	if err == nil {
		out.load = reply.Load
	}
	if err == nil && reply.OK() {
		out.outcome = relaypb.Outcome_PART
		out.signature = reply.Signature
		out.reply = reply
		return callServed
	}
	if err == nil {
		out.outcome = relaypb.Outcome_FAILED
		out.reply = reply
		out.reason = http.StatusText(reply.Status)
		if reply.Status < http.StatusInternalServerError {
			return callNoEvidence
		}
		return callFailed
	}
	out.reason = err.Error()
	var refused *NotRunError
	if errors.As(err, &refused) {
		return classifyNotRun(out, refused, cut)
	}
	out.outcome = relaypb.Outcome_FAILED
	if cut {
		return callCut
	}
	return callFailed
}

func classifyNotRun(out *result, refused *NotRunError, cut bool) callResult {
	out.load = refused.Load
	if refused.Arrived {
		out.outcome = relaypb.Outcome_NOT_RUN
		if refused.Moved {
			return callMoved
		}
		return callShed
	}
	out.outcome = relaypb.Outcome_NOT_SENT
	if cut {
		return callCut
	}
	out.unreachable, out.absent = true, refused.Absent
	return callFailed
}

// sendRelayed calls servers of another domain through a host there.
func (q *query) sendRelayed(ctx context.Context, relay control.Host, attempts []attempt, now time.Time) {
	request := q.relayRequest(relay, attempts, now)
	for _, a := range attempts {
		q.sent(a, now, true)
	}
	q.trace.relayed += len(attempts)
	go q.gateway.relayed(ctx, request, &relayCall{query: q, relay: relay, attempts: attempts, open: len(attempts), floor: request.GetFloor()})
}

func (q *query) relayRequest(relay control.Host, attempts []attempt, now time.Time) *relaypb.GatherRequest {
	r := q.request
	m := &relaypb.GatherRequest{
		RequestId: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body,
		TimeoutUs:     uint64(max(q.end.Sub(now), 0).Microseconds()),
		SoftTimeoutUs: uint64(q.softTimeout().Microseconds()),
		Packs:         true,
		ObjectiveUs:   uint64(q.objective.Microseconds()),
		DueUs:         1 + uint64(max(q.left(now)-q.gateway.fleet.location.way(relay.Region), 0).Microseconds()),
	}
	if q.entry.Query != nil {
		m.Top, m.Floor = uint32(q.entry.Query.Top), q.state.Floor()
	} else {
		m.Whole, m.Repeatable = true, q.entry.Idempotent
	}
	m.Headers = encodeHeader(r.Header)
	ids := make([]string, len(attempts))
	for i, a := range attempts {
		ids[i] = a.call.backend.ID
		if a.call.knownSlow {
			m.KnownSlow = append(m.KnownSlow, uint32(i))
		}
		m.Trial = m.Trial || a.trial || q.trial.probation
	}
	setServerIDs(m, ids, relay.Packs)
	return m
}

// softTimeout is for how long a relay gathers before it sends what it has: long
// enough for most calls, so that they are merged, and short enough for a hedge
// and for the answer.
func (q *query) softTimeout() time.Duration {
	return q.gateway.latency.delay(latencyKey{q.entry.Name, false}, time.Duration(softCap*float64(q.objective)))
}

// relayCall follows one call of a relay. Its fields belong to the goroutine of
// the call.
type relayCall struct {
	query    *query
	relay    control.Host
	attempts []attempt
	done     []bool
	open     int
	floor    []byte
}

// relayed makes the call and reports what it brings.
func (g *Gateway) relayed(ctx context.Context, request *relaypb.GatherRequest, rc *relayCall) {
	relay := rc.relay
	rc.done = make([]bool, len(rc.attempts))
	g.peers.Started(relay.Address)
	silence := time.AfterFunc(rc.silenceTimeout(request), func() { g.control.Suspect(relay.Address, time.Now()) })
	err := g.contain("the reply of a relay", request.GetRequestId(), func() error {
		return g.edges.Peers.Gather(ctx, relay.Address, request, func(reply *relaypb.GatherReply) {
			silence.Stop()
			g.peers.Answered(relay.Address)
			rc.take(reply)
		})
	})
	silence.Stop()
	now := time.Now()
	if err != nil && ctx.Err() == nil {
		g.control.Suspect(relay.Address, now)
		g.log.Debug().Err(err).Str("peer", relay.Name).Msg("relay failed")
	}
	g.peers.Ended(relay.Address)
	rc.fail(err, ctx.Err() != nil, now)
}

// silenceTimeout is for how long a relay may be silent before it is suspected.
func (rc *relayCall) silenceTimeout(request *relaypb.GatherRequest) time.Duration {
	return time.Duration(request.GetSoftTimeoutUs())*time.Microsecond + time.Duration(hedgeCap*float64(rc.query.objective))
}

func (rc *relayCall) take(reply *relaypb.GatherReply) {
	now := time.Now()
	if err := unpackReply(reply); err != nil {
		rc.query.gateway.log.Error().Err(err).Str("request", rc.query.request.ID).Str("peer", rc.relay.Name).Msg("reply of a relay is left out")
		return // Its calls end as failed with the stream.
	}
	rc.takeReport(reply, now)
	e := event{records: reply.GetRecords(), floor: reply.GetFloor()}
	if len(e.floor) == 0 {
		e.floor = rc.floor // A relay of the version before does not repeat it.
	}
	for _, r := range reply.GetResults() {
		i := int(r.GetIndex())
		if i >= len(rc.attempts) || rc.done[i] {
			continue
		}
		rc.done[i] = true
		rc.open--
		e.results = append(e.results, rc.result(i, r, now))
	}
	if len(e.results) > 0 {
		rc.query.events <- e
	}
}

// result turns what a relay says of one call into a result, and notes it.
func (rc *relayCall) result(i int, r *relaypb.CallResult, now time.Time) result {
	a := rc.attempts[i]
	elapsed := now.Sub(a.call.started)
	out := result{
		shard: a.shard, outcome: r.GetOutcome(), signature: r.GetSignature(),
		server: a.call.backend.ID, reason: r.GetReason(), elapsed: elapsed,
		ended: r.GetServerEnded(), brokeOff: r.GetBrokeOff(), barred: r.GetBarred(),
		unreachable: r.GetUnreachable(), absent: r.GetAbsent(), wait: time.Duration(r.GetWaitUs()) * time.Microsecond,
	}
	if reply := r.GetReply(); reply != nil {
		out.reply = decodeReply(reply, r.GetSignature())
	}
	evidence := callServed
	switch r.GetOutcome() {
	case relaypb.Outcome_NOT_RUN:
		evidence = callShed
	case relaypb.Outcome_FAILED:
		evidence = callFailed
	case relaypb.Outcome_NOT_SENT:
		evidence = callNoEvidence
		if out.unreachable {
			evidence = callFailed // The relay is next to the server: others find the same.
		}
	}
	atServer := time.Duration(r.GetElapsedUs()) * time.Microsecond
	out.load = Load{Known: evidence == callServed || evidence == callShed, Waiting: int(r.GetWaiting()), Slowness: float64(r.GetSlownessPercent()) / 100}
	news := a.call.end(callEnd{result: evidence, elapsed: elapsed, atServer: workTime(out, atServer), load: out.load, absent: out.absent || out.ended}, now)
	out.ran = news.ran
	rc.query.gateway.logLearned(a.call.backend, news, out.reason)
	if evidence == callServed {
		name := rc.query.entry.Name
		rc.query.gateway.latency.observe(latencyKey{name, true}, elapsed)
		rc.query.gateway.latency.observe(latencyKey{name, false}, atServer)
	}
	countAttempt(a.kind, r.GetOutcome())
	return out
}

// fail ends the attempts of which the relay said nothing.
func (rc *relayCall) fail(err error, cut bool, now time.Time) {
	if rc.open == 0 {
		return
	}
	var e event
	for i, a := range rc.attempts {
		if rc.done[i] {
			continue
		}
		evidence := callNoEvidence
		if cut {
			evidence = callCut
		}
		a.call.end(callEnd{result: evidence, elapsed: now.Sub(a.call.started)}, now)
		out := result{shard: a.shard, outcome: relaypb.Outcome_FAILED, server: a.call.backend.ID, reason: "the relay ended the call without a result", elapsed: now.Sub(a.call.started)}
		if err != nil {
			out.reason = err.Error()
		}
		if peer.Unreachable(err) {
			out.outcome = relaypb.Outcome_NOT_SENT
		}
		countAttempt(a.kind, out.outcome)
		e.results = append(e.results, out)
	}
	rc.query.events <- e
}

// serverOf returns the server of an identifier in a request of a peer.
func (g *Gateway) serverOf(id string) (*backend, *group) {
	b := g.fleet.server(id)
	if b == nil {
		return nil, nil
	}
	return b, g.fleet.group(b.Service)
}

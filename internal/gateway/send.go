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

// sendDirect calls a server from this host.
func (q *query) sendDirect(ctx context.Context, a attempt, now time.Time) {
	q.noteSent(a, now, false)
	freshConn, timeout := !q.entry.Idempotent, q.end.Sub(now)
	go func() {
		r := q.gateway.callServer(ctx, a.call, q.request, timeout, freshConn)
		r.shard = a.shard
		e := event{results: []result{r}}
		if r.outcome == relaypb.Outcome_PART && q.entry.Query != nil {
			e.records = r.reply.Body
		}
		_ = q.gateway.recoverPanic("metrics of a call", q.request.ID, func() error {
			if r.outcome == relaypb.Outcome_PART {
				q.gateway.latency.observe(latencyKey{q.entry.Name, false}, r.elapsed)
			}
			countAttempt(a.kind, r.outcome)
			return nil
		})
		q.events <- e
	}()
}

// callServer calls a server on which a slot was taken, and releases the slot.
func (g *Gateway) callServer(ctx context.Context, c *call, r *Request, timeout time.Duration, freshConn bool) (out result) {
	err := g.recoverPanic("call of a server", r.ID, func() error {
		out = g.callOnce(ctx, c, r, timeout, freshConn)
		return nil
	})
	if err != nil {
		c.abandon()
		return result{server: c.backend.ID, outcome: relaypb.Outcome_FAILED, reason: err.Error(), elapsed: time.Since(c.started)}
	}
	return out
}

func (g *Gateway) callOnce(ctx context.Context, c *call, r *Request, timeout time.Duration, freshConn bool) result {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.reportStart(c)
	if c.backend.Unregistered {
		callsUnregistered.Inc()
	}
	reply, err := g.adapters.Backends.Call(callCtx, c.backend.Server, r, timeout, freshConn)
	now := time.Now()
	elapsed := now.Sub(c.started)
	out := result{server: c.backend.ID, elapsed: elapsed}
	c.group.callDuration.Update(elapsed.Seconds())
	evidence := classify(&out, reply, err, ctx.Err() != nil)
	if evidence == callFailed && out.outcome == relaypb.Outcome_FAILED && reply == nil && callCtx.Err() == nil {
		// A lost connection alone does not prove that the server crashed: it may have closed an idle
		// connection, the reply may be lost or the network cut. A server that crashed refuses the
		// next connection.
		out.serverCrashed = g.adapters.Backends.HasExited(ctx, c.backend.Server)
		out.connectionLost = !out.serverCrashed && !timedOut(err)
	}
	change := c.end(callEnd{result: evidence, elapsed: elapsed, atServer: serverTime(out, elapsed), load: out.load, absent: out.absent || out.serverCrashed}, now)
	out.runTime = change.runTime
	g.reportEnd(c, out.load, change)
	g.logServerChange(c.backend, change, out.reason)
	if out.load.Unreadable != "" {
		g.logUnreadable(c.backend, out.load.Unreadable)
	}
	g.noteInvalidReply(c.backend, r.ID, err, elapsed)
	if evidence == callMoved {
		g.requestLog.servers.Info().Str("server", c.backend.ID).Str("service", c.backend.Service).Msg("address now belongs to another server: no more requests are sent")
		g.adapters.Backends.CloseIdle(c.backend.Server)
	}
	return out
}

// reportStart reports the start of a call to the coordinator if requests run long at the server.
func (g *Gateway) reportStart(c *call) {
	if !g.sharesGates(g.control.View()) {
		return
	}
	if _, inFlight, long := c.state(); long {
		g.coordination.ObserveLoad(c.backend.ID, 0, 0, inFlight)
	}
}

// reportEnd reports the load of a server at the end of a call to the coordinator. Where requests run
// long, it reports how long this one ran, as the own average is of few calls.
func (g *Gateway) reportEnd(c *call, load Load, change serverChange) {
	if !g.sharesGates(g.control.View()) {
		return
	}
	serviceTime, inFlight, long := c.state()
	if long && change.runTime > 0 {
		serviceTime = change.runTime
	}
	if load.Known {
		g.coordination.ObserveLoad(c.backend.ID, load.Waiting, serviceTime, inFlight)
	} else if long {
		g.coordination.ObserveLoad(c.backend.ID, 0, 0, inFlight)
	}
}

// logServerChange logs what a call changed in the state of its server.
func (g *Gateway) logServerChange(b *backend, change serverChange, reason string) {
	if change.ejected {
		g.requestLog.servers.Info().Str("server", b.ID).Str("service", b.Service).Str("reason", reason).Msg("server ejected after failures in a row")
	}
	if change.absent {
		serversAbsent.Inc()
		g.requestLog.servers.Info().Str("reason", reason).Str("server", b.ID).Str("service", b.Service).Msg("nothing listens at the address of a server: probed at increasing intervals until it answers")
	}
	if change.returned {
		g.requestLog.servers.Info().Str("server", b.ID).Str("service", b.Service).Msg("a server that was absent answers again")
	}
}

// logUnreadable logs, once per server, that its load reports cannot be parsed.
func (g *Gateway) logUnreadable(b *backend, report string) {
	if b.unreadableLogged.Swap(true) {
		return
	}
	g.requestLog.servers.Warn().Str("server", b.ID).Str("service", b.Service).Str("report", report).
		Msg("load reports of a server cannot be read: its load is not taken into account")
}

// noteInvalidReply counts and logs a call whose server sent something that is no answer to it.
func (g *Gateway) noteInvalidReply(b *backend, requestID string, err error, elapsed time.Duration) {
	var invalid *InvalidReplyError
	if !errors.As(err, &invalid) {
		return
	}
	countInvalidReply(invalid.Reason)
	g.requestLog.servers.Warn().Str("server", b.ID).Str("service", b.Service).Str("request", requestID).Str("reason", invalid.Reason).
		AnErr("error", invalid.Err).Dur("elapsed", elapsed).Msg("a server sent something that is no answer to its request")
}

// serverTime returns elapsed if the server ran the request, and 0 (unknown) otherwise.
func serverTime(r result, elapsed time.Duration) time.Duration {
	if r.outcome != relaypb.Outcome_PART {
		return 0
	}
	return elapsed
}

// timedOut reports whether an error is a network timeout, as from a server without power or behind
// a network cut.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// errUnsigned reports a success without the signature that proves that the server ran the request.
var errUnsigned = errors.New("the server reported success without a signature")

// classify fills in the outcome of a reply or an error and returns what it implies for the server.
func classify(out *result, reply *Reply, err error, canceled bool) callResult {
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
			return callInconclusive
		}
		return callFailed
	}
	out.reason = err.Error()
	var refused *NotRunError
	if errors.As(err, &refused) {
		return classifyNotRun(out, refused, canceled)
	}
	out.outcome = relaypb.Outcome_FAILED
	if canceled {
		return callCanceled
	}
	return callFailed
}

func classifyNotRun(out *result, refused *NotRunError, canceled bool) callResult {
	out.load = refused.Load
	if refused.Refused {
		out.outcome = relaypb.Outcome_NOT_RUN
		if refused.Moved {
			return callMoved
		}
		return callRefused
	}
	out.outcome = relaypb.Outcome_NOT_SENT
	if canceled {
		return callCanceled
	}
	out.unreachable, out.absent = true, refused.Absent
	return callFailed
}

// sendRelayed calls servers through another host.
func (q *query) sendRelayed(ctx context.Context, relay control.Host, attempts []attempt, now time.Time) {
	request := q.relayRequest(relay, attempts, now)
	for _, a := range attempts {
		q.noteSent(a, now, true)
	}
	q.trace.relayed += len(attempts)
	go q.gateway.callRelay(ctx, request, &relayCall{query: q, relay: relay, attempts: attempts, done: make([]bool, len(attempts)), pending: len(attempts), floor: request.GetFloor()})
}

func (q *query) relayRequest(relay control.Host, attempts []attempt, now time.Time) *relaypb.GatherRequest {
	r := q.request
	m := &relaypb.GatherRequest{
		RequestId: []byte(r.ID), Method: r.Method, Target: []byte(r.Target), Host: r.Host, Body: r.Body,
		TimeoutUs:     uint64(max(q.end.Sub(now), 0).Microseconds()),
		SoftTimeoutUs: uint64(q.softTimeout().Microseconds()),
		Packs:         true,
		ObjectiveUs:   uint64(q.objective.Microseconds()),
		DueUs:         1 + uint64(max(q.timeLeft(now)-q.gateway.fleet.location.messageLatency(relay.Region), 0).Microseconds()),
	}
	if q.entry.Query != nil {
		m.Top, m.Floor = uint32(q.entry.Query.EffectiveTop()), q.state.Floor()
	} else {
		m.Whole, m.Repeatable = true, q.entry.Idempotent
	}
	m.Headers = encodeHeader(r.Header)
	if table := q.view.Table; table.Teams() != nil {
		m.TeamsVersion = table.Version()
	}
	ids := make([]string, len(attempts))
	for i, a := range attempts {
		ids[i] = a.call.backend.ID
		if a.call.knownSlow {
			m.KnownSlow = append(m.KnownSlow, uint32(i))
		}
		m.Trial = m.Trial || a.onTrial || q.trial.probation
	}
	setServerIDs(m, ids, relay.SupportsPacking)
	return m
}

// softTimeout returns how long a relay collects parts before it sends what it has: long enough for
// most calls, so that their parts are merged, and short enough to leave time for hedges.
func (q *query) softTimeout() time.Duration {
	return q.gateway.latency.hedgeDelay(latencyKey{q.entry.Name, false}, time.Duration(maxSoftTimeoutShare*float64(q.objective)))
}

// relayCall is one call of a relay. Its fields belong to the goroutine of the call.
type relayCall struct {
	query    *query
	relay    control.Host
	attempts []attempt
	done     []bool
	pending  int
	floor    []byte
}

// callRelay calls the relay and reports a result of each attempt to the query, also after a panic.
func (g *Gateway) callRelay(ctx context.Context, request *relaypb.GatherRequest, rc *relayCall) {
	err := g.recoverPanic("call of a relay", rc.query.request.ID, func() error { return g.gatherFrom(ctx, request, rc) })
	rc.failPending(err, ctx.Err() != nil, time.Now())
}

// gatherFrom calls the relay and handles its replies.
func (g *Gateway) gatherFrom(ctx context.Context, request *relaypb.GatherRequest, rc *relayCall) error {
	relay := rc.relay
	g.peerHealth.CallStarted(relay.Address)
	defer g.peerHealth.CallEnded(relay.Address)
	silenceTimer := time.AfterFunc(rc.silenceTimeout(request), func() {
		_ = rc.recoverPanic("silence of a relay", func() { g.control.Suspect(relay.Address, time.Now()) })
	})
	defer silenceTimer.Stop()
	err := g.adapters.Peers.Gather(ctx, relay.Address, request, func(reply *relaypb.GatherReply) {
		silenceTimer.Stop()
		g.peerHealth.Answered(relay.Address)
		rc.handleReply(reply)
	})
	if err != nil && ctx.Err() == nil {
		g.control.Suspect(relay.Address, time.Now())
		g.log.Debug().Err(err).Str("peer", relay.Name).Msg("call of a relay failed")
	}
	return err
}

// silenceTimeout returns how long a relay may be silent before it is suspected.
func (rc *relayCall) silenceTimeout(request *relaypb.GatherRequest) time.Duration {
	return time.Duration(request.GetSoftTimeoutUs())*time.Microsecond + time.Duration(maxHedgeDelayShare*float64(rc.query.objective))
}

func (rc *relayCall) handleReply(reply *relaypb.GatherReply) {
	now := time.Now()
	if err := unpackReply(reply); err != nil {
		rc.query.gateway.log.Error().Err(err).Str("request", rc.query.request.ID).Str("peer", rc.relay.Name).Msg("malformed reply of a relay dropped")
		return // The calls fail when the stream ends.
	}
	rc.applyReport(reply, now)
	e := event{records: reply.GetRecords(), floor: reply.GetFloor()}
	if len(e.floor) == 0 {
		e.floor = rc.floor // Relays of the previous version do not repeat the floor.
	}
	unattributed := false
	for _, r := range reply.GetResults() {
		i := int(r.GetIndex())
		if i >= len(rc.attempts) || rc.done[i] {
			unattributed = unattributed || r.GetOutcome() == relaypb.Outcome_PART
			continue
		}
		rc.done[i] = true
		rc.pending--
		var out result
		if err := rc.recoverPanic("result of a relayed call", func() { out = rc.handleResult(i, r, now) }); err != nil {
			out = rc.failed(i, err, now)
		}
		unattributed = unattributed || r.GetOutcome() == relaypb.Outcome_PART && out.outcome != relaypb.Outcome_PART
		e.results = append(e.results, out)
	}
	if unattributed && rc.query.entry.Query != nil {
		e.dropParts()
	}
	if len(e.results) > 0 {
		rc.query.events <- e
	}
}

// dropParts fails the calls that returned parts. It is used if the records include a part of a call that
// is not counted, since merged parts cannot be separated.
func (e *event) dropParts() {
	e.records, e.floor = nil, nil
	for i := range e.results {
		if r := &e.results[i]; r.outcome == relaypb.Outcome_PART {
			r.outcome, r.signature, r.reason = relaypb.Outcome_FAILED, "", errUnattributed.Error()
		}
	}
}

// handleResult converts a relay's result of one call and updates the state of its server.
func (rc *relayCall) handleResult(i int, r *relaypb.CallResult, now time.Time) result {
	a := rc.attempts[i]
	elapsed := now.Sub(a.call.started)
	out := result{
		shard: a.shard, outcome: r.GetOutcome(), signature: r.GetSignature(),
		server: a.call.backend.ID, reason: r.GetReason(), elapsed: elapsed,
		serverCrashed: r.GetServerEnded(), connectionLost: r.GetBrokeOff(), barred: r.GetBarred(),
		unreachable: r.GetUnreachable(), absent: r.GetAbsent(), wait: durationOf(r.GetWaitUs(), rc.query.entry.Timeout),
	}
	if reply := r.GetReply(); reply != nil {
		out.reply = decodeReply(reply, r.GetSignature())
	}
	evidence := callServed
	switch r.GetOutcome() {
	case relaypb.Outcome_NOT_RUN:
		evidence = callRefused
	case relaypb.Outcome_FAILED:
		evidence = callFailed
	case relaypb.Outcome_NOT_SENT:
		evidence = callInconclusive
		if out.unreachable {
			evidence = callFailed // Other hosts could not reach it either: the relay is nearest.
		}
	}
	if err := rc.checkResult(r); err != nil {
		out.outcome, out.reply, out.reason, evidence = relaypb.Outcome_FAILED, nil, err.Error(), callInconclusive
	}
	atServer := durationOf(r.GetElapsedUs(), elapsed)
	out.load = Load{Known: evidence == callServed || evidence == callRefused, Waiting: int(r.GetWaiting()), Slowness: float64(r.GetSlownessPercent()) / 100}
	change := a.call.end(callEnd{result: evidence, elapsed: elapsed, atServer: serverTime(out, atServer), load: out.load, absent: out.absent || out.serverCrashed}, now)
	out.runTime = change.runTime
	rc.query.gateway.logServerChange(a.call.backend, change, out.reason)
	if evidence == callServed {
		name := rc.query.entry.Name
		rc.query.gateway.latency.observe(latencyKey{name, true}, elapsed)
		rc.query.gateway.latency.observe(latencyKey{name, false}, atServer)
	}
	countAttempt(a.kind, out.outcome)
	return out
}

var (
	errUnattributed = errors.New("the relay returned the merged parts of more calls than can be attributed: upgrade the relay")
	errNoResult     = errors.New("the relay ended the call without a result")
	errOutcome      = errors.New("the relay returned an outcome that is not known here: upgrade this host")
	errNoReply      = errors.New("the relay reported success without the reply of the server: upgrade the relay")
	errStatus       = errors.New("the relay returned a reply without the status of a final response: upgrade the relay")
)

// checkResult returns an error if a result has an unknown outcome, lacks the reply of the server
// although it must hold it, or holds one that cannot be sent to the caller.
func (rc *relayCall) checkResult(r *relaypb.CallResult) error {
	if _, known := relaypb.Outcome_name[int32(r.GetOutcome())]; !known {
		return errOutcome
	}
	switch reply := r.GetReply(); {
	case reply == nil && r.GetOutcome() == relaypb.Outcome_PART && rc.query.entry.Query == nil:
		return errNoReply
	case reply != nil && !IsFinalStatus(int(reply.GetStatus())):
		return errStatus
	}
	return nil
}

// failPending fails the attempts for which the relay returned no result.
func (rc *relayCall) failPending(err error, canceled bool, now time.Time) {
	if rc.pending == 0 {
		return
	}
	if err == nil {
		err = errNoResult
	}
	evidence := callInconclusive
	if canceled {
		evidence = callCanceled
	}
	var e event
	for i, a := range rc.attempts {
		if rc.done[i] {
			continue
		}
		_ = rc.recoverPanic("end of a relayed call", func() {
			a.call.end(callEnd{result: evidence, elapsed: now.Sub(a.call.started)}, now)
		})
		e.results = append(e.results, rc.failed(i, err, now))
	}
	rc.query.events <- e
}

// failed returns the result of an attempt whose relay returned none that could be handled.
func (rc *relayCall) failed(i int, err error, now time.Time) result {
	a := rc.attempts[i]
	a.call.abandon()
	out := result{shard: a.shard, outcome: relaypb.Outcome_FAILED, server: a.call.backend.ID, reason: err.Error(), elapsed: now.Sub(a.call.started)}
	if peer.Unreachable(err) {
		out.outcome = relaypb.Outcome_NOT_SENT
	}
	_ = rc.recoverPanic("metrics of a relayed call", func() { countAttempt(a.kind, out.outcome) })
	return out
}

// recoverPanic runs a part of the handling of a reply and converts a panic into an error.
func (rc *relayCall) recoverPanic(work string, fn func()) error {
	return rc.query.gateway.recoverPanic(work, rc.query.request.ID, func() error {
		fn()
		return nil
	})
}

// findServer returns a server by its identifier, with its group, or nil if it is not known here.
func (g *Gateway) findServer(id string) (*backend, *group) {
	b := g.fleet.server(id)
	if b == nil {
		return nil, nil
	}
	return b, g.fleet.group(b.Service)
}

package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/pause"
	"github.com/mallowgap/mallowgap/quarantine"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// laterReplyFactor is the number by which the soft timeout is divided to obtain the interval
	// between the replies that follow it.
	laterReplyFactor = 4
	// minReplyInterval is the minimum interval between replies, so that parts that arrive close
	// together are merged.
	minReplyInterval = 4 * time.Millisecond
	// failureReplyDelay is how long calls without a part are collected before they are reported.
	// It is short because the requesting host can try another server at once; together with the parts
	// they would be reported only after the soft timeout.
	failureReplyDelay = time.Millisecond
	// maxSlotRetries is how often a relay tries again to obtain a slot, at intervals of
	// slotRetryDelay, before it reports the server as busy. All retries together take less time
	// than a retry by a requesting host in another region, which costs a round trip.
	maxSlotRetries = 4
	// maxRelayedReason is the maximum length in bytes of the reason of a failed call in a reply. A reason
	// may repeat bytes of a server, and a reply must be valid UTF-8.
	maxRelayedReason = 512
)

var (
	errSuspended     = errors.New("the call timed out while this machine was suspended")
	errUnknownServer = errors.New("the relay does not know the server")
)

// Gather implements the relay protocol. It calls the servers that the request names and merges
// their parts. It does not choose servers and does not repeat calls.
func (g *Gateway) Gather(m *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	return g.recoverPanic("gather request of a peer", string(m.GetRequestId()), func() error { return g.gather(m, stream) })
}

func (g *Gateway) gather(m *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if err := unpackRequest(m); err != nil {
		return err
	}
	request := requestFromPeer(m)
	results := make(chan indexedResult, len(m.GetServerIds()))
	timeout := time.Duration(m.GetTimeoutUs()) * time.Microsecond
	timeBudget := timeBudgetFromRequest(m)
	allowed := g.allowsRelayed(m, request)
	barred := !m.GetTrial() && g.isBarred(request)
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	for i, id := range m.GetServerIds() {
		if !allowed {
			results <- indexedResult{i, result{outcome: relaypb.Outcome_NOT_SENT, reason: "the configuration of the relay is newer than that of the requesting host, and assigns the request to no team"}}
			continue
		}
		if barred {
			results <- indexedResult{i, result{outcome: relaypb.Outcome_NOT_SENT, barred: true, reason: "the relay knows the request to be barred: servers crash when they run it"}}
			continue
		}
		if m.GetDueUs() > 0 && !slices.Contains(m.GetKnownSlow(), uint32(i)) && g.slowReports.isSlow(id) {
			results <- indexedResult{i, result{outcome: relaypb.Outcome_NOT_SENT, reason: "the relay knows the server to be slow, and the requesting host did not"}}
			continue
		}
		go func() {
			results <- indexedResult{i, g.callForPeer(callCtx, id, request, timeout, timeBudget, m.GetWhole() && !m.GetRepeatable())}
		}()
	}
	started := time.Now()
	var suspicion relaySuspicion
	var allResults []*relaypb.CallResult
	defer func() { g.logGather(m, allResults, time.Since(started)) }()
	gathered := &gathering{trimmer: fanout.NewTrimmer(int(m.GetTop()), m.GetFloor()), pending: len(m.GetServerIds()), packs: m.GetPacks(), whole: m.GetWhole()}
	softTimeout := time.Duration(m.GetSoftTimeoutUs()) * time.Microsecond
	softTimer := time.NewTimer(softTimeout)
	defer softTimer.Stop()
	var failureReplyDue <-chan time.Time
	suspendedFor, resumed := g.suspensions.current()
	for gathered.pending > 0 {
		select {
		case r := <-results:
			allResults = append(allResults, gathered.add(r))
			if suspicion.noteResult(r.result, time.Now()) {
				stopCalls()
			}
			if len(gathered.failed) == 1 {
				failureReplyDue = time.After(failureReplyDelay)
			}
		case <-failureReplyDue:
			if len(gathered.failed) == 0 {
				continue
			}
			if err := stream.Send(g.withReport(gathered.flushFailed())); err != nil {
				return err
			}
		case <-softTimer.C:
			softTimer.Reset(max(softTimeout/laterReplyFactor, minReplyInterval))
			if !gathered.replyDue() {
				continue
			}
			if err := stream.Send(g.withReport(gathered.flush(false))); err != nil {
				return err
			}
		case <-resumed:
			var total time.Duration
			total, resumed = g.suspensions.current()
			if time.Since(started)+total-suspendedFor >= timeout {
				return errSuspended // The requesting host has already given up.
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return stream.Send(g.withReport(gathered.flush(true)))
}

// withReport adds a report of the slow servers in this host's failure domain to a reply.
func (g *Gateway) withReport(reply *relaypb.GatherReply) *relaypb.GatherReply {
	now := time.Now()
	reply.Slow = g.slowReports.current(g.control.View().Table, now)
	reply.Vouches = now.Sub(g.started) >= reportWarmup
	return reply
}

// isBarred reports whether this host knows the request to be barred.
func (g *Gateway) isBarred(r *Request) bool {
	return g.guard.Active() && g.guard.Standing(g.fingerprint(r)) == quarantine.Barred
}

// relaySuspicion tracks servers that crashed while running a relayed request. A relay does not know
// of calls that other hosts make for the same request, so it only stops its own calls and leaves
// trials and reports to the requesting host.
type relaySuspicion struct{ quarantine.Suspicion }

// noteResult records a result and reports whether the calls in flight must be stopped.
func (s *relaySuspicion) noteResult(r result, now time.Time) bool {
	if r.outcome == relaypb.Outcome_PART {
		s.Served()
	}
	if !r.serverCrashed {
		return false
	}
	stop, _ := s.Crashed(quarantine.Crash{Server: r.server}, now)
	return stop
}

type indexedResult struct {
	index  int
	result result
}

// gathering collects the results that the next reply will contain.
type gathering struct {
	trimmer *fanout.Trimmer
	pending int
	// packs reports whether the requesting host understands packed lists.
	packs bool
	// whole reports whether the servers' replies are returned complete instead of merged.
	whole bool
	// softTimedOut reports whether a soft timeout has passed before.
	softTimedOut bool
	results      []*relaypb.CallResult
	// failed holds the results of calls that returned no part.
	failed []*relaypb.CallResult
	parts  [][]byte
}

// add adds the result of a call and returns it as sent to the requesting host.
func (g *gathering) add(indexed indexedResult) *relaypb.CallResult {
	g.pending--
	r := indexed.result
	result := &relaypb.CallResult{
		Index: uint32(indexed.index), Outcome: r.outcome, Signature: r.signature,
		ElapsedUs: uint64(r.elapsed.Microseconds()), Reason: obs.ShortText(r.reason, maxRelayedReason), Waiting: uint32(r.load.Waiting),
		SlownessPercent: uint32(math.Round(100 * r.load.Slowness)), Unreachable: r.unreachable, ServerEnded: r.serverCrashed, BrokeOff: r.connectionLost, Barred: r.barred, Absent: r.absent, WaitUs: uint64(r.wait.Microseconds()),
	}
	if g.whole && r.reply != nil {
		result.Reply = encodeReply(r.reply)
	}
	if r.outcome != relaypb.Outcome_PART {
		g.failed = append(g.failed, result)
		return result
	}
	g.results = append(g.results, result)
	if !g.whole {
		g.parts = append(g.parts, r.reply.Body)
	}
	return result
}

// flushFailed returns the results without a part since the last flush.
func (g *gathering) flushFailed() *relaypb.GatherReply {
	reply := &relaypb.GatherReply{Results: g.failed}
	g.failed = nil
	return reply
}

// replyDue reports whether to reply at a soft timeout: if parts have arrived, and at the first one
// also if complete replies are requested, so that the requesting host knows that this host is
// alive.
func (g *gathering) replyDue() bool {
	if g.pending == 0 {
		return false
	}
	first := g.whole && !g.softTimedOut
	g.softTimedOut = true
	return len(g.results) > 0 || first
}

// flush returns everything gathered since the last flush.
func (g *gathering) flush(last bool) *relaypb.GatherReply {
	records, floor := g.trimmer.Batch(g.parts...)
	reply := &relaypb.GatherReply{Results: append(g.results, g.failed...), Records: records, Floor: floor, Last: last}
	if g.packs {
		packReply(reply)
	}
	g.results = nil
	g.failed = nil
	g.parts = nil
	return reply
}

// timeBudgetFromRequest returns the time within which a peer needs the parts. Peers of the previous
// version do not send it; for them no call is considered too late.
func timeBudgetFromRequest(m *relaypb.GatherRequest) replica.TimeBudget {
	if m.GetDueUs() == 0 {
		return replica.TimeBudget{Objective: time.Hour, Remaining: time.Hour}
	}
	return replica.TimeBudget{
		Objective: time.Duration(m.GetObjectiveUs()) * time.Microsecond,
		Remaining: time.Duration(m.GetDueUs()-1) * time.Microsecond,
	}
}

// callForPeer calls one server for a peer.
func (g *Gateway) callForPeer(ctx context.Context, id string, r *Request, timeout time.Duration, timeBudget replica.TimeBudget, freshConn bool) result {
	var c *call
	err := g.recoverPanic("slot of a relayed call", r.ID, func() (err error) {
		b, servers := g.findServer(id)
		if b == nil {
			return errUnknownServer
		}
		c, err = servers.takeSlotWithRetry(ctx, b, timeBudget)
		return err
	})
	if err != nil {
		out := result{outcome: relaypb.Outcome_NOT_SENT, reason: err.Error()}
		var late *tooLateError
		var cold *coldError
		var absent *absentError
		switch {
		case errors.As(err, &absent):
			out.absent, out.unreachable = true, true
		case errors.As(err, &late):
			out.wait = late.wait
		case errors.As(err, &cold):
			out.wait = cold.wait
		}
		return out
	}
	return g.callServer(ctx, c, r, timeout, freshConn)
}

// takeSlotWithRetry takes a slot on a server, retrying a few times if none is free. It gives up
// instead of queueing, so that the requesting host can send the request to another server that
// becomes free earlier.
func (g *group) takeSlotWithRetry(ctx context.Context, b *backend, timeBudget replica.TimeBudget) (*call, error) {
	c, err := g.takeSlot(b, timeBudget, time.Now())
	for retries := 0; errors.Is(err, errNoSlot) && retries < maxSlotRetries; retries++ {
		pause.Sleep(ctx, slotRetryDelay)
		timeBudget.Remaining -= slotRetryDelay
		c, err = g.takeSlot(b, timeBudget, time.Now())
	}
	return c, err
}

// requestFromPeer returns the request that a peer relays.
func requestFromPeer(m *relaypb.GatherRequest) *Request {
	now := time.Now()
	r := &Request{
		ID: string(m.GetRequestId()), Method: m.GetMethod(), Host: m.GetHost(), Target: string(m.GetTarget()), Body: m.GetBody(),
		Header: decodeHeader(m.GetHeaders()), Arrived: now, Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond,
	}
	return r
}

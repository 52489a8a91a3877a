package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/pause"
	"github.com/mallowgap/mallowgap/quarantine"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// laterReplyFactor is how many times more often a relay replies after the soft timeout than
	// before it.
	laterReplyFactor = 4
	// minReplyInterval is the minimum interval between replies, so that parts that arrive close
	// together are merged.
	minReplyInterval = 4 * time.Millisecond
	// refusalReplyDelay is how long failed calls are collected before they are reported. It is
	// short because the requesting host can try another server at once.
	refusalReplyDelay = time.Millisecond
	// maxSlotRetries is how often a relay tries again to obtain a slot, at intervals of
	// slotRetryDelay, before it reports the server as busy. The total is less than a round trip to
	// another region, after which the requesting host would retry.
	maxSlotRetries = 4
)

var errSuspended = errors.New("the call timed out while this machine was suspended")

// Gather implements the relay protocol. It calls the named servers and merges their parts; it
// neither chooses servers nor repeats calls.
func (g *Gateway) Gather(m *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	return g.recoverPanic("gather request of a peer", m.GetRequestId(), func() error { return g.gather(m, stream) })
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
	barred := !m.GetTrial() && g.isBarred(request)
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	for i, id := range m.GetServerIds() {
		if barred {
			results <- indexedResult{i, result{outcome: relaypb.Outcome_NOT_SENT, barred: true, reason: "the relay knows the request to be barred: servers exit when they run it"}}
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
	var refusals <-chan time.Time
	suspendedFor, resumed := g.suspensions.current()
	for gathered.pending > 0 {
		select {
		case r := <-results:
			allResults = append(allResults, gathered.add(r))
			if suspicion.noteResult(r.result, time.Now()) {
				stopCalls()
			}
			if len(gathered.refused) == 1 {
				refusals = time.After(refusalReplyDelay)
			}
		case <-refusals:
			if len(gathered.refused) == 0 {
				continue
			}
			if err := stream.Send(g.withReport(gathered.flushRefused())); err != nil {
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

// withReport adds the state of the servers near this host to a reply.
func (g *Gateway) withReport(reply *relaypb.GatherReply) *relaypb.GatherReply {
	now := time.Now()
	reply.Slow = g.slowReports.current(g.control.View().Table, now)
	reply.Vouches = now.Sub(g.started) >= reportWarmup
	return reply
}

// isBarred reports whether this host knows the request to be barred.
func (g *Gateway) isBarred(r *Request) bool {
	return g.guard.Active() && g.guard.Standing(fingerprint(r)) == quarantine.Barred
}

// relaySuspicion tracks servers that crashed while running a relayed request. The relay does not
// see servers that ran the request elsewhere, so it only stops its own calls.
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

// gathering merges results between replies.
type gathering struct {
	trimmer *fanout.Trimmer
	pending int
	// packs reports whether the receiver understands packed lists.
	packs bool
	// whole reports whether replies are returned whole instead of merged.
	whole bool
	// replied reports whether a soft timeout has passed before.
	replied bool
	results []*relaypb.CallResult
	// refused holds the results of calls that brought no part.
	refused []*relaypb.CallResult
	parts   [][]byte
}

func (g *gathering) add(indexed indexedResult) *relaypb.CallResult {
	g.pending--
	r := indexed.result
	result := &relaypb.CallResult{
		Index: uint32(indexed.index), Outcome: r.outcome, Signature: r.signature,
		ElapsedUs: uint64(r.elapsed.Microseconds()), Reason: r.reason, Waiting: uint32(r.load.Waiting),
		SlownessPercent: uint32(math.Round(100 * r.load.Slowness)), Unreachable: r.unreachable, ServerEnded: r.serverCrashed, BrokeOff: r.connectionLost, Barred: r.barred, Absent: r.absent, WaitUs: uint64(r.wait.Microseconds()),
	}
	if g.whole && r.reply != nil {
		result.Reply = encodeReply(r.reply)
	}
	if r.outcome != relaypb.Outcome_PART {
		g.refused = append(g.refused, result)
		return result
	}
	g.results = append(g.results, result)
	if !g.whole {
		g.parts = append(g.parts, r.reply.Body)
	}
	return result
}

// flushRefused returns the results without a part since the last flush.
func (g *gathering) flushRefused() *relaypb.GatherReply {
	reply := &relaypb.GatherReply{Results: g.refused}
	g.refused = nil
	return reply
}

// replyDue reports whether to reply at a soft timeout: if parts have arrived, and once while whole
// replies are pending, so that the requesting host knows that this host is alive.
func (g *gathering) replyDue() bool {
	if g.pending == 0 {
		return false
	}
	first := g.whole && !g.replied
	g.replied = true
	return len(g.results) > 0 || first
}

// flush returns everything gathered since the last flush.
func (g *gathering) flush(last bool) *relaypb.GatherReply {
	records, floor := g.trimmer.Batch(g.parts...)
	reply := &relaypb.GatherReply{Results: append(g.results, g.refused...), Records: records, Floor: floor, Last: last}
	if g.packs {
		packReply(reply)
	}
	g.results = nil
	g.refused = nil
	g.parts = nil
	return reply
}

// timeBudgetFromRequest returns when a peer needs the parts. Peers of the previous version do not
// say; for them no call is too late.
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
	b, servers := g.findServer(id)
	if b == nil {
		return result{outcome: relaypb.Outcome_NOT_SENT, reason: "the relay does not know the server"}
	}
	c, err := servers.takeSlotWithRetry(ctx, b, timeBudget)
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

// takeSlotWithRetry takes a slot on a server, retrying a few times if none is free. It polls
// instead of queueing, because a request that is committed to one server early completes later than
// one sent to the first server that becomes free.
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
		ID: m.GetRequestId(), Method: m.GetMethod(), Host: m.GetHost(), Target: m.GetTarget(), Body: m.GetBody(),
		Header: decodeHeader(m.GetHeaders()), Arrived: now, Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond,
	}
	return r
}

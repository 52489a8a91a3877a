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
	// laterReplies is how many times more often a relay replies after the soft
	// timeout than before it.
	laterReplies = 4
	// leastReplyGap is the least time between two replies, so that parts that
	// come close together are merged.
	leastReplyGap = 4 * time.Millisecond
	// refusalGap is for how long the calls that brought nothing are collected before
	// they are told. The other host can try another server at once: told with the
	// parts they came after the soft timeout, a third of the objective later.
	refusalGap = time.Millisecond
	// relaySlotTries is how often a relay looks for a slot, each slotRetry, before it
	// says that the server is busy: for less time than the way to another region and
	// back, after which the other host would ask again.
	relaySlotTries = 4
)

var errSuspended = errors.New("the time of the call was over while this machine was suspended")

// Gather implements the relay protocol: it calls the servers named and merges
// their parts. It chooses nothing and repeats nothing.
func (g *Gateway) Gather(m *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	return g.contain("a request of a peer", m.GetRequestId(), func() error { return g.gather(m, stream) })
}

func (g *Gateway) gather(m *relaypb.GatherRequest, stream relaypb.DRPCRelay_GatherStream) error {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if err := unpackRequest(m); err != nil {
		return err
	}
	r := requestOf(m)
	results := make(chan indexed, len(m.GetServerIds()))
	timeout := time.Duration(m.GetTimeoutUs()) * time.Microsecond
	due := dueOf(m)
	barred := !m.GetTrial() && g.bars(r)
	calls, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	for i, id := range m.GetServerIds() {
		if barred {
			results <- indexed{i, result{outcome: relaypb.Outcome_NOT_SENT, barred: true, reason: "servers end under the request, as this host knows"}}
			continue
		}
		if m.GetDueUs() > 0 && !slices.Contains(m.GetKnownSlow(), uint32(i)) && g.reports.isSlow(id) {
			results <- indexed{i, result{outcome: relaypb.Outcome_NOT_SENT, reason: "the server is slow, which the caller did not know"}}
			continue
		}
		go func() {
			results <- indexed{i, g.relayOne(calls, id, r, timeout, due, m.GetWhole() && !m.GetRepeatable())}
		}()
	}
	started := time.Now()
	var seen relaySuspicion
	var all []*relaypb.CallResult
	defer func() { g.logGather(m, all, time.Since(started)) }()
	gathered := &gathering{trimmer: fanout.NewTrimmer(int(m.GetTop()), m.GetFloor()), open: len(m.GetServerIds()), packs: m.GetPacks(), whole: m.GetWhole()}
	wait := time.Duration(m.GetSoftTimeoutUs()) * time.Microsecond
	soft := time.NewTimer(wait)
	defer soft.Stop()
	var refusals <-chan time.Time
	asleep, woken := g.sleep.now()
	for gathered.open > 0 {
		select {
		case one := <-results:
			all = append(all, gathered.add(one))
			if seen.takes(one.result, time.Now()) {
				stopCalls()
			}
			if len(gathered.refused) == 1 {
				refusals = time.After(refusalGap)
			}
		case <-refusals:
			if len(gathered.refused) == 0 {
				continue
			}
			if err := stream.Send(g.withReport(gathered.flushRefused())); err != nil {
				return err
			}
		case <-soft.C:
			soft.Reset(max(wait/laterReplies, leastReplyGap))
			if !gathered.worthTelling() {
				continue
			}
			if err := stream.Send(g.withReport(gathered.flush(false))); err != nil {
				return err
			}
		case <-woken:
			var total time.Duration
			total, woken = g.sleep.now()
			if time.Since(started)+total-asleep >= timeout {
				return errSuspended // The other host has given up long ago.
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return stream.Send(g.withReport(gathered.flush(true)))
}

// withReport adds to a reply what is known of the servers near this host.
func (g *Gateway) withReport(reply *relaypb.GatherReply) *relaypb.GatherReply {
	now := time.Now()
	reply.Slow = g.reports.report(g.control.View().Table, now)
	reply.Vouches = now.Sub(g.started) >= vouchAfter
	return reply
}

// bars reports whether a request is barred, as far as this host knows.
func (g *Gateway) bars(r *Request) bool {
	return g.guard.Active() && g.guard.Standing(fingerprint(r)) == quarantine.Barred
}

// relaySuspicion is what a relay knows of servers that ended under the request that it passes
// on. It does not see those that served it elsewhere, so that it stops its own calls at most.
type relaySuspicion struct{ quarantine.Suspicion }

// takes takes a result in, and reports whether the calls that still run are to be stopped.
func (s *relaySuspicion) takes(r result, now time.Time) bool {
	if r.outcome == relaypb.Outcome_PART {
		s.Served()
	}
	if !r.ended {
		return false
	}
	stop, _ := s.Ended(quarantine.End{Server: r.server}, now)
	return stop
}

type indexed struct {
	index  int
	result result
}

// gathering merges results until they are sent.
type gathering struct {
	trimmer *fanout.Trimmer
	open    int
	// packs tells that the receiver understands packed lists.
	packs bool
	// whole tells that replies are wanted as they are.
	whole bool
	// told tells that a reply was due before.
	told    bool
	results []*relaypb.CallResult
	// refused are the results of calls that brought no part.
	refused []*relaypb.CallResult
	parts   [][]byte
}

func (w *gathering) add(one indexed) *relaypb.CallResult {
	w.open--
	r := one.result
	result := &relaypb.CallResult{
		Index: uint32(one.index), Outcome: r.outcome, Signature: r.signature,
		ElapsedUs: uint64(r.elapsed.Microseconds()), Reason: r.reason, Waiting: uint32(r.load.Waiting),
		SlownessPercent: uint32(math.Round(100 * r.load.Slowness)), Unreachable: r.unreachable, ServerEnded: r.ended, BrokeOff: r.brokeOff, Barred: r.barred, Absent: r.absent, WaitUs: uint64(r.wait.Microseconds()),
	}
	if w.whole && r.reply != nil {
		result.Reply = encodeReply(r.reply)
	}
	if r.outcome != relaypb.Outcome_PART {
		w.refused = append(w.refused, result)
		return result
	}
	w.results = append(w.results, result)
	if !w.whole {
		w.parts = append(w.parts, r.reply.Body)
	}
	return result
}

// flushRefused returns the calls that brought nothing since the last flush.
func (w *gathering) flushRefused() *relaypb.GatherReply {
	reply := &relaypb.GatherReply{Results: w.refused}
	w.refused = nil
	return reply
}

// worthTelling reports whether a reply is due at a soft timeout: where parts have come, and
// once while a whole reply is awaited, so that the other host hears that this one is there.
func (w *gathering) worthTelling() bool {
	if w.open == 0 {
		return false
	}
	first := w.whole && !w.told
	w.told = true
	return len(w.results) > 0 || first
}

// flush returns what was gathered since the last flush.
func (w *gathering) flush(last bool) *relaypb.GatherReply {
	records, floor := w.trimmer.Batch(w.parts...)
	reply := &relaypb.GatherReply{Results: append(w.results, w.refused...), Records: records, Floor: floor, Last: last}
	if w.packs {
		packReply(reply)
	}
	w.results = nil
	w.refused = nil
	w.parts = nil
	return reply
}

// dueOf returns when the parts that a peer asks for are wanted. One of the version before
// does not tell: its calls are never too late.
func dueOf(m *relaypb.GatherRequest) replica.Due {
	if m.GetDueUs() == 0 {
		return replica.Due{Objective: time.Hour, Left: time.Hour}
	}
	return replica.Due{
		Objective: time.Duration(m.GetObjectiveUs()) * time.Microsecond,
		Left:      time.Duration(m.GetDueUs()-1) * time.Microsecond,
	}
}

// relayOne calls one server for a peer, for which the part is due after a time.
func (g *Gateway) relayOne(ctx context.Context, id string, r *Request, timeout time.Duration, due replica.Due, fresh bool) result {
	b, servers := g.serverOf(id)
	if b == nil {
		return result{outcome: relaypb.Outcome_NOT_SENT, reason: "the relay does not know the server"}
	}
	c, err := servers.takeSoon(ctx, b, due)
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
	return g.callServer(ctx, c, r, timeout, fresh)
}

// takeSoon takes a slot of a server, and looks again for a moment where none is
// free. It does not wait in a line: what is handed to one server early is served
// later than what goes to the first that is free.
func (g *group) takeSoon(ctx context.Context, b *backend, due replica.Due) (*call, error) {
	c, err := g.take(b, due, time.Now())
	for tries := 0; errors.Is(err, errNoSlot) && tries < relaySlotTries; tries++ {
		pause.For(ctx, slotRetry)
		due.Left -= slotRetry
		c, err = g.take(b, due, time.Now())
	}
	return c, err
}

// requestOf returns the request that a peer passes on.
func requestOf(m *relaypb.GatherRequest) *Request {
	now := time.Now()
	r := &Request{
		ID: m.GetRequestId(), Method: m.GetMethod(), Host: m.GetHost(), Target: m.GetTarget(), Body: m.GetBody(),
		Header: decodeHeader(m.GetHeaders()), Arrived: now, Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond,
	}
	return r
}

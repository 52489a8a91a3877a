package home

import (
	"context"
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/quarantine"
	"github.com/mallowgap/mallowgap/scatter"
)

// Serve runs one request to completion. ctx must have a deadline. The outcome NOT_RUN
// is returned only if no leaf has executed the request and none can do so later.
func (s *Service) Serve(ctx context.Context, req *callerpb.AskRequest, rank uint32) *callerpb.AskReply {
	var initial quarantineState
	var refusal *callerpb.AskReply
	deadline := replyDeadline(ctx, time.Now())
	err := s.recoverPanic("admission of a request", req.GetRequestId(), func() {
		if initial, refusal = s.checkQuarantineNow(req, deadline); refusal == nil {
			refusal = s.awaitAdmission(ctx, req, rank, deadline)
		}
	})
	if err != nil {
		return PanicNotRun(req)
	}
	if refusal != nil {
		return refusal
	}
	return s.runAdmitted(ctx, req, rank, deadline, initial)
}

// runAdmitted runs an admitted request and frees its place in the queue.
func (s *Service) runAdmitted(ctx context.Context, req *callerpb.AskRequest, rank uint32, deadline time.Time, initial quarantineState) *callerpb.AskReply {
	var q *query
	var reply *callerpb.AskReply
	err := s.recoverPanic("query", req.GetRequestId(), func() {
		q = s.startQuery(ctx, req, rank, deadline, initial)
		defer q.cancel()
		q.loop()
		reply = q.reply(ctx)
	})
	if err == nil {
		return reply
	}
	if q == nil {
		_ = s.recoverPanic("end of a query", req.GetRequestId(), func() { s.releasePlace(rank) })
		return PanicNotRun(req)
	}
	maybeExecuted := 1
	_ = s.recoverPanic("end of a query", req.GetRequestId(), func() { maybeExecuted = q.abort() })
	if maybeExecuted == 0 {
		return PanicNotRun(req)
	}
	return PanicUnknown(req)
}

// startQuery returns a query on the current topology.
func (s *Service) startQuery(ctx context.Context, req *callerpb.AskRequest, rank uint32, deadline time.Time, initial quarantineState) *query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newQuery(ctx, req, rank, deadline, initial)
}

// releasePlace frees the place of an admitted request that never ran.
func (s *Service) releasePlace(rank uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(rank, 0)
	s.queue.Admit()
}

// reply returns the reply of a query whose loop has ended.
func (q *query) reply(ctx context.Context) *callerpb.AskReply {
	if q.barredText != "" && q.maybeExecuted > 0 {
		return OutcomeUnknown(q.req, callerpb.Reason_BARRED, q.barredText, quarantine.FirstProbation)
	}
	return buildReply(ctx, q.req, q.result, q.maybeExecuted, q.topology.spec.GetMinCoverage(), q.serviceTime)
}

// replyDeadline returns the time by which the reply must leave this host to reach the
// caller before the deadline of ctx.
func replyDeadline(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("home: Serve requires a context with a deadline")
	}
	margin := time.Duration(float64(deadline.Sub(now)) * replyMarginShare)
	return deadline.Add(-min(margin, maxReplyMargin))
}

// awaitAdmission waits until the request is admitted and returns nil, or returns a
// refusal as soon as the request can no longer be answered in time.
func (s *Service) awaitAdmission(ctx context.Context, req *callerpb.AskRequest, rank uint32, deadline time.Time) *callerpb.AskReply {
	admitted := make(chan struct{})
	item := &admission.Item{Rank: rank, Deadline: deadline, Admitted: func() { close(admitted) }}
	settled := false
	defer func() {
		if !settled {
			s.removeItem(item, admitted)
		}
	}()
	reply := s.awaitItem(ctx, req, item, admitted)
	settled = true
	return reply
}

// removeItem removes a request from the queue, whether it waits, was admitted or was never offered.
func (s *Service) removeItem(item *admission.Item, admitted <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Withdraw(item) {
		return
	}
	select {
	case <-admitted:
		s.queue.Done(item.Rank, 0)
		s.queue.Admit()
	default:
	}
}

// offer offers a request to the queue. It returns the refusal with the delay of a retry, and the time
// by which the request must be admitted.
func (s *Service) offer(item *admission.Item) (refusal admission.Refusal, retryAfter time.Duration, latestStart time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measureCapacity(time.Now())
	refusal, retryAfter = s.queue.Offer(item, time.Now())
	s.queue.Admit()
	return refusal, retryAfter, item.Deadline.Add(-s.queue.Service(item.Rank))
}

// awaitItem is awaitAdmission for the item of a request.
func (s *Service) awaitItem(ctx context.Context, req *callerpb.AskRequest, item *admission.Item, admitted <-chan struct{}) *callerpb.AskReply {
	refusal, retryAfter, latestStart := s.offer(item)
	switch refusal {
	case admission.QueueFull:
		return NotRun(req, callerpb.Reason_QUEUE_FULL, "too many requests of this class are queued: retry later", retryAfter)
	case admission.TooLate:
		return NotRun(req, callerpb.Reason_DEADLINE_TOO_SHORT, "the request cannot be answered by its deadline: retry later or set a longer deadline", retryAfter)
	}
	if s.options.Queue.Order == admission.FIFO {
		latestStart = item.Deadline
	}
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	reason := callerpb.Reason_DEADLINE_TOO_SHORT
	select {
	case <-admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		reason = callerpb.Reason_CANCELLED
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.Withdraw(item) {
		return nil
	}
	return NotRun(req, reason, "the request was queued until it could no longer be answered by its deadline: retry later", s.queue.Wait(item.Rank))
}

// NotRun returns the reply to a request that no leaf executed.
func NotRun(req *callerpb.AskRequest, reason callerpb.Reason, message string, retryAfter time.Duration) *callerpb.AskReply {
	return failureReply(req, callerpb.Outcome_NOT_RUN, reason, message, retryAfter)
}

// OutcomeUnknown returns the reply to a request that may have been executed.
func OutcomeUnknown(req *callerpb.AskRequest, reason callerpb.Reason, message string, retryAfter time.Duration) *callerpb.AskReply {
	return failureReply(req, callerpb.Outcome_UNKNOWN, reason, message, retryAfter)
}

func failureReply(req *callerpb.AskRequest, outcome callerpb.Outcome, reason callerpb.Reason, message string, retryAfter time.Duration) *callerpb.AskReply {
	return &callerpb.AskReply{
		RequestId:    req.GetRequestId(),
		Outcome:      outcome,
		Reason:       reason,
		Message:      message,
		RetryAfterMs: uint32((retryAfter + time.Millisecond - 1) / time.Millisecond),
	}
}

// buildReply returns an answer if enough shards contributed, and otherwise a failure
// with the coverage. A non-repeatable request needs every shard.
func buildReply(ctx context.Context, req *callerpb.AskRequest, result scatter.Result, maybeExecuted int, minCoverage float64, retryAfter time.Duration) *callerpb.AskReply {
	total := len(result.Contributed) + len(result.Missing)
	covered := len(result.Contributed) > 0 && float64(len(result.Contributed)) >= minCoverage*float64(total)
	if covered && (len(result.Missing) == 0 || !req.GetNotRepeatable()) {
		return &callerpb.AskReply{
			RequestId: req.GetRequestId(),
			Outcome:   callerpb.Outcome_ANSWERED,
			Snapshot:  &callerpb.Snapshot{Epoch: result.Snapshot.Epoch, IndexVersion: result.Snapshot.Version},
			Coverage:  coverage(result),
			Rows:      result.Rows,
		}
	}
	reply := OutcomeUnknown(req, reasonFor(ctx, result), "", retryAfter)
	reply.Coverage = coverage(result)
	if maybeExecuted == 0 {
		reply.Outcome = callerpb.Outcome_NOT_RUN
		reply.Message = "no leaf executed the request: retry later"
		return reply
	}
	reply.Message = fmt.Sprintf("%d of %d shards answered, and the request may have been executed: repeat it if it is repeatable, otherwise resend it with the same ticket",
		len(result.Contributed), total)
	return reply
}

// reasonFor returns the reason of a failed query: cancellation, then low coverage, then
// the cause at the first missing shard that has one.
func reasonFor(ctx context.Context, result scatter.Result) callerpb.Reason {
	if ctx.Err() == context.Canceled {
		return callerpb.Reason_CANCELLED
	}
	if len(result.Contributed) > 0 {
		return callerpb.Reason_LOW_COVERAGE
	}
	reasons := map[scatter.MissingReason]callerpb.Reason{
		scatter.NoReplica:           callerpb.Reason_NO_REPLICA,
		scatter.SnapshotUnavailable: callerpb.Reason_NO_REPLICA,
		scatter.Refused:             callerpb.Reason_LEAF_REFUSED,
		scatter.Failed:              callerpb.Reason_LEAF_LOST,
		scatter.TruncatedPart:       callerpb.Reason_LEAF_LOST,
	}
	for _, m := range result.Missing {
		if reason, ok := reasons[m.Reason]; ok {
			return reason
		}
	}
	return callerpb.Reason_DEADLINE_PASSED
}

func coverage(result scatter.Result) *callerpb.Coverage {
	c := &callerpb.Coverage{Contributed: result.Contributed}
	for _, m := range result.Missing {
		c.Missing = append(c.Missing, &callerpb.MissingShard{Shard: m.Name, Reason: missingReasons[m.Reason]})
	}
	return c
}

var missingReasons = [...]callerpb.MissingReason{
	scatter.ReasonNone:          callerpb.MissingReason_MISSING_UNSPECIFIED,
	scatter.NoReplica:           callerpb.MissingReason_NO_LIVE_REPLICA,
	scatter.Refused:             callerpb.MissingReason_REFUSED,
	scatter.Failed:              callerpb.MissingReason_FAILED,
	scatter.TooLate:             callerpb.MissingReason_TOO_LATE,
	scatter.SnapshotUnavailable: callerpb.MissingReason_OTHER_SNAPSHOT,
	scatter.TruncatedPart:       callerpb.MissingReason_CUT_SHORT,
}

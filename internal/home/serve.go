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

// Serve runs one request to its end. ctx must have a deadline. The reply names
// one of the three outcomes; NOT_RUN is given only where no leaf can have
// executed anything, now or later.
func (s *Service) Serve(ctx context.Context, ask *callerpb.AskRequest, rank uint32) *callerpb.AskReply {
	deadline := keepMargin(ctx, time.Now())
	s.mu.Lock()
	begin, barred := s.standing(ask, deadline, time.Now())
	s.mu.Unlock()
	if barred != nil {
		return barred
	}
	if refusal := s.await(ctx, ask, rank, deadline); refusal != nil {
		return refusal
	}
	s.mu.Lock()
	q := s.newQuery(ctx, ask, rank, deadline, begin)
	s.mu.Unlock()
	defer q.cancel()
	q.loop()
	result := q.finish()
	reached := q.reached
	s.queue.Done(rank, time.Since(q.start))
	s.queue.Admit()
	service := s.queue.Service(rank)
	spec := q.plan.spec
	text := ""
	if q.trial.barred {
		text = s.barredText(fingerprint(ask))
	}
	s.mu.Unlock()
	if text != "" && reached > 0 {
		return Unknown(ask, callerpb.Reason_BARRED, text, quarantine.FirstProbation)
	}
	return conclude(ctx, ask, result, reached, spec.GetMinCoverage(), service)
}

// keepMargin is the deadline by which the answer has to leave this host.
func keepMargin(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("home: Serve needs a deadline")
	}
	margin := time.Duration(float64(deadline.Sub(now)) * replyMargin)
	return deadline.Add(-min(margin, longestMargin))
}

// await waits for admission. It returns a refusal where the request was not
// admitted, at the moment that this is certain.
func (s *Service) await(ctx context.Context, ask *callerpb.AskRequest, rank uint32, deadline time.Time) *callerpb.AskReply {
	admitted := make(chan struct{})
	item := &admission.Item{Rank: rank, Deadline: deadline, Admitted: func() { close(admitted) }}
	s.mu.Lock()
	s.measureCapacity(time.Now())
	refusal, after := s.queue.Offer(item, time.Now())
	s.queue.Admit()
	latest := deadline.Add(-s.queue.Service(rank))
	s.mu.Unlock()
	switch refusal {
	case admission.QueueFull:
		return NotRun(ask, callerpb.Reason_QUEUE_FULL, "too many requests of the class wait: come back later", after)
	case admission.TooLate:
		return NotRun(ask, callerpb.Reason_DEADLINE_TOO_SHORT, "the request would not be answered by its deadline: come back later or allow more time", after)
	}
	if s.options.Queue.Order == admission.FIFO {
		latest = deadline
	}
	timer := time.NewTimer(time.Until(latest))
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
	return NotRun(ask, reason, "the request waited until it could no longer be answered in time: come back later", s.queue.Wait(rank))
}

// NotRun is the reply to a request that was executed nowhere.
func NotRun(ask *callerpb.AskRequest, reason callerpb.Reason, message string, after time.Duration) *callerpb.AskReply {
	return refuse(ask, callerpb.Outcome_NOT_RUN, reason, message, after)
}

// Unknown is the reply to a request that may have been executed.
func Unknown(ask *callerpb.AskRequest, reason callerpb.Reason, message string, after time.Duration) *callerpb.AskReply {
	return refuse(ask, callerpb.Outcome_UNKNOWN, reason, message, after)
}

func refuse(ask *callerpb.AskRequest, outcome callerpb.Outcome, reason callerpb.Reason, message string, after time.Duration) *callerpb.AskReply {
	return &callerpb.AskReply{
		RequestId:    ask.GetRequestId(),
		Outcome:      outcome,
		Reason:       reason,
		Message:      message,
		RetryAfterMs: uint32((after + time.Millisecond - 1) / time.Millisecond),
	}
}

// conclude makes the reply from the merged parts.
func conclude(ctx context.Context, ask *callerpb.AskRequest, result scatter.Result, reached int, minCoverage float64, after time.Duration) *callerpb.AskReply {
	total := len(result.Contributed) + len(result.Missing)
	enough := len(result.Contributed) > 0 && float64(len(result.Contributed)) >= minCoverage*float64(total)
	if enough && (len(result.Missing) == 0 || !ask.GetNotRepeatable()) {
		return &callerpb.AskReply{
			RequestId: ask.GetRequestId(),
			Outcome:   callerpb.Outcome_ANSWERED,
			Snapshot:  &callerpb.Snapshot{Epoch: result.Snapshot.Epoch, IndexVersion: result.Snapshot.Version},
			Coverage:  coverage(result),
			Rows:      result.Rows,
		}
	}
	reply := Unknown(ask, reasonFor(ctx, result), "", after)
	reply.Coverage = coverage(result)
	if reached == 0 {
		reply.Outcome = callerpb.Outcome_NOT_RUN
		reply.Message = "no leaf ran the request: come back later"
		return reply
	}
	reply.Message = fmt.Sprintf("%d of %d shards answered; the request may have run: repeat it if it is repeatable, else resend it with the same ticket",
		len(result.Contributed), total)
	return reply
}

// reasonFor names the reason that the most shards are missing for.
func reasonFor(ctx context.Context, result scatter.Result) callerpb.Reason {
	if ctx.Err() == context.Canceled {
		return callerpb.Reason_CANCELLED
	}
	if len(result.Contributed) > 0 {
		return callerpb.Reason_LOW_COVERAGE
	}
	reasons := map[scatter.Missing]callerpb.Reason{
		scatter.NoReplica: callerpb.Reason_NO_REPLICA,
		scatter.NotHeld:   callerpb.Reason_NO_REPLICA,
		scatter.Refused:   callerpb.Reason_LEAF_REFUSED,
		scatter.Failed:    callerpb.Reason_LEAF_LOST,
		scatter.Clipped:   callerpb.Reason_LEAF_LOST,
	}
	for _, m := range result.Missing {
		if reason, ok := reasons[m.Why]; ok {
			return reason
		}
	}
	return callerpb.Reason_DEADLINE_PASSED
}

func coverage(result scatter.Result) *callerpb.Coverage {
	c := &callerpb.Coverage{Contributed: result.Contributed}
	for _, m := range result.Missing {
		c.Missing = append(c.Missing, &callerpb.MissingShard{Shard: m.Name, Reason: missingReasons[m.Why]})
	}
	return c
}

var missingReasons = [...]callerpb.MissingReason{
	scatter.NotMissing: callerpb.MissingReason_MISSING_UNSPECIFIED,
	scatter.NoReplica:  callerpb.MissingReason_NO_LIVE_REPLICA,
	scatter.Refused:    callerpb.MissingReason_REFUSED,
	scatter.Failed:     callerpb.MissingReason_FAILED,
	scatter.TooLate:    callerpb.MissingReason_TOO_LATE,
	scatter.NotHeld:    callerpb.MissingReason_OTHER_SNAPSHOT,
	scatter.Clipped:    callerpb.MissingReason_CUT_SHORT,
}

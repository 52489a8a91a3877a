package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/internal/coordination"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/team"
)

const (
	// patienceShare is the share of the time that a caller has left for which it waits when it is told
	// to retry.
	patienceShare = 1.0 / 3
	// keepShare is the share of the objective for which an allowance is kept at most. A caller that
	// returns later is late, and the allowance would be missing for a request that is on time.
	keepShare = 0.5
)

// takeQuota takes a request from the limit of its team, before it is sent anywhere. If the limit is
// exceeded, it returns the refusal.
func (q *query) takeQuota(ctx context.Context, member *team.Team) (Answer, bool) {
	if member == nil || !member.Limit.Limited() {
		return Answer{}, true
	}
	caller := coordination.Caller{
		Patience:  time.Duration(min(patienceShare*float64(max(q.request.Timeout, 0)), keepShare*float64(q.objective))),
		Returning: q.hasWaited(minRetryAfter), Late: q.hasWaited(q.objective),
	}
	if caller.Late {
		caller.Patience = 0
	}
	waitCtx, cancel := context.WithDeadline(ctx, q.end)
	defer cancel()
	ruling := q.gateway.coordination.Take(waitCtx, member.Name, member.Limit, caller)
	q.trace.quota = describeRuling(ruling, q.waited)
	if ruling.Action == quota.Refuse {
		reason := fmt.Sprintf("over the limit of team %s (%g requests/s, burst %g): refused by %s", member.Name, member.Limit.PerSecond, member.Limit.Burst, q.trace.quota)
		return Answer{Outcome: OverLimit, Cause: CauseOverLimit, Reason: reason, RetryAfter: max(ruling.RetryAfter, minRetryAfter)}, false
	}
	if ruling.Action == quota.AskFirst && ctx.Err() == nil {
		q.gateway.coordination.Return(member.Name)
		return notRun(CauseNoTime, "the caller's timeout expired while the coordinator was asked about the limit of its team", minRetryAfter), false
	}
	if ctx.Err() != nil {
		q.gateway.coordination.Return(member.Name)
		return Answer{Outcome: CallerLeft, Cause: CauseCallerLeft, Reason: "the caller closed its connection"}, false
	}
	return Answer{}, true
}

// hasWaited reports whether the caller may have sent its first attempt the given time ago. A host
// that sees few requests does not know the usual timeout of the callers, so a timeout below that
// of the route counts too.
func (q *query) hasWaited(ago time.Duration) bool {
	return q.waited >= ago || q.request.Timeout > 0 && q.request.Timeout <= q.entry.Timeout-ago
}

// settleQuota gives the request back to the limit of its team if it was not run, and returns the
// answer.
func (q *query) settleQuota(member *team.Team, a Answer) Answer {
	if a.Outcome == NotRun && member != nil && member.Limit.Limited() {
		q.gateway.coordination.Return(member.Name)
	}
	return a
}

// describeRuling says who decided on a request, and with which inputs.
func describeRuling(r coordination.Ruling, waited time.Duration) string {
	by := "this host"
	switch r.By {
	case coordination.ByCoordinator:
		by = "coordinator " + r.Coordinator
	case coordination.ByFraction:
		by = fmt.Sprintf("the own fraction of this host (1/%d)", max(r.Hosts, 1))
		if r.Coordinator != "" {
			by += ", as coordinator " + r.Coordinator + " did not answer"
		}
	}
	return fmt.Sprintf("%s after %v, caller waited %v", by, r.Waited.Round(time.Microsecond), waited)
}

package gateway

import "time"

const (
	// budgetShare and slackShare are the shares of the retry budget that a host uses. The rest
	// compensates for the inaccuracy of the sliding window.
	budgetShare = 0.9
	slackShare  = 0.8
	// hedgeBudgetShare is the share of the budget that hedges may use. The rest is reserved for
	// retries, which replace failed attempts.
	hedgeBudgetShare = 0.85
)

// takeBudget takes an extra attempt from this host's share of the retry budget of a service. The
// budget is divided among all hosts.
func (q *query) takeBudget(g *group, kind attemptKind, now time.Time) bool {
	s := q.gateway.settings.GetRetry()
	hosts := float64(max(q.view.BudgetSharers, 1))
	part := 1.0
	// In an overload a hedge would only displace another request.
	if kind == hedgeAttempt && q.overloaded(now) {
		return false
	}
	if kind == hedgeAttempt {
		part = hedgeBudgetShare
	}
	if q.entry.Query != nil {
		part *= q.state.RetryBudgetShare(now)
	}
	slack := q.gateway.startupShare(now) * slackShare * s.GetSlack() / hosts
	return g.takeExtra(part, budgetShare*s.GetShare(), slack, now)
}

// startupShare returns the share of the slack that a host uses during its first window, because the
// previous process may have used the rest.
func (g *Gateway) startupShare(now time.Time) float64 {
	window := g.settings.GetRetry().GetWindow().AsDuration()
	return min(1, 0.5+0.5*float64(now.Sub(g.started))/float64(window))
}

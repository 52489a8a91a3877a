package gateway

import "time"

const (
	// budgetShare and slackShare are the parts of the retry budget that a host
	// uses; the rest is for the edges of the sliding window.
	budgetShare = 0.9
	slackShare  = 0.8
	// hedgePart is the part of the budget that hedges may use: a hedge may
	// prove needless, a retry replaces what has failed.
	hedgePart = 0.85
)

// takeBudget takes an extra attempt from this host's part of the retry budget of a service,
// which all hosts share.
func (q *query) takeBudget(g *group, kind attemptKind, now time.Time) bool {
	s := q.gateway.settings.GetRetry()
	hosts := float64(max(q.view.Sharers, 1))
	part := 1.0
	// A copy of a request only takes the place of another: without copies in an
	// overload a tenth more was answered in time at three times the callers.
	if kind == hedgeAttempt && q.overloaded() {
		return false
	}
	if kind == hedgeAttempt {
		part = hedgePart
	}
	if q.entry.Query != nil {
		part *= q.state.ExtraShare(now)
	}
	slack := q.gateway.startedShare(now) * slackShare * s.GetSlack() / hosts
	return g.extra(part, budgetShare*s.GetShare(), slack, now)
}

// startedShare is the part of the slack of the retry budget that a host uses in
// its first window: the process before it may have used its own.
func (g *Gateway) startedShare(now time.Time) float64 {
	window := g.settings.GetRetry().GetWindow().AsDuration()
	return min(1, 0.5+0.5*float64(now.Sub(g.started))/float64(window))
}

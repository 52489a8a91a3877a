package gateway

import (
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/retry"
)

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
	share := budgetShare * s.GetShare()
	if kind == hedgeAttempt {
		part = hedgePart
		share -= q.gateway.failing.share(now)
	}
	if q.entry.Query != nil {
		part *= q.state.ExtraShare(now)
	}
	slack := q.gateway.startedShare(now) * slackShare * s.GetSlack() / hosts
	return g.extra(part, share, slack, now)
}

// failures tells how many of the attempts of a host fail at present. Hedges leave that share
// of the budget to the retries that are to come: a hedge may prove needless, a retry replaces
// what has failed. It is safe for concurrent use.
type failures struct {
	mu     sync.Mutex
	window *retry.Window
}

// failureSpan is the time over which failures are counted: so long that a host with one query
// a second knows, so short that hedges come back soon.
const failureSpan = 4 * time.Second

func newFailures() *failures { return &failures{window: retry.NewWindow(failureSpan)} }

// note takes in an attempt.
func (f *failures) note(kind attemptKind, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case firstAttempt:
		f.window.First(1, now)
	case retryAttempt:
		f.window.Extra(1, now)
	}
}

// share returns the share of the attempts that is retried.
func (f *failures) share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window.Share(now)
}

// startedShare is the part of the slack of the retry budget that a host uses in
// its first window: the process before it may have used its own.
func (g *Gateway) startedShare(now time.Time) float64 {
	window := g.settings.GetRetry().GetWindow().AsDuration()
	return min(1, 0.5+0.5*float64(now.Sub(g.started))/float64(window))
}

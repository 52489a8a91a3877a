package fanout

import "time"

// Shares of the retry budget (0 to 1) that a query may use, by its progress.
const (
	// overdueShare applies to queries past AnswerAt. A much smaller share leaves more of
	// them without any answer.
	overdueShare = 0.85
	// satisfiedShare applies to queries that already have MinShare of the shards.
	satisfiedShare = 0.8
	// fullShareLacking is the number of lacking shards up to which the whole budget
	// may be used. Each further one reduces the share by shareStep, down to
	// minRetryBudgetShare.
	fullShareLacking    = 3
	shareStep           = 0.1
	minRetryBudgetShare = 0.5
)

// RetryBudgetShare returns the share (0 to 1) of the retry budget up to which the query
// may make extra attempts at now. When the budget is short, it favors queries
// that need few more shards to reach MinShare in time; attempts in flight count
// as successful.
func (q *Query) RetryBudgetShare(now time.Time) float64 {
	if !now.Before(q.settings.AnswerAt) {
		return overdueShare
	}
	lacking := q.shardsLacking()
	switch {
	case lacking <= 0:
		return satisfiedShare
	case lacking <= fullShareLacking:
		return 1
	}
	return max(minRetryBudgetShare, 1-shareStep*float64(lacking-fullShareLacking))
}

// shardsLacking returns how many shards MinShare requires beyond those that are
// covered or have an attempt in flight.
func (q *Query) shardsLacking() int {
	expected := 0
	for i := range q.shards {
		if s := &q.shards[i]; s.covered || s.running > 0 {
			expected++
		}
	}
	return q.MinShards() - expected
}

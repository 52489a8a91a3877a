package fanout

import "time"

// The parts of the retry budget that queries may use, by what they lack; chosen
// on days on which most servers refuse most requests, between 0.5 and 1.
const (
	// lateShare is that of queries whose time to answer has passed. At 0.6 twice
	// as many of them ended without any answer.
	lateShare = 0.85
	// enoughShare is that of queries that have enough shards already.
	enoughShare = 0.8
	// fewLacking is the number of lacking shards up to which all may be used; for
	// each one more it is lackingStep less, down to leastExtraShare.
	fewLacking      = 3
	lackingStep     = 0.1
	leastExtraShare = 0.5
)

// ExtraShare returns the part (0 to 1) of the retry budget up to which the query
// may take extra attempts at now. Where the budget is short, it goes first to
// queries that can still reach the least share of shards in time with few of
// them; attempts under way count as if they succeeded.
func (q *Query) ExtraShare(now time.Time) float64 {
	if !now.Before(q.settings.AnswerAt) {
		return lateShare
	}
	lacking := q.lacking()
	switch {
	case lacking <= 0:
		return enoughShare
	case lacking <= fewLacking:
		return 1
	}
	return max(leastExtraShare, 1-lackingStep*float64(lacking-fewLacking))
}

// lacking returns how many more shards the least share needs beyond those that
// are in or under way.
func (q *Query) lacking() int {
	hoped := 0
	for i := range q.shards {
		if s := &q.shards[i]; s.covered || s.running > 0 {
			hoped++
		}
	}
	return q.Needed() - hoped
}

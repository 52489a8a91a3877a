package fanout

import (
	"math"
	"time"
)

// Settings holds the limits of one query.
type Settings struct {
	// Shards is the number of shards, which are numbered from 0.
	Shards int
	// Top is the number of records of an answer.
	Top int
	// MinShare is the minimum share of the shards (0 to 1) in an answer.
	MinShare float64
	// MaxAttempts is the maximum number of attempts per shard.
	MaxAttempts int
	// AnswerAt is when an answer that covers MinShare is returned without waiting
	// for the remaining shards.
	AnswerAt time.Time
	// Deadline is the deadline, at which the query ends with or without an answer.
	Deadline time.Time
}

type shard struct {
	attempts int
	running  int
	// reached is set if an attempt may have reached a server.
	reached bool
	// nextAt is when the next attempt may be made: a hedge while one is in flight
	// (the zero time means never), a retry otherwise.
	nextAt  time.Time
	covered bool
	closed  bool
}

// Query is the state of one query. It is not safe for concurrent use.
type Query struct {
	settings Settings
	shards   []shard
	blocks   []Block
	// best holds the greatest records of the blocks, greatest first.
	best    []byte
	covered int
}

// New returns a query without attempts.
func New(settings Settings) *Query {
	return &Query{settings: settings, shards: make([]shard, settings.Shards)}
}

// Sent records that an attempt for a shard was sent. A hedge is due at hedgeAt if
// the attempt has not ended by then; the zero time means never.
func (q *Query) Sent(n int, hedgeAt time.Time) {
	s := &q.shards[n]
	s.attempts++
	s.running++
	s.reached = true
	s.nextAt = hedgeAt
}

// Ended records that an attempt for a shard ended.
func (q *Query) Ended(n int) {
	s := &q.shards[n]
	s.running--
	if s.running == 0 {
		s.nextAt = time.Time{}
	}
}

// Refused records that a server refused an attempt without running it. The
// attempt does not count towards MaxAttempts, but the next one counts as a retry.
func (q *Query) Refused(n int) {
	q.Ended(n)
	q.shards[n].attempts--
}

// NotSent records that an attempt ended without reaching a server. It does not
// count as an attempt.
func (q *Query) NotSent(n int) {
	q.Refused(n)
	s := &q.shards[n]
	s.reached = s.attempts > 0
}

// Postpone sets when the next attempt for a shard may be made.
func (q *Query) Postpone(n int, at time.Time) { q.shards[n].nextAt = at }

// GiveUp closes a shard: it gets no more attempts.
func (q *Query) GiveUp(n int) { q.shards[n].closed = true }

// Covered reports whether the answer contains a shard so far.
func (q *Query) Covered(n int) bool { return q.shards[n].covered }

// Running returns the number of attempts in flight for a shard.
func (q *Query) Running(n int) int { return q.shards[n].running }

// CoveredCount returns the number of shards that the answer contains so far.
func (q *Query) CoveredCount() int { return q.covered }

// ShardState returns the state of a shard at now: whether an attempt is in flight,
// whether one may be sent, and whether the shard gets no more.
func (q *Query) ShardState(n int, now time.Time) (running, waiting, closed bool) {
	s := &q.shards[n]
	closed = s.closed || s.attempts >= q.settings.MaxAttempts && s.running == 0
	return s.running > 0, s.running == 0 && !closed && !now.Before(s.nextAt), closed
}

// MinShards returns the minimum number of shards in an answer.
func (q *Query) MinShards() int {
	return max(1, int(math.Ceil(q.settings.MinShare*float64(q.settings.Shards))))
}

// AddSuspension moves the deadlines earlier by d, the time that the machine was suspended
// and that its monotonic clock did not count.
func (q *Query) AddSuspension(d time.Duration) {
	q.settings.AnswerAt, q.settings.Deadline = q.settings.AnswerAt.Add(-d), q.settings.Deadline.Add(-d)
}

// DueAttempt is a shard that may get another attempt.
type DueAttempt struct {
	Shard int
	// Hedge is set if an attempt is still in flight.
	Hedge bool
	// First is set if no attempt can have reached a server.
	First bool
}

// DueAttempts returns the shards that may get another attempt at now: those with no
// attempt in flight, and those whose hedge is due. It closes shards that have
// used all their attempts.
func (q *Query) DueAttempts(now time.Time) []DueAttempt {
	var needs []DueAttempt
	for n := range q.shards {
		s := &q.shards[n]
		if s.covered || s.closed {
			continue
		}
		if s.attempts >= q.settings.MaxAttempts {
			q.closeIfIdle(n)
			continue
		}
		if now.Before(s.nextAt) || (s.running > 0 && s.nextAt.IsZero()) {
			continue
		}
		needs = append(needs, DueAttempt{Shard: n, Hedge: s.running > 0, First: !s.reached})
	}
	return needs
}

func (q *Query) closeIfIdle(n int) {
	if q.shards[n].running == 0 {
		q.GiveUp(n)
	}
}

// HasMinShare reports whether the answer covers MinShare of the shards so far.
func (q *Query) HasMinShare() bool {
	return q.covered >= q.MinShards()
}

// Finished reports whether the query ends at now: no shard is pending, enough
// shards are covered and AnswerAt has passed, or Deadline has passed.
func (q *Query) Finished(now time.Time) bool {
	if !now.Before(q.settings.Deadline) || q.pending() == 0 {
		return true
	}
	return q.HasMinShare() && !now.Before(q.settings.AnswerAt)
}

// pending returns the number of shards that are not covered yet but can be.
func (q *Query) pending() int {
	pending := 0
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && (!s.closed || s.running > 0) {
			pending++
		}
	}
	return pending
}

// NextWakeup returns when the query must be re-evaluated if no event occurs earlier.
func (q *Query) NextWakeup(now time.Time) time.Time {
	next := q.settings.Deadline
	if q.settings.AnswerAt.After(now) && q.settings.AnswerAt.Before(next) {
		next = q.settings.AnswerAt
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.covered || s.closed || s.nextAt.IsZero() || s.attempts >= q.settings.MaxAttempts {
			continue
		}
		if s.nextAt.Before(next) {
			next = s.nextAt
		}
	}
	return next
}

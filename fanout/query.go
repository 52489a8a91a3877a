package fanout

import (
	"math"
	"time"
)

// Settings bound one query.
type Settings struct {
	// Shards is the number of shards; they are numbered from 0.
	Shards int
	// Top is the number of records of an answer.
	Top int
	// MinShare is the least share of the shards (0 to 1) of an answer.
	MinShare float64
	// MaxAttempts is the number of attempts that one shard may get.
	MaxAttempts int
	// AnswerAt is when an answer with MinShare of the shards goes out although
	// others are still awaited.
	AnswerAt time.Time
	// End is when the query ends, with or without an answer.
	End time.Time
}

type shard struct {
	attempts int
	running  int
	// arrived tells that an attempt may have reached a server.
	arrived bool
	// nextAt is when another attempt may be made: while one runs, a hedge, and
	// never at the zero time; otherwise a retry.
	nextAt  time.Time
	covered bool
	closed  bool
}

// Query is the state of one query. It is not safe for concurrent use.
type Query struct {
	settings Settings
	shards   []shard
	blocks   []Block
	// best are the greatest records of the blocks, greatest first.
	best    []byte
	covered int
}

// New returns a query to which no attempt was made.
func New(settings Settings) *Query {
	return &Query{settings: settings, shards: make([]shard, settings.Shards)}
}

// Sent notes an attempt for a shard. hedgeAt is when another one is due if
// this one has not ended; the zero time is never.
func (q *Query) Sent(n int, hedgeAt time.Time) {
	s := &q.shards[n]
	s.attempts++
	s.running++
	s.arrived = true
	s.nextAt = hedgeAt
}

// Ended notes that an attempt of a shard ended.
func (q *Query) Ended(n int) {
	s := &q.shards[n]
	s.running--
	if s.running == 0 {
		s.nextAt = time.Time{}
	}
}

// Refused notes that a server refused an attempt without running it. It does
// not count towards MaxAttempts, but the next one is an extra one.
func (q *Query) Refused(n int) {
	q.Ended(n)
	q.shards[n].attempts--
}

// NotSent notes that an attempt ended and never reached a server, so that it
// does not count.
func (q *Query) NotSent(n int) {
	q.Refused(n)
	s := &q.shards[n]
	s.arrived = s.attempts > 0
}

// Later puts off the next attempt of a shard, which cannot be made now.
func (q *Query) Later(n int, at time.Time) { q.shards[n].nextAt = at }

// GiveUp notes that a shard gets no more attempts.
func (q *Query) GiveUp(n int) { q.shards[n].closed = true }

// Covered reports whether a shard is in the answer so far.
func (q *Query) Covered(n int) bool { return q.shards[n].covered }

// Running returns the number of attempts of a shard that have not ended.
func (q *Query) Running(n int) int { return q.shards[n].running }

// CoveredCount returns the number of shards in the answer so far.
func (q *Query) CoveredCount() int { return q.covered }

// Attempts tells how far the query is with the attempts of a shard at now.
func (q *Query) Attempts(n int, now time.Time) (running, waiting, closed bool) {
	s := &q.shards[n]
	closed = s.closed || s.attempts >= q.settings.MaxAttempts && s.running == 0
	return s.running > 0, s.running == 0 && !closed && !now.Before(s.nextAt), closed
}

// Needed returns the number of shards that an answer must hold.
func (q *Query) Needed() int {
	return max(1, int(math.Ceil(q.settings.MinShare*float64(q.settings.Shards))))
}

// Slept takes in that the machine was suspended for a time, which the clock did not count.
func (q *Query) Slept(d time.Duration) {
	q.settings.AnswerAt, q.settings.End = q.settings.AnswerAt.Add(-d), q.settings.End.Add(-d)
}

// Need is a shard that another attempt may be made for.
type Need struct {
	Shard int
	// Hedge tells that an attempt is still running.
	Hedge bool
	// First tells that no attempt has reached a server.
	First bool
}

// Needs returns the shards that may get another attempt at now: those with no
// attempt running, and those whose attempt has run for so long that a second
// one is due.
func (q *Query) Needs(now time.Time) []Need {
	var needs []Need
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
		needs = append(needs, Need{Shard: n, Hedge: s.running > 0, First: !s.arrived})
	}
	return needs
}

func (q *Query) closeIfIdle(n int) {
	if q.shards[n].running == 0 {
		q.GiveUp(n)
	}
}

// Enough reports whether the answer so far holds the least share of shards.
func (q *Query) Enough() bool {
	return q.covered >= q.Needed()
}

// Finished reports whether the query ends at now: all shards are in or have
// ended, enough are and it is time to answer, or the time is up.
func (q *Query) Finished(now time.Time) bool {
	if !now.Before(q.settings.End) || q.open() == 0 {
		return true
	}
	return q.Enough() && !now.Before(q.settings.AnswerAt)
}

// open returns the number of shards that may still come.
func (q *Query) open() int {
	open := 0
	for i := range q.shards {
		s := &q.shards[i]
		if !s.covered && (!s.closed || s.running > 0) {
			open++
		}
	}
	return open
}

// Next returns when the query must be looked at again if nothing comes before.
func (q *Query) Next(now time.Time) time.Time {
	next := q.settings.End
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

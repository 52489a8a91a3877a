package fanout

import (
	"bytes"
	"math"
	"time"
)

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

// Block is what one call brought for one or more shards.
type Block struct {
	// Shards are the numbers of the shards, each once.
	Shards []int
	// Signatures are those of the parts, in the order of Shards.
	Signatures []string
	// Records holds the greatest records of the parts, in any order.
	Records []byte
	// Floor is set where records smaller than it were left out.
	Floor []byte
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

// Offer takes a block into the answer if that makes it hold more shards. Blocks
// that share a shard with it are left out for it, and those whose floor then
// lies above the smallest record of the answer.
func (q *Query) Offer(b Block) bool {
	if !q.anyCovered(b.Shards) {
		return q.add(b)
	}
	return q.exchange(b)
}

// add takes a block of shards that are not covered. The floors of the blocks
// before stay true, as more records only raise the smallest one.
func (q *Query) add(b Block) bool {
	best := Top(q.settings.Top, q.best, AtLeast(q.Floor(), b.Records))
	if len(b.Floor) > 0 && len(sound(q.settings.Top, best, []Block{b})) == 0 {
		return false
	}
	q.blocks = append(q.blocks, b)
	q.best = best
	q.mark(b.Shards)
	return true
}

// exchange takes a block in place of those that share a shard with it.
func (q *Query) exchange(b Block) bool {
	blocks := settle(q.settings.Top, append(without(q.blocks, b.Shards), b))
	count := 0
	for _, kept := range blocks {
		count += len(kept.Shards)
	}
	if count <= q.covered {
		return false
	}
	q.replace(blocks)
	return true
}

func (q *Query) anyCovered(shards []int) bool {
	for _, n := range shards {
		if q.shards[n].covered {
			return true
		}
	}
	return false
}

// without returns the blocks that hold none of the shards.
func without(blocks []Block, shards []int) []Block {
	mine := make(map[int]bool, len(shards))
	for _, n := range shards {
		mine[n] = true
	}
	kept := make([]Block, 0, len(blocks)+1)
	for _, b := range blocks {
		if !overlaps(b, mine) {
			kept = append(kept, b)
		}
	}
	return kept
}

func overlaps(b Block, shards map[int]bool) bool {
	for _, n := range b.Shards {
		if shards[n] {
			return true
		}
	}
	return false
}

// settle returns the blocks without those of which a record is left out that
// belongs among the greatest of all that are returned.
func settle(top int, blocks []Block) []Block {
	for {
		kept := sound(top, merge(top, blocks), blocks)
		if len(kept) == len(blocks) {
			return blocks
		}
		blocks = kept
	}
}

func (q *Query) replace(blocks []Block) {
	q.blocks = blocks
	q.best = merge(q.settings.Top, blocks)
	q.covered = 0
	for i := range q.shards {
		q.shards[i].covered = false
	}
	for _, b := range blocks {
		q.mark(b.Shards)
	}
}

func (q *Query) mark(shards []int) {
	for _, n := range shards {
		q.shards[n].covered = true
	}
	q.covered += len(shards)
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
	return q.covered > 0 && float64(q.covered) >= q.settings.MinShare*float64(q.settings.Shards)
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

// Answer is what a query gathered.
type Answer struct {
	// Signatures are those of the parts that are in, in the order in which
	// their blocks came.
	Signatures []string
	// Missing is the number of shards that are not in.
	Missing int
	// Records are the greatest records, greatest first.
	Records []byte
}

// Floor returns the smallest record that a part still to come can bring into
// the answer, or nil where any can.
func (q *Query) Floor() []byte {
	if q.settings.Top <= 0 || len(q.best) < q.settings.Top*RecordSize {
		return nil
	}
	return q.best[len(q.best)-RecordSize:]
}

// Answer returns the answer with the parts that came so far.
func (q *Query) Answer() Answer {
	a := Answer{
		Signatures: make([]string, 0, q.covered),
		Missing:    q.settings.Shards - q.covered,
		Records:    q.best,
	}
	for _, b := range q.blocks {
		a.Signatures = append(a.Signatures, b.Signatures...)
	}
	return a
}

func merge(top int, blocks []Block) []byte {
	sources := make([][]byte, 0, len(blocks))
	for _, b := range blocks {
		sources = append(sources, b.Records)
	}
	return Top(top, sources...)
}

// sound returns the blocks of which no record is left out that belongs among
// the greatest.
func sound(top int, records []byte, blocks []Block) []Block {
	var smallest []byte
	if len(records) >= top*RecordSize {
		smallest = records[len(records)-RecordSize:]
	}
	kept := make([]Block, 0, len(blocks))
	for _, b := range blocks {
		if len(b.Floor) == 0 || (smallest != nil && bytes.Compare(smallest, b.Floor) >= 0) {
			kept = append(kept, b)
		}
	}
	return kept
}

// MissingShards returns the numbers of the shards that are not in.
func (q *Query) MissingShards() []int {
	var missing []int
	for n := range q.shards {
		if !q.shards[n].covered {
			missing = append(missing, n)
		}
	}
	return missing
}

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
	return int(math.Ceil(q.settings.MinShare*float64(q.settings.Shards))) - hoped
}

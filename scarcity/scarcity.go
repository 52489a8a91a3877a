package scarcity

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// slowFactor is how many times longer than the middle shard of a query one must take
	// to be scarce: as much as a server must be slower than another to be called slow.
	slowFactor = 3
	// leastPart is the part of the objective below which no shard is scarce: its parts
	// come in time whatever the others take.
	leastPart = 0.25
	// mostInTurn is the number of scarce shards that a query needs up to which it asks no
	// more than it needs. One that needs more runs out of time while it asks them in turn.
	mostInTurn = 3
)

// State is how far a query is with a shard.
type State int

const (
	// Waiting: an attempt may be made now.
	Waiting State = iota
	// Running: an attempt is under way.
	Running
	// Resting: an attempt may be made later.
	Resting
	// Covered: its part is in.
	Covered
	// Closed: it gets no more attempts.
	Closed
)

// Verdict is what becomes of a shard now.
type Verdict int

const (
	// Ask: it is asked, whatever waits there.
	Ask Verdict = iota
	// AskIfIdle: it is asked where that takes nobody's place.
	AskIfIdle
	// LeaveOut: it is not asked now.
	LeaveOut
)

// Shard is what a query knows of one of its shards.
type Shard struct {
	State State
	// Run is how long the server that brings its part first takes for it, Expected the same
	// with the wait there; 0 is unknown, and good. The wait makes no shard scarce: where
	// all servers are busy it changes from one moment to the next.
	Run, Expected time.Duration
}

// Choice is the order in which one query asks scarce shards.
type Choice struct {
	order []int
}

// NewChoice draws the order for a query over a number of shards. The draw is the host's, so
// that callers cannot choose it.
func NewChoice(shards int, rng *rand.Rand) *Choice { return &Choice{order: rng.Perm(shards)} }

// Terms are those of one query.
type Terms struct {
	// Needed is the number of shards that its answer must hold, Spare that which an answer
	// may lack to any query over the same shards.
	Needed, Spare int
	// Objective is the time within which an answer has its full worth, Left what is left
	// of it for parts to come.
	Objective, Left time.Duration
}

// Decide returns what becomes of each shard, or nil where none is scarce. The verdict counts
// for shards that are Waiting.
func (c *Choice) Decide(shards []Shard, t Terms) []Verdict {
	scarce := mark(shards, t.Objective)
	if !slices.Contains(scarce, true) {
		return nil
	}
	verdicts := make([]Verdict, len(shards))
	lacking := t.Needed - hoped(shards, scarce)
	if lacking <= 0 {
		return c.optional(verdicts, scarce, t.Spare)
	}
	if lacking > mostInTurn {
		return verdicts
	}
	for i, s := range shards {
		if scarce[i] && s.State == Running {
			lacking--
		}
	}
	for _, i := range c.candidates(shards, scarce, t.Left) {
		if lacking <= 0 {
			verdicts[i] = LeaveOut
		}
		lacking--
	}
	return verdicts
}

// optional gives the verdicts of a query that needs no scarce shard: it asks them unless
// others need them: a place that makes a query whole brings its worth, one more part of a
// query that is whole brings the 40th part of it with 87 shards.
func (c *Choice) optional(verdicts []Verdict, scarce []bool, spare int) []Verdict {
	verdict, count := AskIfIdle, 0
	for _, s := range scarce {
		if s {
			count++
		}
	}
	if count > spare {
		verdict = LeaveOut
	}
	for i, s := range scarce {
		if s {
			verdicts[i] = verdict
		}
	}
	return verdicts
}

// candidates returns the scarce shards that may be asked now: first those that can be in
// time, in the order drawn, so that queries spread over them, then the others, the soonest
// first. A query that spent its time on a shard without any server was late although
// four others had room.
func (c *Choice) candidates(shards []Shard, scarce []bool, left time.Duration) []int {
	var inTime, late []int
	for _, i := range c.order {
		switch {
		case !scarce[i] || shards[i].State != Waiting:
		case shards[i].Expected <= left:
			inTime = append(inTime, i)
		default:
			late = append(late, i)
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(shards[a].Expected, shards[b].Expected) })
	return append(inTime, late...)
}

// mark tells which shards are scarce.
func mark(shards []Shard, objective time.Duration) []bool {
	scarce := make([]bool, len(shards))
	limit := max(slowFactor*middle(shards), time.Duration(leastPart*float64(objective)))
	for i, s := range shards {
		scarce[i] = s.Run > limit
	}
	return scarce
}

// middle returns the median of the run times; what is unknown is good.
func middle(shards []Shard) time.Duration {
	if len(shards) == 0 {
		return 0
	}
	times := make([]time.Duration, len(shards))
	for i, s := range shards {
		times[i] = s.Run
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// hoped returns the number of shards that are in or will be without the scarce ones.
func hoped(shards []Shard, scarce []bool) int {
	n := 0
	for i, s := range shards {
		if s.State == Covered || !scarce[i] && s.State != Closed {
			n++
		}
	}
	return n
}

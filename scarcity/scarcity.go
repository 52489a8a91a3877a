package scarcity

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// slowFactor is how many times longer than the median shard of a query a shard must
	// take to be scarce. It is the factor from which package replica considers a server slow.
	slowFactor = 3
	// minSlowShare is the service time, as a share of the objective, up to which no shard is
	// scarce: its parts arrive in time, even if the other shards are much faster.
	minSlowShare = 0.25
	// maxSequential is the largest number of scarce shards that a query may need and still
	// ask no more than it needs. A query that needs more would run out of time by asking
	// replacements one after the other, and asks all of them.
	maxSequential = 3
)

// State is the progress of a query at one shard.
type State int

const (
	// Waiting means that an attempt may be made now.
	Waiting State = iota
	// Running means that an attempt is in flight.
	Running
	// BackingOff means that an attempt may be made later.
	BackingOff
	// Covered means that the part of the shard has arrived.
	Covered
	// Closed means that no more attempts are made.
	Closed
)

// Verdict is the decision on one shard.
type Verdict int

const (
	// Ask means that the shard is asked, even if other requests wait for its servers.
	Ask Verdict = iota
	// AskIfIdle means that the shard is asked only at servers where that displaces no other
	// request.
	AskIfIdle
	// Skip means that the shard is not asked for now.
	Skip
)

// Shard describes one shard of a query.
type Shard struct {
	State State
	// ServiceTime is the processing time of the server that is expected to answer first; Expected
	// is the sum of it and the wait there. 0 means unknown, which counts as fast. Only ServiceTime
	// decides whether a shard is scarce, because the wait changes too quickly while all servers
	// are busy.
	ServiceTime, Expected time.Duration
}

// AskOrder is the order in which one query asks scarce shards.
type AskOrder struct {
	order []int
}

// NewAskOrder draws a random order for a query over the given number of shards. rng belongs
// to the host, so that callers cannot influence the order.
func NewAskOrder(shards int, rng *rand.Rand) *AskOrder { return &AskOrder{order: rng.Perm(shards)} }

// Requirements are the requirements of one query.
type Requirements struct {
	// Needed is the number of shards whose parts the answer must contain. MaxMissing is the
	// largest number of parts that may be missing from the answer to any query over the same
	// shards, not only to this one.
	Needed, MaxMissing int
	// Objective is the time within which an answer has its full value; Remaining is the part
	// of it that is left.
	Objective, Remaining time.Duration
}

// Decide returns a verdict for each shard, or nil if no shard is scarce. Verdicts apply only
// to shards that are Waiting.
func (o *AskOrder) Decide(shards []Shard, r Requirements) []Verdict {
	scarce := findScarce(shards, r.Objective)
	if !slices.Contains(scarce, true) {
		return nil
	}
	verdicts := make([]Verdict, len(shards))
	missing := r.Needed - countWithoutScarce(shards, scarce)
	if missing <= 0 {
		return o.verdictsIfUnneeded(verdicts, scarce, r.MaxMissing)
	}
	if missing > maxSequential {
		return verdicts
	}
	for i, s := range shards {
		if scarce[i] && s.State == Running {
			missing--
		}
	}
	for _, i := range o.candidates(shards, scarce, r.Remaining) {
		if missing <= 0 {
			verdicts[i] = Skip
		}
		missing--
	}
	return verdicts
}

// verdictsIfUnneeded fills in the verdicts of a query that needs no scarce shard. It skips all
// scarce shards if there are more of them than maxMissing, because then other queries need some of
// them: a slot there can make another answer sufficient, but adds only one more part to this one.
func (o *AskOrder) verdictsIfUnneeded(verdicts []Verdict, scarce []bool, maxMissing int) []Verdict {
	verdict, count := AskIfIdle, 0
	for _, s := range scarce {
		if s {
			count++
		}
	}
	if count > maxMissing {
		verdict = Skip
	}
	for i, s := range scarce {
		if s {
			verdicts[i] = verdict
		}
	}
	return verdicts
}

// candidates returns the scarce shards that may be asked now: first those that are expected
// to answer in time, in the random order, which spreads queries over them, then the others
// by expected time. Shards without a usable server therefore come last.
func (o *AskOrder) candidates(shards []Shard, scarce []bool, remaining time.Duration) []int {
	var inTime, late []int
	for _, i := range o.order {
		switch {
		case !scarce[i] || shards[i].State != Waiting:
		case shards[i].Expected <= remaining:
			inTime = append(inTime, i)
		default:
			late = append(late, i)
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(shards[a].Expected, shards[b].Expected) })
	return append(inTime, late...)
}

// findScarce reports for each shard whether it is scarce.
func findScarce(shards []Shard, objective time.Duration) []bool {
	scarce := make([]bool, len(shards))
	limit := max(slowFactor*medianServiceTime(shards), time.Duration(minSlowShare*float64(objective)))
	for i, s := range shards {
		scarce[i] = s.ServiceTime > limit
	}
	return scarce
}

// medianServiceTime returns the median service time, where unknown ones count as 0.
func medianServiceTime(shards []Shard) time.Duration {
	if len(shards) == 0 {
		return 0
	}
	times := make([]time.Duration, len(shards))
	for i, s := range shards {
		times[i] = s.ServiceTime
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// countWithoutScarce returns the number of shards that are covered, or are not scarce and may
// still become covered.
func countWithoutScarce(shards []Shard, scarce []bool) int {
	n := 0
	for i, s := range shards {
		if s.State == Covered || !scarce[i] && s.State != Closed {
			n++
		}
	}
	return n
}

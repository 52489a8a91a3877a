package scarcity_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/scarcity"
)

const (
	objective = 300 * time.Millisecond
	fast      = 20 * time.Millisecond
	slow      = 160 * time.Millisecond
)

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// shardsOf returns n shards of which the first scarce ones are slow.
func shardsOf(n, scarce int) []scarcity.Shard {
	shards := make([]scarcity.Shard, n)
	for i := range shards {
		shards[i].ServiceTime, shards[i].Expected = fast, fast
		if i < scarce {
			shards[i].ServiceTime, shards[i].Expected = slow, slow
		}
	}
	return shards
}

func count(verdicts []scarcity.Verdict, v scarcity.Verdict) int {
	n := 0
	for _, verdict := range verdicts {
		if verdict == v {
			n++
		}
	}
	return n
}

func TestNoVerdictsWithoutScarceShards(t *testing.T) {
	order := scarcity.NewAskOrder(20, newRNG(1))
	requirements := scarcity.Requirements{Needed: 18, MaxMissing: 2, Objective: objective, Remaining: objective}
	assert.Assert(t, order.Decide(shardsOf(20, 0), requirements) == nil)
	assert.Assert(t, order.Decide(make([]scarcity.Shard, 20), requirements) == nil, "all run times are unknown")
	slower := shardsOf(20, 0)
	slower[3].ServiceTime = 70 * time.Millisecond
	assert.Assert(t, order.Decide(slower, requirements) == nil, "slower than the others, but below the least time of a scarce shard")
	busy := shardsOf(20, 0)
	busy[3].Expected = time.Second
	assert.Assert(t, order.Decide(busy, requirements) == nil, "a wait does not make a shard scarce")
}

func TestNoMoreAreAskedThanTheLeastShareNeeds(t *testing.T) {
	order := scarcity.NewAskOrder(87, newRNG(1))
	requirements := scarcity.Requirements{Needed: 83, MaxMissing: 4, Objective: objective, Remaining: objective}
	shards := shardsOf(87, 6)
	verdicts := order.Decide(shards, requirements)
	assert.Equal(t, count(verdicts, scarcity.Skip), 4)
	asked := slices.IndexFunc(verdicts[:6], func(v scarcity.Verdict) bool { return v == scarcity.Ask })
	shards[asked].State = scarcity.Running
	again := order.Decide(shards, requirements)
	assert.Equal(t, count(again, scarcity.Skip), 4, "one is in flight, one more is asked")
	shards[asked].State = scarcity.BackingOff
	assert.Equal(t, count(order.Decide(shards, requirements), scarcity.Skip), 3, "one refused, another is asked instead")
}

// A query must not spend its time on a scarce shard that cannot answer in time.
func TestShardsThatCannotBeInTimeComeLast(t *testing.T) {
	for seed := range uint64(50) {
		order := scarcity.NewAskOrder(20, newRNG(seed))
		shards := shardsOf(20, 3)
		shards[0].Expected = time.Second
		verdicts := order.Decide(shards, scarcity.Requirements{Needed: 18, MaxMissing: 2, Objective: objective, Remaining: 250 * time.Millisecond})
		assert.Equal(t, verdicts[0], scarcity.Skip)
		assert.Equal(t, count(verdicts, scarcity.Skip), 2)
	}
}

func TestQueriesThatNeedNoneLeaveThemToOthers(t *testing.T) {
	order := scarcity.NewAskOrder(87, newRNG(1))
	requirements := scarcity.Requirements{Needed: 74, MaxMissing: 4, Objective: objective, Remaining: objective}
	assert.Equal(t, count(order.Decide(shardsOf(87, 6), requirements), scarcity.Skip), 6)
	assert.Equal(t, count(order.Decide(shardsOf(87, 3), requirements), scarcity.AskIfIdle), 3, "no query needs them")
}

// For any states, no more scarce shards are in flight than are needed, and shards that are
// not scarce are asked.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 140).Draw(t, "shards")
		scarce := rapid.IntRange(1, n/3).Draw(t, "scarce")
		requirements := scarcity.Requirements{
			Needed: rapid.IntRange(1, n).Draw(t, "needed"), MaxMissing: rapid.IntRange(0, n).Draw(t, "max missing"),
			Objective: objective, Remaining: time.Duration(rapid.IntRange(0, 300).Draw(t, "left")) * time.Millisecond,
		}
		shards := shardsOf(n, scarce)
		withoutScarce, running := 0, 0
		for i := range shards {
			shards[i].State = scarcity.State(rapid.IntRange(int(scarcity.Waiting), int(scarcity.Closed)).Draw(t, "state"))
			if shards[i].State == scarcity.Covered || i >= scarce && shards[i].State != scarcity.Closed {
				withoutScarce++
			}
			if i < scarce && shards[i].State == scarcity.Running {
				running++
			}
		}
		verdicts := scarcity.NewAskOrder(n, newRNG(1)).Decide(shards, requirements)
		assert.Equal(t, count(verdicts[scarce:], scarcity.Ask), n-scarce)
		asked := 0
		for i := range scarce {
			if shards[i].State == scarcity.Waiting && verdicts[i] == scarcity.Ask {
				asked++
			}
		}
		sequential := requirements.Needed-withoutScarce <= 3
		assert.Assert(t, !sequential || asked == 0 || running+asked <= requirements.Needed-withoutScarce, "%d in flight and %d more asked, but only %d needed", running, asked, requirements.Needed-withoutScarce)
	})
}

package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
)

var start = time.Unix(1000, 0)

func newSet(n, slots int, policy replica.Policy) *replica.Set {
	leaves := make([]*replica.Leaf, n)
	for i := range leaves {
		leaves[i] = &replica.Leaf{Address: fmt.Sprint("leaf-", i), Slots: limit.NewSlots(slots)}
	}
	return replica.NewSet(leaves, policy, rand.New(rand.NewPCG(1, 1)))
}

// answer records one completed request on leaf i.
func answer(s *replica.Set, i int, latency time.Duration, now time.Time) {
	s.Acquire(i, now)
	s.Leaves[i].Slots.Release()
	s.Answered(i, latency, now.Add(latency))
}

func TestSlowReplicaIsAvoided(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for range 20 {
		answer(s, 0, 100*time.Millisecond, start)
		answer(s, 1, 5*time.Millisecond, start)
	}
	assert.Equal(t, s.Pick(start, 0, 0), 1)
	s.Acquire(1, start)
	s.Acquire(1, start)
	assert.Equal(t, s.Pick(start, 0, 0), replica.None, "waiting for the fast one is sooner")
	assert.Equal(t, s.Pick(start, 60, 0), 0, "with 60 waiting the slow one is sooner")
}

func TestSilentReplicaDoesNotLookFast(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for i := range 2 {
		answer(s, i, 5*time.Millisecond, start)
	}
	s.Acquire(0, start)
	later := start.Add(200 * time.Millisecond)
	assert.Equal(t, s.Pick(later, 0, 0), 1)
	s.Leaves[0].Slots.Release()
	s.Canceled(0, 200*time.Millisecond, start)
	assert.Assert(t, s.Latency(0) > s.Latency(1))
	before := s.Latency(0)
	s.Canceled(0, time.Microsecond, start)
	assert.Equal(t, s.Latency(0), before, "an early cancellation is no latency sample")
}

func TestFailingFastReplicaIsEjectedAndProbed(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	for range 3 {
		s.Failed(0, start)
	}
	assert.Assert(t, s.Ejected(0, start))
	assert.Equal(t, s.Pick(start, 0, 0), 1)
	assert.Equal(t, s.Probe(start, 1<<1, replica.ProbeInterval), replica.None, "probed too soon")
	assert.Equal(t, s.Probe(start.Add(time.Second), 1<<1, replica.ProbeInterval), replica.None, "after the ejection it is chosen again without a probe")
}

// Whichever replicas fail, at most half are ejected and one can be picked.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "n")
		s := newSet(n, 2, replica.Observed)
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			s.Failed(rapid.IntRange(0, n-1).Draw(rt, "i"), now)
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			ejected := 0
			for i := range n {
				if s.Ejected(i, now) {
					ejected++
				}
			}
			if 2*ejected > n || s.Pick(now, 0, 0) == replica.None {
				rt.Fatalf("%d of %d ejected, pick %d", ejected, n, s.Pick(now, 0, 0))
			}
		}
	})
}

func TestLeavingIsNeverPicked(t *testing.T) {
	for _, policy := range []replica.Policy{replica.Observed, replica.Random} {
		s := newSet(2, 2, policy)
		s.Leaves[0].Leaving = true
		for range 20 {
			assert.Equal(t, s.Pick(start, 0, 0), 1)
		}
		s.Leaves[1].Leaving = true
		assert.Equal(t, s.Pick(start, 0, 0), replica.None)
		assert.Assert(t, !s.Reachable(0))
	}
}

// pickedOf100 returns how many of 100 requests go to a nearby replica that loses every second
// one, when the alternative is a distant replica that loses none.
func pickedOf100(s *replica.Set, lose func(now time.Time)) int {
	s.Leaves[1].DistancePenalty = 40 * time.Millisecond
	now := start
	picked := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		i := s.Pick(now, 0, 0)
		s.Acquire(i, now)
		s.Leaves[i].Slots.Release()
		if i == 0 {
			picked++
		}
		if i == 0 && picked%2 == 0 {
			lose(now)
		} else {
			s.Answered(i, 20*time.Millisecond, now)
		}
	}
	return picked
}

// A replica that refuses many requests is chosen less, as each refusal costs a retry.
func TestRefusingReplicaIsChosenLess(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	picked := pickedOf100(s, func(now time.Time) { s.Refused(0, now) })
	assert.Assert(t, picked < 20, "%d of 100 requests went to the replica that refuses half", picked)
}

// A replica that fails every second request never reaches the ejection threshold, but must
// still be chosen less.
func TestReplicaThatLosesAnswersIsChosenLess(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	picked := pickedOf100(s, func(now time.Time) { s.Failed(0, now) })
	assert.Assert(t, picked < 20, "%d of 100 requests went to the replica that loses half of its answers", picked)
}

func TestCapacityCountsSlowReplicasLess(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	assert.Equal(t, s.Capacity(start), 4.0)
	for range 60 {
		answer(s, 0, 100*time.Millisecond, start)
		answer(s, 1, 10*time.Millisecond, start)
	}
	capacity := s.Capacity(start)
	assert.Assert(t, capacity > 2.1 && capacity < 2.3, "%v", capacity)
}

func ExampleSet_Pick() {
	s := newSet(2, 2, replica.Observed)
	now := time.Unix(0, 0)
	answer(s, 0, 50*time.Millisecond, now)
	answer(s, 1, 5*time.Millisecond, now)
	fmt.Println(s.Leaves[s.Pick(now, 0, 0)].Address)
	// Output: leaf-1
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 7} {
		s := newSet(n, 4, replica.Observed)
		for i := range n {
			answer(s, i, 5*time.Millisecond, start)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Pick(start, 0, 0)
			}
		})
	}
}

// The cost of lost requests scales with the latency: a distant replica is preferred to a nearby
// one that lost a few requests only if calls are long compared with the distance.
func TestCostOfLostRequestsGrowsWithTheCalls(t *testing.T) {
	for _, c := range []struct {
		call, distance time.Duration
		want           int
	}{{8 * time.Millisecond, 30 * time.Millisecond, 0}, {25 * time.Millisecond, 30 * time.Millisecond, 1}} {
		s := newSet(2, 2, replica.Observed)
		s.Leaves[1].DistancePenalty = c.distance
		answer(s, 0, c.call, start)
		answer(s, 1, c.call, start)
		s.Refused(0, start)
		s.Refused(0, start)
		assert.Equal(t, s.Pick(start.Add(time.Second), 0, 0), c.want, "calls of %v", c.call)
	}
}

package limit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/limit"
)

// The shares of all homes add up to exactly the slots of each replica, and every home
// has a slot of the shard while there are enough.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		replicas := rapid.IntRange(1, 7).Draw(rt, "replicas")
		slots := rapid.IntRange(1, 25).Draw(rt, "slots")
		homes := rapid.SampledFrom([]int{1, 2, 3, 7, 40}).Draw(rt, "homes")
		sums := make([]int, replicas)
		for home := range homes {
			total := 0
			for r, share := range limit.Shares(replicas, slots, homes, home) {
				sums[r] += share
				total += share
			}
			if homes <= replicas*slots && total == 0 {
				rt.Fatalf("home %d of %d has no slot of the shard", home, homes)
			}
		}
		for r, sum := range sums {
			if sum != slots {
				rt.Fatalf("replica %d: shares add up to %d, want %d", r, sum, slots)
			}
		}
	})
}

func TestSlotsRampAfterRestart(t *testing.T) {
	s := limit.NewSlots(8)
	now := time.Unix(100, 0)
	assert.Equal(t, s.Limit(now), 8)
	s.StartRampUp(now)
	assert.Equal(t, s.Limit(now), 1)
	assert.Equal(t, s.Limit(now.Add(time.Second)), 4)
	assert.Equal(t, s.Limit(now.Add(2*time.Second)), 8)
}

func TestShedTemporarilyLowersTheLimit(t *testing.T) {
	s := limit.NewSlots(2)
	now := time.Unix(100, 0)
	s.Acquire(now)
	s.Acquire(now)
	s.Release()
	s.Shed(now)
	assert.Equal(t, s.Limit(now), 1, "limited to the request running when the server shed one")
	assert.Equal(t, s.Limit(now.Add(limit.ShedPause)), 2)
}

func ExampleShares() {
	// Two replicas of four slots each, shared by three homes.
	for home := range 3 {
		fmt.Println(limit.Shares(2, 4, 3, home))
	}
	// Output:
	// [2 1]
	// [1 2]
	// [1 1]
}

func ExampleSlots() {
	s := limit.NewSlots(1)
	now := time.Unix(0, 0)
	fmt.Println(s.Acquire(now), s.Acquire(now))
	s.Release()
	fmt.Println(s.Acquire(now))
	// Output:
	// true false
	// true
}

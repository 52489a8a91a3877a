package snapshot_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/snapshot"
)

func TestChoosePrefersCoverage(t *testing.T) {
	tracker := snapshot.NewTracker([]int{2, 2})
	assert.Equal(t, tracker.Choose().Version, snapshot.Any)
	tracker.Observe(0, 0, []uint64{1, 2})
	tracker.Observe(1, 0, []uint64{1})
	assert.Equal(t, tracker.Choose(), snapshot.Choice{Version: 1, Shards: 2})
	tracker.Observe(1, 1, []uint64{1, 2})
	assert.Equal(t, tracker.Choose(), snapshot.Choice{Version: 2, Shards: 2})
	tracker.SetUnavailable(1, 1, true)
	assert.Equal(t, tracker.Choose(), snapshot.Choice{Version: 1, Shards: 2})
}

// A replica that has reported its versions holds only these; one that has not may hold any.
func TestHolds(t *testing.T) {
	tracker := snapshot.NewTracker([]int{2})
	assert.Assert(t, tracker.Holds(0, 0, 5), "a replica with unknown versions may hold any")
	tracker.Observe(0, 0, []uint64{2})
	assert.Assert(t, !tracker.Holds(0, 0, 1))
	assert.Assert(t, tracker.Holds(0, 1, 1))
}

func ExampleTracker() {
	tracker := snapshot.NewTracker([]int{1, 1, 1})
	tracker.Observe(0, 0, []uint64{7, 8})
	tracker.Observe(1, 0, []uint64{7, 8})
	tracker.Observe(2, 0, []uint64{7})
	fmt.Println(tracker.Choose().Version, "serves", tracker.Choose().Shards, "shards")
	// Output: 7 serves 3 shards
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 140, 1000} {
		counts := make([]int, n)
		for i := range counts {
			counts[i] = 2
		}
		tracker := snapshot.NewTracker(counts)
		for i := range n {
			tracker.Observe(i, 0, []uint64{1, 2})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.Choose()
			}
		})
	}
}

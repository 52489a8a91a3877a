package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/retry"
)

// Extra attempts never exceed ratio times the first attempts plus the bucket size, for any
// sequence of attempts.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := retry.NewBudget(0.05, 20)
		first, extra := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "first") {
				n := rapid.IntRange(1, 140).Draw(rt, "n")
				b.AddFirstAttempts(n)
				first += n
			} else if b.Take(uint32(rapid.IntRange(0, 3).Draw(rt, "rank"))) {
				extra++
			}
			if float64(extra) > 0.05*float64(first)+20 {
				rt.Fatalf("%d extra attempts for %d first attempts", extra, first)
			}
		}
	})
}

func TestHalfIsReservedForTheHighestClass(t *testing.T) {
	b := retry.NewBudget(0, 20)
	lower := 0
	for b.Take(1) {
		lower++
	}
	highest := 0
	for b.Take(0) {
		highest++
	}
	assert.Equal(t, lower, 10)
	assert.Equal(t, highest, 10)
}

func TestHedgeDelayFollowsLatency(t *testing.T) {
	h := retry.NewHedgeDelay(95, time.Millisecond)
	_, ok := h.Delay()
	assert.Assert(t, !ok)
	for i := range 1000 {
		h.Observe(time.Duration(i%100) * time.Millisecond)
	}
	delay, ok := h.Delay()
	assert.Assert(t, ok)
	assert.Assert(t, delay > 80*time.Millisecond && delay < 110*time.Millisecond, "delay %v", delay)
	for range 1000 {
		h.Observe(time.Millisecond)
	}
	delay, _ = h.Delay()
	assert.Assert(t, delay < 2*time.Millisecond, "delay %v", delay)
}

func ExampleBudget() {
	b := retry.NewBudget(0.5, 1)
	fmt.Println(b.Take(0), b.Take(0))
	b.AddFirstAttempts(2)
	fmt.Println(b.Take(0))
	// Output:
	// true false
	// true
}

func BenchmarkObserve(b *testing.B) {
	h := retry.NewHedgeDelay(95, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		h.Observe(5 * time.Millisecond)
	}
}

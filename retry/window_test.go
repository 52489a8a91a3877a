package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/retry"
)

// In any window, the extra attempts of all hosts together are at most the share of the
// first attempts in it and in the window before, plus the total slack.
func TestWindowHoldsOverAnySpan(t *testing.T) {
	const span, share, slack = 10 * time.Second, 0.2, 30.0
	type event struct {
		at    time.Time
		extra bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 7).Draw(rt, "hosts")
		windows := make([]*retry.Window, hosts)
		for i := range windows {
			windows[i] = retry.NewWindow(span)
		}
		now := time.Unix(5000, 0)
		var events []event
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(rt, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, hosts-1).Draw(rt, "host")]
			if rapid.Bool().Draw(rt, "first") {
				w.AddFirstAttempts(1, now)
				events = append(events, event{at: now})
			} else if w.TakeFraction(rapid.Float64Range(0, 1).Draw(rt, "part"), share, slack/float64(hosts), now) {
				events = append(events, event{at: now, extra: true})
			}
		}
		for _, from := range events {
			first, extra := 0, 0
			for _, e := range events {
				age := e.at.Sub(from.at)
				if e.extra && age >= 0 && age < span {
					extra++
				}
				if !e.extra && age >= -span && age < span {
					first++
				}
			}
			if float64(extra) > share*float64(first)+slack {
				rt.Fatalf("%d extra attempts for %d first attempts", extra, first)
			}
		}
	})
}

func ExampleWindow() {
	w := retry.NewWindow(10 * time.Second)
	now := time.Unix(0, 0)
	w.AddFirstAttempts(10, now)
	fmt.Println(w.Take(0.2, 0, now), w.Take(0.2, 0, now), w.Take(0.2, 0, now))
	now = now.Add(11 * time.Second)
	fmt.Println(w.Take(0.2, 0, now))
	// Output:
	// true true false
	// false
}

func BenchmarkWindow(b *testing.B) {
	w := retry.NewWindow(10 * time.Second)
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		w.AddFirstAttempts(1, now)
		w.Take(0.2, 10, now)
	}
}

// The fraction of a budget must not be rounded down: a host of a large fleet has only two
// or three extra attempts per shard in a window.
func TestPartOfASmallBudgetIsNotRoundedDown(t *testing.T) {
	taken := func(fraction, slack float64) int {
		w := retry.NewWindow(10 * time.Second)
		n := 0
		for w.TakeFraction(fraction, 0, slack, time.Unix(1000, 0)) {
			n++
		}
		return n
	}
	assert.Equal(t, taken(1, 3.2), 3)
	assert.Equal(t, taken(0.7, 3.2), 3)
	assert.Equal(t, taken(0.5, 3.2), 2)
	assert.Equal(t, taken(0.7, 30), 21, "a large budget keeps the rest for others")
	assert.Equal(t, taken(0, 30), 0)
}

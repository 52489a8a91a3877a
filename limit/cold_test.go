package limit_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/limit"
)

// coldFleet is a set of hosts that call a cold server as often as they may.
type coldFleet struct {
	bound limit.ColdBound
	hosts []*limit.ColdLimiter
	sent  []time.Time
}

// saturate makes every host send whenever permitted, checked at each step for the given
// length, and returns the end.
func (f *coldFleet) saturate(from time.Time, length, step time.Duration) time.Time {
	rate := f.bound.Rate(f.bound.Callers(len(f.hosts)))
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		for _, h := range f.hosts {
			if _, ok := h.Take(rate, now); ok {
				f.sent = append(f.sent, now)
			}
		}
	}
	return from.Add(length)
}

// setCallers makes as many hosts as permitted the callers, starting with index first and
// wrapping around.
func (f *coldFleet) setCallers(first int, now time.Time) {
	n := f.bound.Callers(len(f.hosts))
	for i, h := range f.hosts {
		position := (i - first + len(f.hosts)) % len(f.hosts)
		h.SetCaller(position < n, now)
	}
}

// maxInOneSecond returns the largest number of requests sent in any second.
func (f *coldFleet) maxInOneSecond() int {
	largest := 0
	for i, t := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, t.Add(time.Second), time.Time.Compare)
		largest = max(largest, end-i)
	}
	return largest
}

// A cold server never receives more requests in any second than its bound, for any number
// of hosts, also when hosts restart and callers change.
func TestColdServerGetsNoMoreThanItTakes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &coldFleet{bound: limit.ColdBound{
			PerSecond: rapid.Float64Range(0.1, 200).Draw(rt, "per second"), Factor: rapid.Float64Range(1, 2).Draw(rt, "excess"),
			Slack: rapid.Float64Range(0, 20).Draw(rt, "slack"),
		}}
		for range rapid.SampledFrom([]int{1, 2, 3, 7, 60, 300, 1000}).Draw(rt, "hosts") {
			f.hosts = append(f.hosts, &limit.ColdLimiter{})
		}
		now := time.Unix(1000, 0)
		step := rapid.SampledFrom([]time.Duration{7 * time.Millisecond, 50 * time.Millisecond, 333 * time.Millisecond}).Draw(rt, "step")
		f.setCallers(0, now)
		for range rapid.IntRange(1, 4).Draw(rt, "events") {
			now = f.saturate(now, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms"))*time.Millisecond, step)
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0: // All hosts restart together.
				for _, h := range f.hosts {
					*h = limit.ColdLimiter{}
				}
				f.setCallers(0, now)
			case 1: // Other hosts become the callers.
				f.setCallers(rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "from"), now)
			case 2: // One host restarts.
				*f.hosts[0] = limit.ColdLimiter{}
				f.setCallers(0, now)
			}
		}
		f.saturate(now, 3*time.Second, step)
		bound := f.bound.PerSecond*f.bound.Factor + f.bound.Slack
		if got := f.maxInOneSecond(); float64(got) > bound {
			rt.Fatalf("%d requests in one second exceed the bound of %v", got, bound)
		}
	})
}

// The bound holds with 50% more callers than intended, as when hosts disagree on them.
func TestColdBoundHoldsWhenHostsDisagree(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 10, 40} {
		f := &coldFleet{bound: limit.ColdBound{PerSecond: perSecond, Factor: 1.5, Slack: 5}}
		agreed := f.bound.Callers(60)
		now := time.Unix(1000, 0)
		for range agreed + agreed/2 {
			h := &limit.ColdLimiter{}
			h.SetCaller(true, now)
			f.hosts = append(f.hosts, h)
		}
		rate := f.bound.Rate(agreed)
		for at := now; at.Before(now.Add(8 * time.Second)); at = at.Add(10 * time.Millisecond) {
			for _, h := range f.hosts {
				if _, ok := h.Take(rate, at); ok {
					f.sent = append(f.sent, at)
				}
			}
		}
		assert.Assert(t, float64(f.maxInOneSecond()) <= perSecond*1.5+5, "%v per second: %d requests in one second", perSecond, f.maxInOneSecond())
		assert.Assert(t, len(f.sent) > int(perSecond), "%v per second: only %d requests sent in 6 s", perSecond, len(f.sent))
	}
}

func TestColdReturnsTheWaitForTheNextToken(t *testing.T) {
	c := &limit.ColdLimiter{}
	now := time.Unix(1000, 0)
	wait, ok := c.Take(5, now)
	assert.Assert(t, !ok && wait > 0, "a host that is no caller may not send")
	c.SetCaller(true, now)
	wait, ok = c.Take(5, now)
	assert.Assert(t, !ok && wait == limit.ColdCallerDelay)
	now = now.Add(limit.ColdCallerDelay)
	wait, ok = c.Take(5, now)
	assert.Assert(t, !ok && wait == 200*time.Millisecond, "%v", wait)
	_, ok = c.Take(5, now.Add(wait))
	assert.Assert(t, ok)
}

func BenchmarkCold(b *testing.B) {
	c := &limit.ColdLimiter{}
	now := time.Unix(1000, 0)
	c.SetCaller(true, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Take(100, now)
	}
}

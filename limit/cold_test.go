package limit_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/limit"
)

// coldFleet is a number of hosts that send a cold server whatever they may.
type coldFleet struct {
	bound limit.ColdBound
	hosts []*limit.Cold
	sent  []time.Time
}

// press lets each host ask at each step for a time.
func (f *coldFleet) press(from time.Time, length, step time.Duration) time.Time {
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

// callers makes the hosts from an index on the callers, as far as they may be.
func (f *coldFleet) callers(from int, now time.Time) {
	n := f.bound.Callers(len(f.hosts))
	for i, h := range f.hosts {
		place := (i - from + len(f.hosts)) % len(f.hosts)
		h.SetCaller(place < n, now)
	}
}

// busiest returns the most requests in any second.
func (f *coldFleet) busiest() int {
	most := 0
	for i, t := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, t.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// Whatever the number of hosts, and though they restart, change places and press as hard as
// they can, a cold server gets no more in any second than it takes.
func TestColdServerGetsNoMoreThanItTakes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &coldFleet{bound: limit.ColdBound{
			PerSecond: rapid.Float64Range(0.1, 200).Draw(rt, "per second"), Excess: rapid.Float64Range(1, 2).Draw(rt, "excess"),
			Slack: rapid.Float64Range(0, 20).Draw(rt, "slack"),
		}}
		for range rapid.SampledFrom([]int{1, 2, 3, 7, 60, 300, 1000}).Draw(rt, "hosts") {
			f.hosts = append(f.hosts, &limit.Cold{})
		}
		now := time.Unix(1000, 0)
		step := rapid.SampledFrom([]time.Duration{7 * time.Millisecond, 50 * time.Millisecond, 333 * time.Millisecond}).Draw(rt, "step")
		f.callers(0, now)
		for range rapid.IntRange(1, 4).Draw(rt, "events") {
			now = f.press(now, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms"))*time.Millisecond, step)
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0: // All restart together.
				for _, h := range f.hosts {
					*h = limit.Cold{}
				}
				f.callers(0, now)
			case 1: // Others become the callers.
				f.callers(rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "from"), now)
			case 2: // One starts again.
				*f.hosts[0] = limit.Cold{}
				f.callers(0, now)
			}
		}
		f.press(now, 3*time.Second, step)
		most := f.bound.PerSecond*f.bound.Excess + f.bound.Slack
		if got := f.busiest(); float64(got) > most {
			rt.Fatalf("%d in one second, %v are allowed", got, most)
		}
	})
}

// Half as many callers again, because hosts do not agree on them, stay below the bound.
func TestColdBoundHoldsWhereHostsDoNotAgree(t *testing.T) {
	for _, perSecond := range []float64{1, 4, 10, 40} {
		f := &coldFleet{bound: limit.ColdBound{PerSecond: perSecond, Excess: 1.5, Slack: 5}}
		agreed := f.bound.Callers(60)
		now := time.Unix(1000, 0)
		for range agreed + agreed/2 {
			h := &limit.Cold{}
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
		assert.Assert(t, float64(f.busiest()) <= perSecond*1.5+5, "%v: %d", perSecond, f.busiest())
		assert.Assert(t, len(f.sent) > int(perSecond), "%v: %d in 6 s: hardly anything is sent", perSecond, len(f.sent))
	}
}

func TestColdSaysWhenToAskAgain(t *testing.T) {
	c := &limit.Cold{}
	now := time.Unix(1000, 0)
	wait, ok := c.Take(5, now)
	assert.Assert(t, !ok && wait > 0, "no caller")
	c.SetCaller(true, now)
	wait, ok = c.Take(5, now)
	assert.Assert(t, !ok && wait == limit.ColdSettle)
	now = now.Add(limit.ColdSettle)
	wait, ok = c.Take(5, now)
	assert.Assert(t, !ok && wait == 200*time.Millisecond, "%v", wait)
	_, ok = c.Take(5, now.Add(wait))
	assert.Assert(t, ok)
}

func BenchmarkCold(b *testing.B) {
	c := &limit.Cold{}
	now := time.Unix(1000, 0)
	c.SetCaller(true, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Take(100, now)
	}
}

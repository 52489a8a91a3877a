package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/admission"
)

// A step of the load where no host has more than a few requests a second: half a second later the
// servers do useful work, and no admitted request waits for long.
func TestSharedGateFollowsAStep(t *testing.T) {
	for _, hosts := range []int{8, 122, 300} {
		for _, load := range []float64{1.3, 2, 4, 8} {
			for seed := range uint64(3) {
				c := newCrowd(hosts, seed).surge(load, 6*time.Second)
				first, settled, after := c.tally(4500*time.Millisecond, 5*time.Second, all), c.tally(4500*time.Millisecond, 10*time.Second, all), c.tally(11*time.Second, 14*time.Second, fresh)
				alone := newCrowd(hosts, seed)
				alone.cutOff = everyHost
				without := alone.surge(load, 6*time.Second).tally(4500*time.Millisecond, 10*time.Second, all)
				t.Logf("%d hosts, load %.1f: goodput %.2f (first half second %.2f), longest wait %v; without %.2f, %v", hosts, load, settled.goodput, first.goodput, c.longestWait(), without.goodput, alone.longestWait())
				assert.Assert(t, settled.goodput >= 0.85, "%d hosts, load %.1f: goodput %.2f", hosts, load, settled.goodput)
				assert.Assert(t, c.longestWait() < time.Second, "%d hosts, load %.1f: an admitted request waited %v", hosts, load, c.longestWait())
				assert.Assert(t, float64(after.admitted) > 0.97*float64(after.attempts), "%d hosts, load %.1f: admitted %d of %d new requests after the surge", hosts, load, after.admitted, after.attempts)
			}
		}
	}
}

// Servers and hosts with short queues drop what they cannot take, so that the wait does not grow with the
// load. The share that is dropped must become small nevertheless.
func TestSharedGateWithShortQueues(t *testing.T) {
	for _, load := range []float64{2, 4, 8} {
		c := newCrowd(122, 1)
		c.maxQueue = 90 * time.Millisecond
		c.surge(load, 6*time.Second)
		x := c.tally(6*time.Second, 10*time.Second, all)
		t.Logf("load %.0f: goodput %.2f, dropped %d of %d", load, x.goodput, x.dropped, x.admitted)
		assert.Assert(t, x.goodput >= 0.85 && float64(x.dropped) < 0.15*float64(x.admitted), "load %.0f: goodput %.2f, dropped %d of %d", load, x.goodput, x.dropped, x.admitted)
	}
}

// A coordinator that takes over in an overload knows nothing. It admits too much for a moment, and
// then finds the share again.
func TestTakeoverInAnOverload(t *testing.T) {
	for _, load := range []float64{2, 4, 8} {
		c := newCrowd(122, 1)
		c.run(4*time.Second, baseLoad)
		c.run(4*time.Second, load)
		c.shared = admission.NewSharedGate()
		c.run(4*time.Second, load)
		x := c.tally(9*time.Second, 12*time.Second, all)
		t.Logf("load %.0f: goodput %.2f after the takeover, longest wait %v", load, x.goodput, c.longestWait())
		assert.Assert(t, x.goodput >= 0.8 && c.longestWait() < queryTimeout/2, "load %.0f: goodput %.2f after the takeover, longest wait %v", load, x.goodput, c.longestWait())
	}
}

// Hosts that are cut off, or that are told nonsense, decide alone and make nothing worse than if all
// did.
func TestHalfOfTheHostsWithoutVerdicts(t *testing.T) {
	for _, load := range []float64{2, 4} {
		goodput := func(change func(*crowd)) float64 {
			c := newCrowd(122, 1)
			change(c)
			return c.surge(load, 6*time.Second).tally(4500*time.Millisecond, 10*time.Second, all).goodput
		}
		without := goodput(func(c *crowd) { c.cutOff = everyHost })
		cutOff := goodput(func(c *crowd) { c.cutOff = firstHalf(122) })
		misled := goodput(func(c *crowd) { c.misled = firstHalf(122) })
		t.Logf("load %.0f: goodput without verdicts %.2f, half cut off %.2f, half misled %.2f", load, without, cutOff, misled)
		assert.Assert(t, cutOff >= without-0.02 && misled >= without-0.02, "load %.0f: goodput without verdicts %.2f, half cut off %.2f, half misled %.2f", load, without, cutOff, misled)
	}
}

func fresh(a attempt) bool { return a.refused == 0 }

// A team at ten times its usual load costs the others nothing while they stay within their part.
func TestTeamAtTenTimesItsLoadCostsTheOthersNothing(t *testing.T) {
	const others, usualLoad = 19, 0.85
	admittedOfOthers := func(parts int) float64 {
		c := newCrowd(122, 1)
		// The team 0 has so many of the parts, each other team one.
		c.team = func(id int) int { return max(id/4%(others+parts)-parts+1, 0) }
		c.run(4*time.Second, baseLoad)
		c.run(10*time.Second, usualLoad*float64(others+parts)/(others+1))
		x := c.tally(5*time.Second, 14*time.Second, func(a attempt) bool { return fresh(a) && a.rank == 1 && c.team(a.id) != 0 })
		return float64(x.admitted) / float64(x.attempts)
	}
	usual, abused := admittedOfOthers(1), admittedOfOthers(10)
	t.Logf("admitted of the others: %.3f usually, %.3f beside the team", usual, abused)
	assert.Assert(t, abused > usual-0.02, "admitted %.3f of the others usually, %.3f beside a team at ten times its load", usual, abused)
}

// Callers that return as told find a place once there is one, also beside some that repeat at once.
func TestCallersThatReturnAsToldAreServed(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second} {
		admitted, attempts := 0, 0
		for seed := range uint64(10) {
			c := newCrowd(122, seed)
			c.hasty = func(id int) bool { return id%20 == 0 }
			c.surge(3, length)
			// The queue is worked off a moment after the surge.
			end := 4*time.Second + length + 300*time.Millisecond
			x := c.tally(end, end+4*time.Second, func(a attempt) bool { return a.obeys && a.refused > 0 })
			admitted, attempts = admitted+x.admitted, attempts+x.attempts
		}
		t.Logf("surge of %v: %d of %d attempts of returning callers admitted", length, admitted, attempts)
		assert.Assert(t, float64(admitted) >= 0.97*float64(attempts), "surge of %v: %d of %d attempts of returning callers admitted", length, admitted, attempts)
	}
}

// overloadedShares returns how much of lasting work of the given classes, all alike, is admitted to
// servers that can do the given multiple of the work of one.
func overloadedShares(capacity float64, classes ...admission.Class) []float64 {
	const rounds = 200
	s, now, wait, verdict := admission.NewSharedGate(), time.Unix(1000, 0), time.Duration(0), admission.Verdict{}
	shares := make([]float64, len(classes))
	for round := range rounds {
		now = now.Add(reportInterval)
		admitted := 0.0
		for i, class := range classes {
			s.Offered([]admission.Offered{{Class: class, Requests: 10, Work: 100 * time.Millisecond, Objective: 300 * time.Millisecond}}, now)
			admitted += probability(verdict, class)
			if round >= rounds/2 {
				shares[i] += probability(verdict, class) / (rounds / 2)
			}
		}
		wait = max(wait+time.Duration((admitted/capacity-1)*float64(reportInterval)), 0)
		s.ObserveWait(wait, now)
		verdict, _ = s.Verdict(now)
	}
	return shares
}

// probability returns the probability that a gate with the verdict admits a class.
func probability(v admission.Verdict, class admission.Class) float64 {
	g, now := admission.NewGate(rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	g.ApplyVerdict(v, now)
	return g.Offer(admission.Request{Rank: class.Rank, Late: class.Late, Returning: class.Returning, Team: class.Team}, now).Probability
}

// Late requests are refused first, then those of the lowest rank, down to its floor. In a lasting
// overload returning callers do not starve new ones.
func TestOrderOfRefusal(t *testing.T) {
	high, low, late, returning := admission.Class{Rank: 1}, admission.Class{Rank: 2}, admission.Class{Rank: 1, Late: true}, admission.Class{Rank: 1, Late: true, Returning: true}
	for _, x := range []struct {
		capacity float64
		classes  []admission.Class
		// least and most bound the shares.
		least, most []float64
	}{
		{1.7, []admission.Class{high, low, late}, []float64{0.98, 0.55, 0}, []float64{1.01, 0.8, 0.1}},
		{0.8, []admission.Class{high, low, late}, []float64{0.65, 0.01, 0}, []float64{0.85, 0.1, 0.05}},
		{0.8, []admission.Class{high, returning}, []float64{0.65, 0.01}, []float64{0.85, 0.15}},
		{1.5, []admission.Class{high, returning}, []float64{0.95, 0.3}, []float64{1.01, 0.6}},
	} {
		shares := overloadedShares(x.capacity, x.classes...)
		for i := range shares {
			assert.Assert(t, shares[i] >= x.least[i] && shares[i] <= x.most[i], "capacity %.1f, %+v: shares %.2f", x.capacity, x.classes, shares)
		}
	}
}

// A verdict decides for a second; then, or after one that is out of range, the gate decides alone.
func TestGateDecidesAloneWithoutAValidVerdict(t *testing.T) {
	class := admission.Class{Rank: 1}
	verdict := func(p float64) admission.Verdict {
		return admission.Verdict{RefusedShare: 0.5, Classes: []admission.ClassVerdict{{Class: class, Probability: p, RetryAfter: time.Second}}}
	}
	g, now := admission.NewGate(rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	offer := func(after time.Duration) admission.Decision {
		return g.Offer(admission.Request{Rank: 1, Objective: 300 * time.Millisecond}, now.Add(after))
	}
	g.ApplyVerdict(verdict(0), now)
	refused := offer(900 * time.Millisecond)
	assert.Assert(t, !refused.Admitted && refused.Shared && refused.RetryAfter == time.Second && refused.VerdictAge == 900*time.Millisecond, "%+v", refused)
	assert.Assert(t, g.Overloaded(now.Add(time.Second)) && !g.Overloaded(now.Add(1100*time.Millisecond)))
	old := offer(1100 * time.Millisecond)
	assert.Assert(t, old.Admitted && !old.Shared && !g.Overloaded(now.Add(1100*time.Millisecond)), "%+v", old)
	for _, p := range []float64{math.NaN(), -0.1, 1.1} {
		g.ApplyVerdict(verdict(0), now)
		g.ApplyVerdict(verdict(p), now)
		assert.Assert(t, offer(0).Admitted && !offer(0).Shared, "probability %v", p)
	}
}

// Without a recent wait there is no verdict: hosts decide alone.
func TestNoVerdictWithoutAWait(t *testing.T) {
	s, now := admission.NewSharedGate(), time.Unix(1000, 0)
	_, known := s.Verdict(now)
	assert.Assert(t, !known)
	s.ObserveWait(0, now)
	_, known = s.Verdict(now.Add(900 * time.Millisecond))
	assert.Assert(t, known)
	_, known = s.Verdict(now.Add(1100 * time.Millisecond))
	assert.Assert(t, !known)
}

// For any reports the verdict is one that a Gate accepts, and its size is bounded.
func TestVerdictIsInRangeForAnyReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, now := admission.NewSharedGate(), time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			s.Offered([]admission.Offered{{
				Class:     admission.Class{Rank: rapid.Uint32().Draw(rt, "rank"), Late: rapid.Bool().Draw(rt, "late"), Returning: rapid.Bool().Draw(rt, "returning"), Team: rapid.StringMatching("[a-c]?").Draw(rt, "team")},
				Requests:  rapid.IntRange(-5, 20000).Draw(rt, "requests"),
				Work:      time.Duration(rapid.Int64().Draw(rt, "work")),
				Objective: time.Duration(rapid.Int64().Draw(rt, "objective")),
			}}, now)
			s.ObserveWait(time.Duration(rapid.Int64().Draw(rt, "wait")), now)
			verdict, known := s.Verdict(now)
			assert.Assert(rt, known)
			gate := admission.NewGate(rand.New(rand.NewPCG(1, 1)))
			gate.ApplyVerdict(verdict, now)
			assert.Assert(rt, gate.Offer(admission.Request{}, now).Shared, "verdict out of range: %+v", verdict)
		}
	})
}

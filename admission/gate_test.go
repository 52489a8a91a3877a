package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/admission"
)

// simulation drives several gates, one per host, that share a set of servers, with
// callers of two ranks. The servers are one queue, which grows while more is admitted
// than they can process and which each host observes with a delay.
type simulation struct {
	gates []*admission.Gate
	rng   *rand.Rand
	now   time.Time
	// queue is the time that the servers need for the waiting work.
	queue time.Duration
	// history holds the queue of the last steps, the latest first.
	history [observationDelay]time.Duration
	// arrived, admitted and inTime count requests by rank; refused holds the retry
	// delays of refused requests.
	arrived, admitted, inTime [2]int
	refused                   []time.Duration
}

const (
	// step is the length of one simulation step.
	step = time.Millisecond
	// observationDelay is the number of steps after which hosts observe the queue.
	observationDelay = 50
	// highWork and lowWork are the server times of a request of the higher and the
	// lower rank, short enough that single requests do not matter.
	highWork = time.Millisecond
	lowWork  = highWork / 3
	// serviceRate is the number of requests per second that the servers can process,
	// with three of the higher rank to one of the lower.
	serviceRate   = 1200.0
	highObjective = 200 * time.Millisecond
	lowObjective  = 100 * time.Millisecond
	// serviceTime is the latency of a request that does not wait.
	serviceTime = 60 * time.Millisecond
)

func newSimulation(hosts int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	for i := range hosts {
		s.gates = append(s.gates, admission.NewGate(rand.New(rand.NewPCG(uint64(i), 3))))
	}
	return s
}

// run simulates arrivals for the given time, at a multiple of the service rate.
func (s *simulation) run(length time.Duration, load float64) {
	for range length / step {
		s.now = s.now.Add(step)
		copy(s.history[1:], s.history[:observationDelay-1])
		s.history[0] = s.queue
		s.queue = max(s.queue-step, 0)
		for rank, share := range [2]float64{0.75, 0.25} {
			for expected := load * serviceRate * share * step.Seconds(); expected > 0; expected-- {
				if s.rng.Float64() < expected {
					s.arrive(uint32(rank))
				}
			}
		}
	}
}

// arrive offers a request of the given rank to the gate of a random host.
func (s *simulation) arrive(rank uint32) {
	// More than half of the requests arrive at the first host.
	gate := s.gates[max(0, s.rng.IntN(2*len(s.gates))-len(s.gates))]
	objective, work := highObjective, highWork
	if rank == 1 {
		objective, work = lowObjective, lowWork
	}
	s.arrived[rank]++
	decision := gate.Offer(admission.Request{Rank: rank, Objective: objective, Wait: s.history[observationDelay-1]}, s.now)
	gate.ObserveCost(rank, work)
	if !decision.Admitted {
		s.refused = append(s.refused, decision.RetryAfter)
		return
	}
	s.admitted[rank]++
	if s.queue+serviceTime <= objective {
		s.inTime[rank]++
	}
	s.queue += work
}

// reset clears the counters.
func (s *simulation) reset() {
	s.arrived, s.admitted, s.inTime, s.refused = [2]int{}, [2]int{}, [2]int{}, nil
}

// goodput returns the share of the server time in length that was used for answers
// within the objective.
func (s *simulation) goodput(length time.Duration) float64 {
	used := time.Duration(s.inTime[0])*highWork + time.Duration(s.inTime[1])*lowWork
	return used.Seconds() / length.Seconds()
}

// Goodput does not fall as the load grows to six times the service rate, the higher rank
// is preferred and the lower one is not starved.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, hosts := range []int{1, 8, 62} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			last := 0.0
			for _, load := range []float64{1, 1.5, 2, 3, 6} {
				s := newSimulation(hosts)
				s.run(2*time.Second, 0.5)
				s.run(3*time.Second, load)
				s.reset()
				s.run(10*time.Second, load)
				goodput := s.goodput(10 * time.Second)
				assert.Assert(t, goodput > 0.8, "load %.1f: goodput %.2f", load, goodput)
				assert.Assert(t, goodput > last-0.08, "load %.1f: goodput %.2f, but %.2f at a lower load", load, goodput, last)
				last = goodput
				highShare := float64(s.admitted[0]) / float64(s.arrived[0])
				lowShare := float64(s.admitted[1]) / float64(s.arrived[1])
				if load >= 2 {
					assert.Assert(t, lowShare > 0.04 && lowShare < highShare, "load %.1f: admitted %.2f of the lower rank, %.2f of the higher", load, lowShare, highShare)
				}
			}
		})
	}
}

// Four times the service rate at the lower rank does not affect the higher one. From
// about seven times on the refused share oscillates and the higher rank is affected.
func TestFloodOfTheLowerRankLeavesTheHigherAlone(t *testing.T) {
	s := newSimulation(8)
	flood := func(length time.Duration) {
		for range length / step {
			s.run(step, 0.5)
			for range 12 {
				s.arrive(1)
			}
		}
	}
	flood(2 * time.Second)
	s.reset()
	flood(5 * time.Second)
	share := float64(s.admitted[0]) / float64(s.arrived[0])
	assert.Assert(t, share > 0.98, "%.3f of the higher rank admitted", share)
}

// One second after an overload all requests are admitted, except up to 1% of the lower
// rank, which is refused first in random bursts.
func TestRecoversAfterOverload(t *testing.T) {
	s := newSimulation(8)
	s.run(5*time.Second, 6)
	s.run(time.Second, 0.5)
	s.reset()
	s.run(2*time.Second, 0.5)
	assert.Equal(t, s.admitted[0], s.arrived[0])
	assert.Assert(t, float64(s.admitted[1]) > 0.99*float64(s.arrived[1]), "admitted %d of %d of the lower rank", s.admitted[1], s.arrived[1])
}

// All hosts admit about the same share of their requests, although more than half of
// the requests arrive at one of them.
func TestHostsConvergeToTheSameShare(t *testing.T) {
	s := newSimulation(8)
	s.run(5*time.Second, 3)
	low, high := 1.0, 0.0
	for _, g := range s.gates {
		chance := 0.0
		for range 20 {
			chance += g.Offer(admission.Request{Objective: highObjective, Wait: s.queue}, s.now).Probability / 20
		}
		low, high = min(low, chance), max(high, chance)
	}
	assert.Assert(t, high-low < 0.3, "admission probabilities between %.2f and %.2f", low, high)
}

// The retry delay of refused callers grows with the length of the overload and is
// jittered.
func TestReturnsAreSpread(t *testing.T) {
	s := newSimulation(8)
	s.run(300*time.Millisecond, 6)
	early := mean(s.refused)
	s.run(4*time.Second, 6)
	s.reset()
	s.run(time.Second, 6)
	assert.Assert(t, early < time.Second, "mean retry delay %v early in the overload", early)
	assert.Assert(t, mean(s.refused) > 2*time.Second, "mean retry delay %v late in the overload", mean(s.refused))
	distinct := map[time.Duration]bool{}
	for _, d := range s.refused {
		distinct[d] = true
	}
	assert.Assert(t, len(distinct) > len(s.refused)/10)
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(max(len(all), 1))
}

// Requests past their objective are refused before requests of first attempts.
func TestLateCallersComeLast(t *testing.T) {
	s := newSimulation(1)
	g := s.gates[0]
	late, first := 0, 0
	for i := range 4000 {
		s.now = s.now.Add(time.Millisecond)
		request := admission.Request{Objective: highObjective, Late: i%2 == 0, Wait: 30 * time.Millisecond}
		admitted := g.Offer(request, s.now).Admitted
		g.ObserveCost(0, highWork)
		switch {
		case !admitted || i < 3000:
		case request.Late:
			late++
		default:
			first++
		}
	}
	assert.Assert(t, late < first/2, "admitted %d late requests, %d others", late, first)
}

// For any input the probability is within 0 and 1 and a refusal has a retry delay.
func TestGateHoldsForAnyInput(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := admission.NewGate(rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
			request := admission.Request{
				Rank:      rapid.Uint32().Draw(rt, "rank"),
				Objective: time.Duration(rapid.IntRange(0, 1000).Draw(rt, "objective")) * time.Millisecond,
				Late:      rapid.Bool().Draw(rt, "late"),
				Wait:      time.Duration(rapid.IntRange(0, 100000).Draw(rt, "wait")) * time.Millisecond,
			}
			decision := g.Offer(request, now)
			g.ObserveCost(request.Rank, time.Duration(rapid.IntRange(0, 100).Draw(rt, "ran"))*time.Millisecond)
			if !(decision.Probability >= 0 && decision.Probability <= 1) || decision.RetryAfter < 0 || (!decision.Admitted && decision.RetryAfter <= 0) {
				rt.Fatalf("Offer(%+v) = %+v", request, decision)
			}
		}
	})
}

func TestPatienceInfersElapsedTime(t *testing.T) {
	var p admission.WaitEstimator
	now := time.Unix(1000, 0)
	assert.Equal(t, p.Waited(3*time.Second, now), time.Duration(0))
	assert.Equal(t, p.Waited(2200*time.Millisecond, now.Add(time.Second)), 800*time.Millisecond)
	// A longer timeout that is no longer seen, as after a configuration change, expires.
	for i := range 30 {
		p.Waited(time.Second, now.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, p.Waited(time.Second, now.Add(31*time.Second)), time.Duration(0))
}

func ExampleGate() {
	g := admission.NewGate(rand.New(rand.NewPCG(1, 1)))
	decision := g.Offer(admission.Request{Objective: 200 * time.Millisecond}, time.Unix(1000, 0))
	fmt.Println(decision.Admitted)
	// Output: true
}

func BenchmarkGate(b *testing.B) {
	g := admission.NewGate(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		g.Offer(admission.Request{Rank: uint32(i % 2), Objective: 200 * time.Millisecond, Wait: 30 * time.Millisecond}, now)
	}
}

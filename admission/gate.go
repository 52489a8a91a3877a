package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// targetShare is the wait at the servers that the gate holds in an overload, as
	// a share of the objective of the highest rank: long enough to keep every slot
	// busy, and short enough for what is let in to be answered in time although
	// shards differ.
	targetShare = 0.12
	// integralGain and proportionalGain say by how much more of the offered work is
	// refused: for each second that the wait is one target too long, and for each
	// target by which it has grown. With them the share settles without swinging
	// where the wait is known a tenth of a second late.
	integralGain     = 0.5
	proportionalGain = 0.1
	// gainGap is the time between two requests up to which the gains hold. A host
	// that asks more rarely knows the wait later and follows it more slowly.
	gainGap = 100 * time.Millisecond
	// longestStep bounds the time that one change of the share stands for.
	longestStep = 250 * time.Millisecond
	// leastTarget bounds that wait where an objective is odd.
	leastTarget = time.Millisecond
	// leak is the part of the share that is let go each second. Hosts that have come
	// to different shares come together, as who refuses more lets more go; the wait
	// settles a little above its target for it.
	leak = 0.25
	// shortWait is the wait, in targets, below which the servers have room; the share
	// then falls to a third in shortLife.
	shortWait = 0.25
	shortLife = 200 * time.Millisecond
	// floorShare is the share of the admitted work that each lower rank keeps, so
	// that it is not starved.
	floorShare = 0.03
	// rankLife is for how long a rank counts after its last request.
	rankLife = 5 * time.Second
	// workLife is the time in which work that was offered falls to a third of its
	// weight.
	workLife = time.Second
	// costSmoothing is the weight of a new sample of the cost of a request.
	costSmoothing = 0.05
	// overloadedShare is the share of the work refused from which it is an overload.
	overloadedShare = 0.05
	// overloadGap is the time without a refusal after which an overload is over.
	overloadGap = time.Second
	// leastReturn is the earliest return of a caller, as a share of the objective:
	// one that is refused in a short overload may still be served in time.
	leastReturn = 0.5
	// longestReturn bounds that time for the highest rank, before it is spread.
	longestReturn = 2500 * time.Millisecond
	// rankReturn is by how much later each lower rank is asked to come back, as a
	// share of the time of the highest, for laterRanks at most.
	rankReturn = 0.5
	laterRanks = 3
)

// Gate decides, when a request arrives, whether the servers have room for it. It
// is for servers that many hosts share: each host has a gate of its own and
// nothing is agreed between them. What they have in common is the wait at the
// servers, which all of them observe. A gate refuses a share of the offered work
// that grows while the wait is too long and falls while it is short (a PI
// controller, as in the queue management PIE), so that all hosts come to about the
// same share, however unevenly the requests are spread. That share is taken from
// callers that come back too late for their objective first, then from the lowest
// rank.
//
// With three times the callers that 40 servers have room for, on 8 hosts, answers in
// time came to 240 a second where 72 came without a gate, counted from the callers. A
// Gate is not safe for concurrent use.
type Gate struct {
	rng   *rand.Rand
	ranks []*rankState
	// refuse is the share (0 to 1) of the offered work that is refused.
	refuse float64
	// wait is the wait of the request before, in targets, at is when it came, and
	// gap the smoothed time between two requests.
	wait float64
	at   time.Time
	gap  time.Duration
	// since is when the present overload began, refused when a request was last
	// refused.
	since, refused time.Time
}

// rankState is a rank that has asked of late.
type rankState struct {
	rank uint32
	// late tells that its requests can no longer be answered within the objective.
	late      bool
	objective time.Duration
	at        time.Time
	// work is what was offered of late, in seconds, the recent with more weight.
	work float64
	// cost is the smoothed time that a request takes of a server.
	cost time.Duration
}

// Ask is a request at a gate.
type Ask struct {
	// Rank is the rank of the class; 0 is the highest.
	Rank uint32
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Late tells that the objective has passed since the caller's first attempt.
	Late bool
	// Wait is how long a request would wait at the servers.
	Wait time.Duration
}

// Verdict is what a gate decides.
type Verdict struct {
	Admitted bool
	// Chance is that with which the request was let in.
	Chance float64
	// RetryAfter is when a request that was refused has a new chance.
	RetryAfter time.Duration
}

// NewGate returns a gate that has seen no request.
func NewGate(rng *rand.Rand) *Gate { return &Gate{rng: rng} }

// Ran takes in how long a request of a rank took of one server.
func (g *Gate) Ran(rank uint32, cost time.Duration) {
	for _, r := range g.ranks {
		if r.rank != rank {
			continue
		}
		if r.cost == 0 {
			r.cost = cost
		}
		r.cost += time.Duration(costSmoothing * float64(cost-r.cost))
	}
}

// Offer decides about a request.
func (g *Gate) Offer(ask Ask, now time.Time) Verdict {
	index := g.see(ask, now)
	g.adjust(ask.Wait, now)
	c := g.chance(index)
	if c >= 1 || g.rng.Float64() < c {
		return Verdict{Admitted: true, Chance: c}
	}
	if now.Sub(g.refused) > overloadGap {
		g.since = now
	}
	g.refused = now
	return Verdict{Chance: c, RetryAfter: g.retryAfter(ask, index, now)}
}

// see notes a request and returns the index of its rank.
func (g *Gate) see(ask Ask, now time.Time) int {
	g.ranks = slices.DeleteFunc(g.ranks, func(r *rankState) bool { return r.order(ask) != 0 && now.Sub(r.at) > rankLife })
	i, known := slices.BinarySearchFunc(g.ranks, ask, (*rankState).order)
	if !known {
		g.ranks = slices.Insert(g.ranks, i, &rankState{rank: ask.Rank, late: ask.Late, at: now, cost: g.cost(ask.Rank)})
	}
	r := g.ranks[i]
	r.work = r.work*math.Exp(-float64(now.Sub(r.at))/float64(workLife)) + r.cost.Seconds()
	r.objective, r.at = ask.Objective, now
	return i
}

// order compares a rank with that of a request: what is late comes last.
func (r *rankState) order(ask Ask) int {
	if r.late != ask.Late {
		if r.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.rank, ask.Rank)
}

// cost returns what a request of a rank is known to cost.
func (g *Gate) cost(rank uint32) time.Duration {
	for _, r := range g.ranks {
		if r.rank == rank {
			return r.cost
		}
	}
	return 0
}

// adjust moves the share that is refused by the wait that is seen now.
func (g *Gate) adjust(wait time.Duration, now time.Time) {
	target := max(targetShare*float64(g.ranks[0].objective), float64(leastTarget))
	w := float64(wait) / target
	step := min(now.Sub(g.at), longestStep)
	g.gap += time.Duration(costSmoothing * float64(min(now.Sub(g.at), rankLife)-g.gap))
	gain := min(1, float64(gainGap)/float64(max(g.gap, 1)))
	g.refuse += gain * (integralGain*step.Seconds()*(w-1) + proportionalGain*(w-g.wait))
	g.refuse -= leak * step.Seconds() * g.refuse
	if w < shortWait {
		g.refuse *= math.Exp(-float64(step) / float64(shortLife))
	}
	g.refuse = min(max(g.refuse, 0), 1)
	g.wait, g.at = w, now
}

// chance returns with which chance a request of the index-th rank is let in, where
// what is refused is taken from the lowest rank first, and of each but the highest
// all except its floor.
func (g *Gate) chance(index int) float64 {
	total := g.offered()
	left := g.refuse * total
	for i := len(g.ranks) - 1; i > index; i-- {
		left -= (1 - g.floor(i)) * g.ranks[i].work
	}
	if left <= 0 {
		return 1
	}
	if g.ranks[index].work == 0 {
		return 1 // Nothing is known of the cost yet.
	}
	return max(g.floor(index), 1-left/g.ranks[index].work)
}

// offered is the work that was offered of late.
func (g *Gate) offered() float64 {
	total := 0.0
	for _, r := range g.ranks {
		total += r.work
	}
	return total
}

// floor is the chance that the index-th rank keeps whatever is refused.
func (g *Gate) floor(index int) float64 {
	r := g.ranks[index]
	if index == 0 || r.late || r.work == 0 {
		return 0
	}
	return min(1, floorShare*(1-g.refuse)*g.offered()/r.work)
}

// Overloaded reports whether so much is refused that copies of requests would only
// take the place of others.
func (g *Gate) Overloaded() bool { return g.refuse > overloadedShare }

// retryAfter returns when a caller should come back. An overload of unknown end
// is expected to last as long again as it has lasted; the returns are spread over
// that time, and those of lower ranks come after.
func (g *Gate) retryAfter(ask Ask, index int, now time.Time) time.Duration {
	least := max(time.Duration(leastReturn*float64(ask.Objective)), leastTarget)
	wait := min(max(now.Sub(g.since), least), longestReturn)
	wait += time.Duration(g.rng.Float64() * float64(wait))
	return wait + time.Duration(rankReturn*float64(min(index, laterRanks))*float64(wait))
}

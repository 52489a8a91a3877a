package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// targetShare is the wait at the servers that the controller aims for, as a share of
	// the objective of the highest active rank: long enough to keep every slot busy, short
	// enough that admitted requests still meet the objective when the waits of shards
	// differ.
	targetShare = 0.12
	// integralGain and proportionalGain are the gains of the controller, whose input is
	// the wait as a multiple of its target. integralGain is the increase of the refused
	// share per second for each multiple by which the wait exceeds the target;
	// proportionalGain is the increase for each multiple by which the wait has grown since
	// the previous request. Higher gains cause oscillation, because the wait is observed
	// about 100 ms late.
	integralGain     = 0.5
	proportionalGain = 0.1
	// fullGainInterval is the longest mean interval between requests at which the
	// gains apply in full. A host with fewer requests observes the wait less often and
	// follows it more slowly.
	fullGainInterval = 100 * time.Millisecond
	// maxStep bounds the elapsed time that one update of the refused share accounts for.
	maxStep = 250 * time.Millisecond
	// minTarget is the minimum of the target wait and of the retry delay, for objectives
	// that are zero or very short.
	minTarget = time.Millisecond
	// leakRate is the fraction of the refused share that is released each second. Hosts
	// that refuse more release more, so their shares converge; in return the wait
	// settles slightly above its target.
	leakRate = 0.25
	// lowWait is the wait, as a multiple of its target, below which the servers have spare
	// capacity; the refused share then decays with time constant lowWaitDecay.
	lowWait      = 0.25
	lowWaitDecay = 200 * time.Millisecond
	// floorShare is the share of the admitted work reserved for each lower rank, which
	// prevents starvation.
	floorShare = 0.03
	// rankExpiry is the time after its last request at which a rank is forgotten. It also
	// bounds the samples of the interval between requests.
	rankExpiry = 5 * time.Second
	// workDecay is the time constant with which offered work loses weight.
	workDecay = time.Second
	// costSmoothing is the weight of a new sample in the moving averages of the cost of
	// a request and of the interval between requests.
	costSmoothing = 0.05
	// overloadThreshold is the refused share above which the gate reports an overload.
	overloadThreshold = 0.05
	// overloadEnd is the time without a refusal after which an overload is over.
	overloadEnd = time.Second
	// minRetryShare is the shortest retry delay, as a share of the objective. It is less
	// than 1 so that a caller refused in a short overload may still be served in time.
	minRetryShare = 0.5
	// maxRetryDelay bounds the retry delay of the highest rank, before jitter.
	maxRetryDelay = 2500 * time.Millisecond
	// rankRetryStep is the extra retry delay for each active rank that is admitted before
	// that of the request, as a share of the delay of the highest. At most maxRankSteps
	// ranks count.
	rankRetryStep = 0.5
	maxRankSteps  = 3
)

// Gate decides on arrival whether a request is admitted to servers shared by many
// hosts. Each host has its own gate. While it has a recent verdict of a SharedGate, that
// decides. Otherwise the gates do not communicate, but all hosts observe
// the same wait at the servers: a gate refuses a share of the
// offered work that grows while the wait is above its target and shrinks while it is
// below (a PI controller, as in the PIE queue management algorithm), so that all hosts
// converge to about the same share, however unevenly requests are spread. Callers that
// can no longer meet their objective are refused first, then the lowest rank. A Gate is
// not safe for concurrent use.
type Gate struct {
	rng *rand.Rand
	// ranks are the active ranks, in the order in which they are admitted.
	ranks []*rankState
	// refusedShare is the share (0 to 1) of the offered work that is refused.
	refusedShare float64
	// lastWait is the wait at the previous request, as a multiple of its target, lastAt the
	// time of that request, and meanInterval the smoothed time between requests.
	lastWait     float64
	lastAt       time.Time
	meanInterval time.Duration
	// verdict is the last valid verdict, received at verdictAt; zero if a later one was out of range.
	verdict   Verdict
	verdictAt time.Time
	// overloadStart is when the current overload began, lastRefusal when a request was
	// last refused.
	overloadStart, lastRefusal time.Time
}

// rankState holds the recent load of the requests of one rank that are late, or of those
// that are not. Both have their own place among the ranks of a gate.
type rankState struct {
	rank uint32
	// late is set if the state is that of requests whose objective has already passed.
	late      bool
	objective time.Duration
	// work is the recently offered work, in seconds of server time, as of the last request.
	work decayedSum
	// cost is the smoothed server time of one request.
	cost time.Duration
}

// Request describes a request offered to a gate.
type Request struct {
	// Rank is the rank of the class; 0 is the highest.
	Rank uint32
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Late is set if more time than the objective has passed since the caller's first
	// attempt.
	Late bool
	// Returning is set if the caller returns after a refusal, no sooner than it was told.
	Returning bool
	// Team is the team of the caller, or empty.
	Team string
	// Wait is the estimated time that the request would wait at the servers.
	Wait time.Duration
}

// Decision is the decision of a gate on one request.
type Decision struct {
	Admitted bool
	// Probability is the probability (0 to 1) with which the request was admitted.
	Probability float64
	// RetryAfter is the delay after which a refused caller should try again.
	RetryAfter time.Duration
	// Shared is set if a verdict decided, which is VerdictAge old.
	Shared     bool
	VerdictAge time.Duration
	// Offered is the request as work to be reported to the SharedGate.
	Offered Offered
}

// NewGate returns a gate that refuses nothing yet. rng is used to decide admissions and for
// jitter.
func NewGate(rng *rand.Rand) *Gate { return &Gate{rng: rng} }

// ObserveCost records the server time that a request of the given rank used.
func (g *Gate) ObserveCost(rank uint32, cost time.Duration) {
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

// Offer admits or refuses a request that arrives at now.
func (g *Gate) Offer(request Request, now time.Time) Decision {
	index := g.record(request, now)
	g.updateShare(request.Wait, now)
	decision := Decision{Probability: g.admitProbability(index), Offered: g.ranks[index].offered(request)}
	class, shared := g.sharedVerdict(request, now)
	if shared {
		decision.Shared, decision.VerdictAge, decision.Probability = true, now.Sub(g.verdictAt), class.Probability
	}
	if decision.Probability >= 1 || g.rng.Float64() < decision.Probability {
		decision.Admitted = true
		return decision
	}
	if now.Sub(g.lastRefusal) > overloadEnd {
		g.overloadStart = now
	}
	g.lastRefusal = now
	if shared {
		decision.RetryAfter = max(class.RetryAfter+time.Duration(g.rng.Float64()*float64(class.Spread)), minTarget)
	} else {
		decision.RetryAfter = g.retryAfter(request, index, now)
	}
	return decision
}

// offered returns a request as offered work.
func (r *rankState) offered(request Request) Offered {
	class := Class{Rank: request.Rank, Late: request.Late, Returning: request.Returning, Team: request.Team}
	return Offered{Class: class, Requests: 1, Work: r.cost, Objective: request.Objective}
}

// ApplyVerdict lets a verdict received at now decide until it is replaced or too old. A verdict
// out of range also ends the one before.
func (g *Gate) ApplyVerdict(v Verdict, now time.Time) {
	if !v.valid() {
		v, now = Verdict{}, time.Time{}
	}
	g.verdict, g.verdictAt = v, now
}

// hasVerdict reports whether there is a verdict that is recent.
func (g *Gate) hasVerdict(now time.Time) bool {
	return !g.verdictAt.IsZero() && now.Sub(g.verdictAt) <= MaxVerdictAge
}

// sharedVerdict returns the verdict on the class of a request, or false if there is none that is
// recent.
func (g *Gate) sharedVerdict(request Request, now time.Time) (ClassVerdict, bool) {
	if !g.hasVerdict(now) {
		return ClassVerdict{}, false
	}
	return g.verdict.find(Class{Rank: request.Rank, Late: request.Late, Returning: request.Returning, Team: request.Team}), true
}

// record adds a request to the offered work and returns the index of its rank. Ranks
// without recent requests are dropped.
func (g *Gate) record(request Request, now time.Time) int {
	g.ranks = slices.DeleteFunc(g.ranks, func(r *rankState) bool { return r.compare(request) != 0 && now.Sub(r.work.at) > rankExpiry })
	i, known := slices.BinarySearchFunc(g.ranks, request, (*rankState).compare)
	if !known {
		g.ranks = slices.Insert(g.ranks, i, &rankState{rank: request.Rank, late: request.Late, cost: g.rankCost(request.Rank)})
	}
	r := g.ranks[i]
	r.work.add(r.cost.Seconds(), workDecay, now)
	r.objective = request.Objective
	return i
}

// compare orders a rank relative to that of a request, highest first. Late ones come after all
// others.
func (r *rankState) compare(request Request) int {
	if r.late != request.Late {
		if r.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.rank, request.Rank)
}

// rankCost returns the smoothed cost of a request of the given rank, or 0 if unknown.
func (g *Gate) rankCost(rank uint32) time.Duration {
	for _, r := range g.ranks {
		if r.rank == rank {
			return r.cost
		}
	}
	return 0
}

// updateShare runs one step of the controller with the wait observed at now.
func (g *Gate) updateShare(wait time.Duration, now time.Time) {
	ratio := float64(wait) / float64(targetWait(g.ranks[0].objective))
	step := min(now.Sub(g.lastAt), maxStep)
	g.meanInterval += time.Duration(costSmoothing * float64(min(now.Sub(g.lastAt), rankExpiry)-g.meanInterval))
	gain := min(1, float64(fullGainInterval)/float64(max(g.meanInterval, 1)))
	g.refusedShare += gain * (integralGain*step.Seconds()*(ratio-1) + proportionalGain*(ratio-g.lastWait))
	g.refusedShare -= leakRate * step.Seconds() * g.refusedShare
	if ratio < lowWait {
		g.refusedShare *= math.Exp(-float64(step) / float64(lowWaitDecay))
	}
	g.refusedShare = min(max(g.refusedShare, 0), 1)
	g.lastWait, g.lastAt = ratio, now
}

// targetWait returns the wait at the servers to aim for, given the objective of the highest
// active rank.
func targetWait(objective time.Duration) time.Duration {
	return max(time.Duration(targetShare*float64(objective)), minTarget)
}

// admitProbability returns the probability with which a request of the index-th rank is
// admitted. Refusals are taken from the lowest rank first, down to its floor, then from
// the next higher rank.
func (g *Gate) admitProbability(index int) float64 {
	total := g.offeredWork()
	excess := g.refusedShare * total
	for i := len(g.ranks) - 1; i > index; i-- {
		excess -= (1 - g.floor(i)) * g.ranks[i].work.value
	}
	if excess <= 0 {
		return 1
	}
	if g.ranks[index].work.value == 0 {
		return 1 // The cost is not known yet.
	}
	return max(g.floor(index), 1-excess/g.ranks[index].work.value)
}

// offeredWork returns the recently offered work of all ranks, in seconds of server time.
func (g *Gate) offeredWork() float64 {
	total := 0.0
	for _, r := range g.ranks {
		total += r.work.value
	}
	return total
}

// floor returns the minimum admission probability of the index-th rank, which is 0 for the
// highest rank and for late requests.
func (g *Gate) floor(index int) float64 {
	r := g.ranks[index]
	if index == 0 || r.late || r.work.value == 0 {
		return 0
	}
	return min(1, floorShare*(1-g.refusedShare)*g.offeredWork()/r.work.value)
}

// Overloaded reports whether the gate refuses so much that a hedge would only displace
// another request.
func (g *Gate) Overloaded(now time.Time) bool {
	if g.hasVerdict(now) {
		return g.verdict.RefusedShare > overloadThreshold
	}
	return g.refusedShare > overloadThreshold
}

// retryAfter returns the delay after which a refused caller should try again. An
// overload is expected to last as long again as it has lasted so far; retries are
// jittered over that time, and those of lower ranks are delayed further.
func (g *Gate) retryAfter(request Request, index int, now time.Time) time.Duration {
	delay := min(max(now.Sub(g.overloadStart), ShortestRetry(request.Objective)), maxRetryDelay)
	delay += time.Duration(g.rng.Float64() * float64(delay))
	return delay + rankDelay(delay, index)
}

// ShortestRetry returns the shortest retry delay that a gate tells a caller with the given
// objective. Whoever returns sooner has not waited as told.
func ShortestRetry(objective time.Duration) time.Duration {
	return max(time.Duration(minRetryShare*float64(objective)), minTarget)
}

// rankDelay returns the extra delay of callers of the index-th rank, where that of the
// highest is delay.
func rankDelay(delay time.Duration, index int) time.Duration {
	return time.Duration(rankRetryStep * float64(min(index, maxRankSteps)) * float64(delay))
}

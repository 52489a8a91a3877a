package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// offeredSpan is the time constant with which the offered work loses weight. It is short, so
	// that a step of the load is known within a few reports, and long enough for some tens
	// of requests in an overload.
	offeredSpan = 150 * time.Millisecond
	// teamSpan is the same for the work of one team, which sends few requests.
	teamSpan = 2 * time.Second
	// drainTime is the time in which a wait above its target is to be worked off. It is more
	// than twice the delay with which the wait is observed, so that the admitted work does not
	// oscillate.
	drainTime = 250 * time.Millisecond
	// capacitySpan is the time constant of the estimate of the capacity.
	capacitySpan = 600 * time.Millisecond
	// saturationGain is the change of the estimated capacity per second for each multiple of its
	// target, at most maxExcess, by which the wait differs from it. It does not apply while a long
	// wait falls. Servers and hosts bound their queues and drop the rest, so that beyond some load
	// the wait no longer grows with the admitted work.
	saturationGain = 1.0
	maxExcess      = 3.0
	// maxObservationGap is the longest time between two observations of the wait from which the
	// capacity is inferred.
	maxObservationGap = 250 * time.Millisecond
	// reservedShare is the share of the capacity of a rank that is promised to returning callers
	// while new ones would use all of it.
	reservedShare = 0.03
	// calmShare is the share of the capacity that is expected to be free after an overload.
	calmShare = 0.25
	// returnShare is the share of the free capacity that returns are spread for, as they do not come
	// evenly.
	returnShare = 0.5
	// maxSpread bounds the span over which returns are spread.
	maxSpread = 4 * time.Second
	// returnSpan is the time constant with which refused callers give up.
	returnSpan = 4 * time.Second
	// teamMargin is the probability of admission of a team, as a share of the common one, below
	// which the verdict lists it; maxListedTeams bounds the list of a rank.
	teamMargin     = 0.95
	maxListedTeams = 16
	// teamSlack is by how much the teams that are not listed may exceed their part for a moment, at
	// the expense of the listed ones, and minTeamShare the share of its part that a listed
	// team keeps. So short variations of what is admissible do not reach the others.
	teamSlack    = 1.25
	minTeamShare = 0.5
	// maxRanks and maxTeams bound the state.
	maxRanks = 32
	maxTeams = 2048
	// maxReportedWork bounds the server time of one request in a report, and maxReported the
	// requests of a report.
	maxReportedWork = 10 * time.Second
	maxReported     = 10000
	// minWork, in seconds of server time a second, replaces zero where work divides.
	minWork = 1e-9
	// unknownCost is the cost of a request of a rank of which no cost is known.
	unknownCost = 0.01
)

// SharedGate decides for the gates of all hosts on the admission to servers that they share.
// It answers a step of the load where each host has too few requests to learn the wait by itself:
// it sees the work offered at all hosts and the wait at the servers, infers the capacity of the
// servers from both and admits that much, corrected by the difference of the wait from its
// target. The estimate of the capacity follows the admitted work, which makes it the
// integral part of a PI controller. A SharedGate is not safe for concurrent use.
type SharedGate struct {
	ranks    []*sharedRank
	capacity capacityEstimate
	teams    int
	// verdict is the last verdict and previous the one before. Work that is reported now was
	// mostly admitted by the previous one.
	verdict, previous Verdict
	// overloadStart is when the current overload began, lastRefusal when a verdict last refused.
	overloadStart, lastRefusal time.Time
}

// sharedRank holds the recent load of one rank.
type sharedRank struct {
	rank      uint32
	objective time.Duration
	lastAt    time.Time
	// cost is the smoothed server time of a request in seconds.
	cost float64
	// work is the offered work by class, in seconds of server time.
	work [2][2]decayedSum
	// teams is the work on time by team.
	teams map[string]*decayedSum
	// refused is the work of refused callers who are expected to return.
	refused decayedSum
}

// NewSharedGate returns a gate that refuses nothing yet.
func NewSharedGate() *SharedGate { return &SharedGate{} }

// Offered records work that a host reported at now.
func (s *SharedGate) Offered(offered []Offered, now time.Time) {
	for _, o := range offered {
		if o.Requests > 0 && o.Requests <= maxReported && o.Work >= 0 && o.Work <= time.Duration(o.Requests)*maxReportedWork && o.Objective >= 0 {
			s.record(o, now)
		}
	}
}

func (s *SharedGate) record(o Offered, now time.Time) {
	r := s.findRank(o.Rank)
	if r == nil {
		return
	}
	if o.Work > 0 {
		sample := o.Work.Seconds() / float64(o.Requests)
		r.cost = cmp.Or(r.cost, sample)
		r.cost += costSmoothing * (sample - r.cost)
	}
	// The cost is that of all hosts: a host with few requests may not know it.
	work := cmp.Or(r.cost, unknownCost) * float64(o.Requests)
	r.objective, r.lastAt = o.Objective, now
	r.work[index(o.Late)][index(o.Returning)].add(work, offeredSpan, now)
	if !o.Late && o.Team != "" {
		s.recordTeam(r, o.Team, work, now)
	}
	p := s.previous.find(o.Class).Probability
	s.capacity.admitted += p * work
	r.refused.add((1-p)*work, returnSpan, now)
	if o.Returning {
		r.refused.value = max(r.refused.value-work, 0)
	}
}

// findRank returns the state of a rank, or nil if there are too many.
func (s *SharedGate) findRank(rank uint32) *sharedRank {
	i, known := slices.BinarySearchFunc(s.ranks, rank, func(r *sharedRank, rank uint32) int { return cmp.Compare(r.rank, rank) })
	if !known {
		if len(s.ranks) >= maxRanks {
			return nil
		}
		s.ranks = slices.Insert(s.ranks, i, &sharedRank{rank: rank, teams: map[string]*decayedSum{}})
	}
	return s.ranks[i]
}

func (s *SharedGate) recordTeam(r *sharedRank, team string, work float64, now time.Time) {
	t := r.teams[team]
	if t == nil {
		if s.teams >= maxTeams {
			return // Its requests count among those of all teams.
		}
		t = &decayedSum{}
		r.teams[team] = t
		s.teams++
	}
	t.add(work, teamSpan, now)
}

// forget drops ranks and teams without recent requests.
func (s *SharedGate) forget(now time.Time) {
	s.ranks = slices.DeleteFunc(s.ranks, func(r *sharedRank) bool { return now.Sub(r.lastAt) > rankExpiry })
	s.teams = 0
	for _, r := range s.ranks {
		maps.DeleteFunc(r.teams, func(_ string, t *decayedSum) bool { return now.Sub(t.at) > rankExpiry })
		s.teams += len(r.teams)
	}
}

// ObserveWait records the wait at the servers within which a request has enough of them for an
// answer.
func (s *SharedGate) ObserveWait(wait time.Duration, now time.Time) {
	s.capacity.observe(min(max(wait, 0), maxVerdictTime), s.target(), s.verdict.RefusedShare > 0, now)
	if wait <= s.target() {
		s.capacity.atLeast(floorShare * s.total(now))
	}
}

// target returns the wait to aim for.
func (s *SharedGate) target() time.Duration {
	if len(s.ranks) == 0 {
		return minTarget
	}
	return targetWait(s.ranks[0].objective)
}

// Verdict returns the decision as of now, or false if the wait has not been observed recently.
func (s *SharedGate) Verdict(now time.Time) (Verdict, bool) {
	s.forget(now)
	s.previous, s.verdict = s.verdict, Verdict{Wait: s.capacity.lastWait}
	if now.Sub(s.capacity.lastAt) > MaxVerdictAge {
		return Verdict{}, false
	}
	total := s.total(now)
	admissible := s.capacity.admissible(s.target(), now)
	if admissible >= total {
		return s.verdict, true
	}
	s.verdict.RefusedShare = 1 - admissible/total
	if now.Sub(s.lastRefusal) > overloadEnd {
		s.overloadStart = now
	}
	s.lastRefusal = now
	s.verdict.Classes = s.allocate(admissible, now)
	return s.verdict, true
}

// total returns the offered work of all ranks, in seconds of server time a second.
func (s *SharedGate) total(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += r.total(now)
	}
	return sum
}

// Promised returns the work of refused callers, in seconds of server time, who are expected to
// return.
func (s *SharedGate) Promised(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += r.refused.rate(returnSpan, now) * returnSpan.Seconds()
	}
	return sum
}

func (r *sharedRank) rate(late, returning bool, now time.Time) float64 {
	return r.work[index(late)][index(returning)].rate(offeredSpan, now)
}

// total returns the offered work of all classes of a rank, in seconds of server time a second.
func (r *sharedRank) total(now time.Time) float64 {
	return r.rate(false, false, now) + r.rate(false, true, now) + r.rate(true, false, now) + r.rate(true, true, now)
}

func index(set bool) int {
	if set {
		return 1
	}
	return 0
}

// capacityEstimate infers the work per second that the servers can do. While they are busy, the
// work admitted within a time is what they can do in that time and in that by which the wait has
// grown.
type capacityEstimate struct {
	// admitted is the work admitted since the last observation, in seconds of server time.
	admitted float64
	// work is the work admitted while the servers were busy, and span, in seconds, the time that
	// they needed for it.
	work, span decayedSum
	lastWait   time.Duration
	lastAt     time.Time
}

// observe records the wait at now. refusing is set if work is refused.
func (c *capacityEstimate) observe(wait, target time.Duration, refusing bool, now time.Time) {
	elapsed := now.Sub(c.lastAt)
	if elapsed <= 0 {
		return
	}
	low := time.Duration(lowWait * float64(target))
	switch {
	case elapsed > maxObservationGap:
	case wait >= low && (c.lastWait >= low || wait > target && !c.known(now)):
		c.span.add(max((elapsed+wait-c.lastWait).Seconds(), 0), capacitySpan, now)
		c.work.add(c.admitted, capacitySpan, now)
		if excess := min(float64(wait)/float64(target)-1, maxExcess); excess < 0 || wait > c.lastWait-elapsed/2 {
			c.work.value *= math.Exp(-saturationGain * excess * elapsed.Seconds())
		}
	case wait < low && refusing:
		c.work.value *= math.Exp(float64(elapsed) / float64(lowWaitDecay))
	}
	c.admitted, c.lastWait, c.lastAt = 0, wait, now
}

// atLeast raises the capacity to a minimum, in seconds of server time a second. A capacity close
// to 0, learnt while other work or a failure kept the servers busy, would grow back too slowly.
func (c *capacityEstimate) atLeast(perSecond float64) {
	c.work.value = max(c.work.value, perSecond*c.span.value)
}

// perSecond returns the capacity in seconds of server time a second.
func (c *capacityEstimate) perSecond() float64 { return c.work.value / c.span.value }

// known reports whether the servers have been busy recently. While no work was admitted, what kept
// them busy tells nothing about their capacity.
func (c *capacityEstimate) known(now time.Time) bool {
	return c.work.value > 0 && c.span.value > 0 && now.Sub(c.span.at) <= rankExpiry
}

// admissible returns the work per second to admit, which is infinite while the capacity is not
// known.
func (c *capacityEstimate) admissible(target time.Duration, now time.Time) float64 {
	if !c.known(now) {
		return math.Inf(1)
	}
	return c.perSecond() * max(0, 1+float64(target-c.lastWait)/float64(drainTime))
}

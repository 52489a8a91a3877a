package admission

import (
	"cmp"
	"slices"
	"time"
)

// rankShares is how much of the offered work of one rank is admitted, as probabilities.
type rankShares struct {
	// promised is the share of the returning requests that are admitted before all others of
	// the rank; fresh is the probability of those on time that do not return; early and late are
	// those of the other requests on time and of late ones.
	promised, fresh, early, late float64
	// free is the work per second that is left for returning requests.
	free float64
}

// allocate divides the admissible work per second: to the ranks in their order, except for the
// floors of the lower ones, within a rank to promised returns, then to requests that do not return,
// then to other returns, and what is left to requests that are late.
func (s *SharedGate) allocate(admissible float64, now time.Time) []ClassVerdict {
	shares := make([]rankShares, len(s.ranks))
	left, free := admissible, max(admissible-s.freshWork(now), 0)
	for i, r := range s.ranks {
		available := max(left-s.floors(i+1, admissible, now), s.floor(i, admissible, now), 0)
		shares[i] = r.divide(available, free, now)
		left -= r.admittedOnTime(shares[i], now)
		free = max(free-shares[i].promised*r.returning(now), 0)
	}
	var classes []ClassVerdict
	for i, r := range s.ranks {
		late := r.rate(true, false, now) + (1-shares[i].promised)*r.rate(true, true, now)
		shares[i].late = portion(left, late)
		left -= shares[i].late * late
		delay, spread := s.retry(i, shares[i], now)
		classes = append(classes, r.verdicts(shares[i], delay, spread, now)...)
	}
	return classes
}

// freshWork returns the work per second of the requests on time that do not return.
func (s *SharedGate) freshWork(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += r.rate(false, false, now)
	}
	return sum
}

// returning returns the work per second of the requests that return.
func (r *sharedRank) returning(now time.Time) float64 {
	return r.rate(false, true, now) + r.rate(true, true, now)
}

// floor returns the work reserved for the requests on time of the index-th rank.
func (s *SharedGate) floor(index int, admissible float64, now time.Time) float64 {
	if index == 0 {
		return 0
	}
	r := s.ranks[index]
	return min(floorShare*admissible, r.rate(false, false, now)+r.rate(false, true, now))
}

// floors returns the sum of the floors of the ranks from first on.
func (s *SharedGate) floors(first int, admissible float64, now time.Time) float64 {
	sum := 0.0
	for i := first; i < len(s.ranks); i++ {
		sum += s.floor(i, admissible, now)
	}
	return sum
}

// divide divides the work available to a rank between returning and new requests. free is what the
// new ones of all ranks leave. New ones keep all but the reserved share, so that a lasting overload
// does not serve only returns.
func (r *sharedRank) divide(available, free float64, now time.Time) rankShares {
	forReturns := min(max(free, reservedShare*available), available)
	promised := portion(forReturns, r.returning(now))
	rest := available - promised*r.returning(now)
	fresh, early := r.rate(false, false, now), (1-promised)*r.rate(false, true, now)
	return rankShares{promised: promised, fresh: portion(rest, fresh), early: portion(rest-fresh, early), free: forReturns}
}

// admittedOnTime returns the work per second that goes to promised returns and to requests on
// time.
func (r *sharedRank) admittedOnTime(x rankShares, now time.Time) float64 {
	return x.promised*r.returning(now) + x.fresh*r.rate(false, false, now) + x.early*(1-x.promised)*r.rate(false, true, now)
}

// portion returns which share of the wanted work the available work covers.
func portion(available, wanted float64) float64 {
	if available <= 0 {
		return 0
	}
	if wanted <= available {
		return 1
	}
	return available / wanted
}

// retry returns the shortest retry delay of the index-th rank and the span over which returns are
// spread. An overload is expected to last as long again as it has lasted so far, and to leave
// calmShare of the capacity free afterwards. The returns must not exceed returnShare of what is
// free.
func (s *SharedGate) retry(index int, x rankShares, now time.Time) (delay, spread time.Duration) {
	r := s.ranks[index]
	free := returnShare * x.free
	if s.freshWork(now) > s.capacity.perSecond() {
		delay, free = now.Sub(s.overloadStart), returnShare*max(x.free, calmShare*s.capacity.perSecond())
	}
	delay = min(max(delay, ShortestRetry(r.objective)), maxRetryDelay)
	spread = maxSpread
	if work := r.refused.rate(returnSpan, now) * returnSpan.Seconds(); work < free*maxSpread.Seconds() {
		spread = max(delay, time.Duration(work/free*float64(time.Second)))
	}
	return delay + rankDelay(delay, index), spread
}

// verdicts returns the verdicts on the classes of a rank that are not always admitted, those of
// single teams first.
func (r *sharedRank) verdicts(x rankShares, delay, spread time.Duration, now time.Time) []ClassVerdict {
	var list []ClassVerdict
	add := func(late, returning bool, team string, p float64) {
		if p < 1 {
			class := Class{Rank: r.rank, Late: late, Returning: returning, Team: team}
			list = append(list, ClassVerdict{Class: class, Probability: p, RetryAfter: delay, Spread: spread})
		}
	}
	listed, common := r.divideByTeam(x.fresh, now)
	for _, t := range listed {
		add(false, false, t.team, t.probability)
		add(false, true, t.team, t.probability)
	}
	add(false, false, "", common)
	add(false, true, "", x.promised+(1-x.promised)*x.early)
	add(true, false, "", x.late)
	add(true, true, "", x.promised+(1-x.promised)*x.late)
	return list
}

// teamShare is the probability with which the requests on time of one team are admitted.
type teamShare struct {
	team        string
	work        float64
	probability float64
}

// divideByTeam divides what is admitted of the requests on time between the teams, so that none gets
// more than another that wants more (max-min fairness). It returns the teams that want clearly
// more than their part and the probability of all others.
func (r *sharedRank) divideByTeam(fresh float64, now time.Time) ([]teamShare, float64) {
	if fresh >= 1 || len(r.teams) < 2 {
		return nil, fresh
	}
	teams := r.sortedTeams(now)
	others := 0.0
	for _, t := range teams {
		others += t.work
	}
	available := fresh * others
	level, common := maxMinLevel(teams, available), fresh
	listed := 0
	for listed < min(len(teams), maxListedTeams) && level < teamMargin*common*teams[listed].work {
		others -= teams[listed].work
		listed++
		common = portion(available-float64(listed)*level, others)
	}
	if listed == 0 {
		return nil, fresh
	}
	part := level * float64(listed)
	part = max(available-min(1, teamSlack*common)*others, minTeamShare*part)
	for i := range teams[:listed] {
		teams[i].probability = min(1, part/float64(listed)/teams[i].work)
	}
	return teams[:listed], portion(available-part, others)
}

// sortedTeams returns the teams by their recent work, most first.
func (r *sharedRank) sortedTeams(now time.Time) []teamShare {
	teams := make([]teamShare, 0, len(r.teams))
	for name, sum := range r.teams {
		teams = append(teams, teamShare{team: name, work: max(sum.rate(teamSpan, now), minWork)})
	}
	slices.SortFunc(teams, func(a, b teamShare) int { return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.team, b.team)) })
	return teams
}

// maxMinLevel returns the level to which the work of each of the sorted teams is cut so that
// their sum is the available work.
func maxMinLevel(teams []teamShare, available float64) float64 {
	for i := len(teams) - 1; i >= 0; i-- {
		if level := available / float64(i+1); teams[i].work >= level {
			return level
		}
		available -= teams[i].work
	}
	return teams[0].work
}

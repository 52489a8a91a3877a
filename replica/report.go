package replica

import (
	"slices"
	"time"
)

const (
	// reportLife is for how long a report of another host counts: a few times
	// the usual pause between two queries of one host of a large fleet.
	reportLife = 5 * time.Second
	// ownLife is for how long an observation of one's own goes before what
	// another host reports.
	ownLife = time.Second
	// silentCuts is the number of requests cut short in a row, without an
	// answer for silentTime, from which a replica counts as silent.
	silentCuts = 3
	silentTime = time.Second
)

// Observation is what one host observed of a replica in calls of its own.
type Observation struct {
	// Latency is the latency to expect; 0 is unknown.
	Latency time.Duration
	// Cuts is the number of requests cut short since the last answer.
	Cuts int
	// Answered is when the replica last answered; zero is never.
	Answered time.Time
	// Ejected tells that it failed so often that it is avoided.
	Ejected bool
}

// Observation returns what was observed of a replica here.
func (l *Leaf) Observation(now time.Time) Observation {
	return Observation{Latency: l.estimate(), Cuts: l.cuts, Answered: l.answered, Ejected: now.Before(l.ejectedUntil)}
}

// SlowReplica is a replica that others should avoid.
type SlowReplica struct {
	// Index is that of its observation.
	Index int
	// Latency is what to expect of it; of one that fails or is silent, so much
	// that another is chosen.
	Latency time.Duration
}

// Slow returns those of the observations, all of replicas that do the same kind
// of work, that are much slower than the middle one, silent or ejected.
func Slow(observations []Observation, now time.Time) []SlowReplica {
	typical := middle(observations)
	limit := max(avoidFactor*typical, slowFloor)
	var slow []SlowReplica
	for i, o := range observations {
		silent := o.Cuts >= silentCuts && now.Sub(o.Answered) > silentTime
		if silent || o.Ejected {
			slow = append(slow, SlowReplica{Index: i, Latency: max(o.Latency, silentTime)})
		} else if typical > 0 && o.Latency > limit {
			slow = append(slow, SlowReplica{Index: i, Latency: o.Latency})
		}
	}
	return slow
}

// middle returns the median of the latencies that are known.
func middle(observations []Observation) time.Duration {
	var known []time.Duration
	for _, o := range observations {
		if o.Latency > 0 {
			known = append(known, o.Latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Reported takes in what another host, which calls the i-th replica more often,
// reports: the latency to expect, or 0 where it is as fast as its kind. Such a
// report ends what was observed here long ago. It returns whether the replica
// is slow and was not known to be.
func (s *Set) Reported(i int, latency time.Duration, now time.Time) bool {
	leaf := s.Leaves[i]
	news := latency > 0 && (leaf.reported == 0 || !now.Before(leaf.reportedUntil))
	leaf.reported = latency
	leaf.reportedUntil = now.Add(reportLife)
	if latency == 0 && s.avoided(i, now) && now.Sub(leaf.observed) > ownLife {
		leaf.latency = s.fastest(i)
		leaf.cuts = 0
		leaf.failures = 0
		leaf.ejectedUntil = time.Time{}
	}
	return news
}

// fastest is the least known latency of the replicas other than the i-th.
func (s *Set) fastest(i int) time.Duration {
	least := time.Duration(0)
	for j, leaf := range s.Leaves {
		if j != i && leaf.latency > 0 && (least == 0 || leaf.latency < least) {
			least = leaf.latency
		}
	}
	return least
}

package replica

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a report of another host is valid. It spans several
	// queries of a host in a large fleet.
	reportTTL = 5 * time.Second
	// localObservationTTL is how long an observation of this host takes precedence
	// over the reports of other hosts.
	localObservationTTL = time.Second
	// silentAbandoned is the number of consecutive abandoned requests, without a
	// reply for silentAfter, from which a replica is considered silent.
	silentAbandoned = 3
	silentAfter     = time.Second
)

// Observation is the state of a replica as observed by the calls of one host.
type Observation struct {
	// Latency is the expected latency; 0 is unknown.
	Latency time.Duration
	// Canceled is the number of requests abandoned since the last reply.
	Canceled int
	// LastReply is the time of the last reply; zero if there was none.
	LastReply time.Time
	// Ejected is whether the replica is ejected.
	Ejected bool
}

// Observation returns what this host observed of the leaf.
func (l *Leaf) Observation(now time.Time) Observation {
	return Observation{Latency: l.localEstimate(), Canceled: l.abandoned, LastReply: l.lastAnswer, Ejected: now.Before(l.ejectedUntil)}
}

// SlowReplica is a replica that other hosts should avoid.
type SlowReplica struct {
	// Index is the index of its observation.
	Index int
	// Latency is its expected latency; at least silentAfter for an ejected or silent
	// replica, so that another one is chosen.
	Latency time.Duration
}

// SlowReplicas returns the replicas that are much slower than the median, silent or ejected.
// The observations must be of replicas that do the same kind of work.
func SlowReplicas(observations []Observation, now time.Time) []SlowReplica {
	median := medianLatency(observations)
	limit := max(outlierFactor*median, minOutlierLatency)
	var slow []SlowReplica
	for i, o := range observations {
		silent := o.Canceled >= silentAbandoned && now.Sub(o.LastReply) > silentAfter
		if silent || o.Ejected {
			slow = append(slow, SlowReplica{Index: i, Latency: max(o.Latency, silentAfter)})
		} else if median > 0 && o.Latency > limit {
			slow = append(slow, SlowReplica{Index: i, Latency: o.Latency})
		}
	}
	return slow
}

// medianLatency returns the median of the known latencies; 0 if there are none.
func medianLatency(observations []Observation) time.Duration {
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

// ApplyReport applies the report of another host, which calls the i-th replica more
// often: its latency, or 0 if it is not slow. A report of 0 resets the estimate and the
// ejection unless this host observed the replica within localObservationTTL. Reported
// returns whether the replica is slow and was not reported so before.
func (s *Set) ApplyReport(i int, latency time.Duration, now time.Time) bool {
	leaf := s.Leaves[i]
	newlySlow := latency > 0 && (leaf.reportedLatency == 0 || !now.Before(leaf.reportExpiry))
	leaf.reportedLatency = latency
	leaf.reportExpiry = now.Add(reportTTL)
	if latency == 0 && s.avoided(i, now) && now.Sub(leaf.lastObserved) > localObservationTTL {
		leaf.latency = s.lowestLatency(i)
		leaf.abandoned = 0
		leaf.consecutiveFailures = 0
		leaf.ejectedUntil = time.Time{}
	}
	return newlySlow
}

// lowestLatency returns the lowest known latency of the replicas other than the i-th; 0 if
// none is known.
func (s *Set) lowestLatency(i int) time.Duration {
	lowest := time.Duration(0)
	for j, leaf := range s.Leaves {
		if j != i && leaf.latency > 0 && (lowest == 0 || leaf.latency < lowest) {
			lowest = leaf.latency
		}
	}
	return lowest
}

package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/replica"
)

func TestSlowReturnsOutliers(t *testing.T) {
	ms := time.Millisecond
	observed := func(latencies ...time.Duration) (all []replica.Observation) {
		for _, l := range latencies {
			all = append(all, replica.Observation{Latency: l, LastReply: start})
		}
		return all
	}
	assert.DeepEqual(t, replica.SlowReplicas(observed(10*ms, 12*ms, 11*ms, 80*ms, 9*ms), start), []replica.SlowReplica{{Index: 3, Latency: 80 * ms}})
	assert.DeepEqual(t, replica.SlowReplicas(observed(10*ms, 60*ms, 70*ms, 10*ms, 10*ms), start),
		[]replica.SlowReplica{{Index: 1, Latency: 60 * ms}, {Index: 2, Latency: 70 * ms}})
	assert.Equal(t, len(replica.SlowReplicas(observed(10*ms, 25*ms), start)), 0)
	assert.Equal(t, len(replica.SlowReplicas(observed(ms/10, ms/10, ms/2), start)), 0, "below the minimum latency of an outlier")
	assert.Equal(t, len(replica.SlowReplicas(observed(ms/10, ms/10, 50*ms), start)), 1)
	assert.Equal(t, len(replica.SlowReplicas(observed(0, 0, 40*ms), start)), 0, "unknown latencies are not part of the median")
	assert.Equal(t, len(replica.SlowReplicas(nil, start)), 0)

	silent := observed(10*ms, 10*ms, 10*ms)
	silent[1].Canceled = 5
	assert.Equal(t, len(replica.SlowReplicas(silent, start.Add(100*ms))), 0, "not silent for long enough")
	assert.DeepEqual(t, replica.SlowReplicas(silent, start.Add(3*time.Second)), []replica.SlowReplica{{Index: 1, Latency: time.Second}})
}

// A replica that fails fast has a low latency, but must not be reported as healthy while it is
// ejected.
func TestEjectedReplicaIsReportedSlow(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	for range 3 {
		s.Failed(0, start)
	}
	observed := []replica.Observation{s.Leaves[0].Observation(start), s.Leaves[1].Observation(start)}
	assert.DeepEqual(t, replica.SlowReplicas(observed, start), []replica.SlowReplica{{Index: 0, Latency: time.Second}})
}

func TestReportedReplicaIsAvoidedUntilReportedFast(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for i := range 2 {
		answer(s, i, 5*time.Millisecond, start)
	}
	assert.Assert(t, s.ApplyReport(0, 90*time.Millisecond, start), "first report")
	assert.Assert(t, !s.ApplyReport(0, 90*time.Millisecond, start), "repeated report")
	for range 20 {
		assert.Equal(t, s.Pick(start, 0, 0), 1)
	}
	assert.Equal(t, s.AvoidedMask(start), uint64(1))
	s.ApplyReport(0, 0, start)
	assert.Equal(t, s.AvoidedMask(start), uint64(0))
}

func TestReportExpires(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for i := range 2 {
		answer(s, i, 5*time.Millisecond, start)
	}
	s.ApplyReport(0, 90*time.Millisecond, start)
	assert.Equal(t, s.AvoidedMask(start.Add(time.Minute)), uint64(0))
}

// A report that a replica is fast does not override a recent local observation.
func TestRecentObservationTakesPrecedenceOverReport(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	answer(s, 0, 90*time.Millisecond, start)
	s.ApplyReport(0, 0, start.Add(200*time.Millisecond))
	assert.Equal(t, s.AvoidedMask(start.Add(200*time.Millisecond)), uint64(1))
	later := start.Add(3 * time.Second)
	s.ApplyReport(0, 0, later)
	assert.Equal(t, s.AvoidedMask(later), uint64(0), "a stale observation is reset")
}

// A replica that never answered must not keep an unknown latency, which is preferred.
func TestReplicaSilentFromTheStartIsAvoided(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	for range 3 {
		s.Canceled(0, 200*time.Millisecond, start)
	}
	assert.Equal(t, s.AvoidedMask(start), uint64(1))
	assert.Equal(t, s.Pick(start, 0, 0), 1)
}

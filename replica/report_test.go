package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/replica"
)

func TestSlowNamesWhatIsMuchSlowerThanTheMiddle(t *testing.T) {
	ms := time.Millisecond
	observed := func(latencies ...time.Duration) (all []replica.Observation) {
		for _, l := range latencies {
			all = append(all, replica.Observation{Latency: l, Answered: start})
		}
		return all
	}
	assert.DeepEqual(t, replica.Slow(observed(10*ms, 12*ms, 11*ms, 80*ms, 9*ms), start), []replica.SlowReplica{{Index: 3, Latency: 80 * ms}})
	assert.DeepEqual(t, replica.Slow(observed(10*ms, 60*ms, 70*ms, 10*ms, 10*ms), start),
		[]replica.SlowReplica{{Index: 1, Latency: 60 * ms}, {Index: 2, Latency: 70 * ms}})
	assert.Equal(t, len(replica.Slow(observed(10*ms, 25*ms), start)), 0)
	assert.Equal(t, len(replica.Slow(observed(ms/10, ms/10, ms/2), start)), 0, "too fast to matter")
	assert.Equal(t, len(replica.Slow(observed(ms/10, ms/10, 50*ms), start)), 1)
	assert.Equal(t, len(replica.Slow(observed(0, 0, 40*ms), start)), 0, "what is unknown is no measure")
	assert.Equal(t, len(replica.Slow(nil, start)), 0)

	silent := observed(10*ms, 10*ms, 10*ms)
	silent[1].Cuts = 5
	assert.Equal(t, len(replica.Slow(silent, start.Add(100*ms))), 0, "a pause is no silence")
	assert.DeepEqual(t, replica.Slow(silent, start.Add(3*time.Second)), []replica.SlowReplica{{Index: 1, Latency: time.Second}})
}

// A server that fails at once looks fast: a host that had ejected it once vouched
// for it, so that others took it back.
func TestEjectedReplicaIsNotVouchedFor(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	for range 3 {
		s.Failed(0, start)
	}
	observed := []replica.Observation{s.Leaves[0].Observation(start), s.Leaves[1].Observation(start)}
	assert.DeepEqual(t, replica.Slow(observed, start), []replica.SlowReplica{{Index: 0, Latency: time.Second}})
}

func TestReportedReplicaIsAvoidedUntilItIsVouchedFor(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for i := range 2 {
		answer(s, i, 5*time.Millisecond, start)
	}
	assert.Assert(t, s.Reported(0, 90*time.Millisecond, start), "news")
	assert.Assert(t, !s.Reported(0, 90*time.Millisecond, start), "no news")
	for range 20 {
		assert.Equal(t, s.Pick(start, 0, 0), 1)
	}
	assert.Equal(t, s.AvoidedMask(start), uint64(1))
	s.Reported(0, 0, start)
	assert.Equal(t, s.AvoidedMask(start), uint64(0))
}

func TestReportLapses(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	for i := range 2 {
		answer(s, i, 5*time.Millisecond, start)
	}
	s.Reported(0, 90*time.Millisecond, start)
	assert.Equal(t, s.AvoidedMask(start.Add(time.Minute)), uint64(0))
}

func TestOwnFreshObservationGoesBeforeAReport(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	answer(s, 0, 90*time.Millisecond, start)
	s.Reported(0, 0, start.Add(200*time.Millisecond))
	assert.Equal(t, s.AvoidedMask(start.Add(200*time.Millisecond)), uint64(1))
	later := start.Add(3 * time.Second)
	s.Reported(0, 0, later)
	assert.Equal(t, s.AvoidedMask(later), uint64(0), "an old observation ends")
}

// A replica that never answered was unknown for ever, and so looked best.
func TestReplicaSilentFromTheStartIsAvoided(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	answer(s, 1, 5*time.Millisecond, start)
	for range 3 {
		s.CutShort(0, 200*time.Millisecond, start)
	}
	assert.Equal(t, s.AvoidedMask(start), uint64(1))
	assert.Equal(t, s.Pick(start, 0, 0), 1)
}

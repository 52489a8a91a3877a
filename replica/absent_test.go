package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/replica"
)

// An absent replica is retried with growing backoff, by one request at a time, until it answers.
func TestAbsentReplicaIsRetriedWithBackoff(t *testing.T) {
	s := newSet(2, 2, replica.Observed)
	ms := time.Millisecond
	s.MarkAbsent(0, start)
	assert.Equal(t, s.AbsentMask(start.Add(49*ms)), uint64(1))
	assert.Equal(t, s.AbsentMask(start.Add(50*ms)), uint64(0))
	found, _ := s.Presence(0, start)
	assert.Equal(t, found, replica.Present, "the other replica is present")
	found, _ = s.Presence(2, start)
	assert.Equal(t, found, replica.AllAbsent)
	found, since := s.Presence(2, start.Add(50*ms))
	assert.Equal(t, found, replica.RetryDue)
	assert.Equal(t, since, start)

	s.Acquire(0, start.Add(50*ms))
	assert.Equal(t, s.AbsentMask(start.Add(51*ms)), uint64(1), "a retry is in flight")
	s.Leaves[0].Slots.Release()
	s.MarkAbsent(0, start.Add(51*ms))
	assert.Equal(t, s.AbsentMask(start.Add(150*ms)), uint64(1), "the second backoff is longer")
	for range 20 {
		s.MarkAbsent(0, start)
	}
	assert.Equal(t, s.NextRetry(2, start), 250*ms)
	answer(s, 0, ms, start.Add(time.Second))
	found, _ = s.Presence(2, start.Add(time.Second))
	assert.Equal(t, found, replica.Present)
}

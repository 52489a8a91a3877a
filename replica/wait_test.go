package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/replica"
)

const ms = time.Millisecond

// told lets a leaf answer a request of 20 ms and tell a queue.
func told(s *replica.Set, i, waiting int, now time.Time) {
	s.Queued(i, waiting, 20*ms*time.Duration(1+waiting), now)
}

func TestRequestGoesWhereFewerWait(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	for i := range 2 {
		answer(s, i, 20*ms, start)
	}
	told(s, 0, 6, start)
	told(s, 1, 0, start)
	assert.Equal(t, s.Pick(start, 0, 0), 1)
	assert.Equal(t, s.Wait(0, start), 6*20*ms)
	assert.Equal(t, s.LeastWait(0, start), time.Duration(0))
}

// A host of a large fleet hears of one server every half second: of three servers
// of a shard the one not heard of longest must not seem empty.
func TestQueueIsRememberedBetweenRareReports(t *testing.T) {
	for _, gap := range []time.Duration{20 * ms, 500 * ms} {
		s := newSet(3, 4, replica.Observed)
		now := start
		for range 20 {
			now = now.Add(gap)
			for i := range 3 {
				told(s, i, 6, now)
			}
		}
		assert.Assert(t, s.LeastWait(0, now.Add(gap)) > 60*ms, "%v after %v", s.LeastWait(0, now.Add(gap)), gap)
		assert.Assert(t, s.LeastWait(0, now.Add(10*gap+2*time.Second)) < 10*ms, "a queue that nothing is heard of lasts for ever")
	}
}

// A neighbour on the machine makes a leaf four times slower for half a second. It is avoided
// for that time, and its own work is not taken to have grown.
func TestSlownessOfAMachineIsToldAndForgotten(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	now := start
	for range 20 {
		now = now.Add(50 * ms)
		for i := range 2 {
			s.Answered(i, 20*ms, now)
			told(s, i, 0, now)
		}
	}
	s.Slowed(0, 4, now)
	s.Queued(0, 0, 80*ms, now)
	expected, run := s.Soonest(0, now)
	assert.Equal(t, expected, 20*ms)
	assert.Equal(t, run, 20*ms)
	for range 10 {
		assert.Equal(t, s.Pick(now, 0, 0), 1)
	}
	s.Leaves[1].Leaving = true
	_, run = s.Soonest(0, now)
	assert.Equal(t, run, 80*ms)
	_, run = s.Soonest(0, now.Add(2*time.Second))
	assert.Assert(t, run < 21*ms, "%v", run)
}

// Where all slots of this host are taken, the other hosts' are taken to be too.
func TestFullServerMeansAWait(t *testing.T) {
	s := newSet(1, 3, replica.Observed)
	s.Leaves[0].Parallel, s.Leaves[0].Sharers = 2, 3
	told(s, 0, 0, start)
	for range 3 {
		assert.Assert(t, s.Acquire(0, start))
	}
	assert.Equal(t, s.Wait(0, start), 70*ms, "nine requests, two at a time")
}

// A replica near by took 35 ms once, one far off takes 8 ms and costs 40 more for the way.
// Both are free: the near one is chosen, and found to be fast again.
func TestFreeReplicaIsNotWaitedFor(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	s.Leaves[1].Distance = 40 * ms
	answer(s, 0, 35*ms, start)
	answer(s, 1, 8*ms, start)
	now := start.Add(10 * time.Second)
	assert.Equal(t, s.Pick(now, 0, 0), 0)
	for s.Leaves[1].Slots.Free(now) {
		s.Acquire(1, now)
	}
	assert.Equal(t, s.Pick(now, 0, 0), replica.None, "it is worth waiting for one that is busy")
}

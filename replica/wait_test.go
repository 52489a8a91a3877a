package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/replica"
)

const ms = time.Millisecond

// reportQueue records a reply of leaf i, with a service time of 20 ms, that reports waiting
// queued requests.
func reportQueue(s *replica.Set, i, waiting int, now time.Time) {
	s.ReportQueue(i, waiting, 20*ms*time.Duration(1+waiting), now)
}

func TestReplicaWithShorterQueueIsPicked(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	for i := range 2 {
		answer(s, i, 20*ms, start)
	}
	reportQueue(s, 0, 6, start)
	reportQueue(s, 1, 0, start)
	assert.Equal(t, s.Pick(start, 0, 0), 1)
	assert.Equal(t, s.Wait(0, start), 6*20*ms)
	assert.Equal(t, s.MinWait(0, start), time.Duration(0))
}

// In a large fleet a host gets a queue report of one replica every half second: the replica with
// the oldest report must not appear idle.
func TestQueueIsRememberedBetweenRareReports(t *testing.T) {
	for _, gap := range []time.Duration{20 * ms, 500 * ms} {
		s := newSet(3, 4, replica.Observed)
		now := start
		for range 20 {
			now = now.Add(gap)
			for i := range 3 {
				reportQueue(s, i, 6, now)
			}
		}
		assert.Assert(t, s.MinWait(0, now.Add(gap)) > 60*ms, "%v after %v", s.MinWait(0, now.Add(gap)), gap)
		assert.Assert(t, s.MinWait(0, now.Add(10*gap+2*time.Second)) < 10*ms, "a queue without reports must decay")
	}
}

// A leaf whose machine is temporarily slow is avoided for that time, and its service time estimate
// does not grow.
func TestReportedSlowdownDecays(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	now := start
	for range 20 {
		now = now.Add(50 * ms)
		for i := range 2 {
			s.Answered(i, 20*ms, now)
			reportQueue(s, i, 0, now)
		}
	}
	s.ReportSlowdown(0, 4, now)
	s.ReportQueue(0, 0, 80*ms, now)
	expected, run := s.EarliestCompletion(0, now)
	assert.Equal(t, expected, 20*ms)
	assert.Equal(t, run, 20*ms)
	for range 10 {
		assert.Equal(t, s.Pick(now, 0, 0), 1)
	}
	s.Leaves[1].Leaving = true
	_, run = s.EarliestCompletion(0, now)
	assert.Equal(t, run, 80*ms)
	_, run = s.EarliestCompletion(0, now.Add(2*time.Second))
	assert.Assert(t, run < 21*ms, "%v", run)
}

// If all slots of this host are in use, those of the other hosts are assumed to be too.
func TestFullReplicaImpliesAWait(t *testing.T) {
	s := newSet(1, 3, replica.Observed)
	s.Leaves[0].Concurrency, s.Leaves[0].Hosts = 2, 3
	reportQueue(s, 0, 0, start)
	for range 3 {
		assert.Assert(t, s.Acquire(0, start))
	}
	assert.Equal(t, s.Wait(0, start), 70*ms, "nine requests, two of them running")
}

// A nearby replica with an old, slow sample is chosen over a distant free one that is faster, so
// that its estimate can recover.
func TestFreeReplicaIsNotWaitedFor(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	s.Leaves[1].DistancePenalty = 40 * ms
	answer(s, 0, 35*ms, start)
	answer(s, 1, 8*ms, start)
	now := start.Add(10 * time.Second)
	assert.Equal(t, s.Pick(now, 0, 0), 0)
	for s.Leaves[1].Slots.Free(now) {
		s.Acquire(1, now)
	}
	assert.Equal(t, s.Pick(now, 0, 0), replica.None, "waiting for the busy replica is faster")
}

// A load that another host observed counts as one of this host, so that a host that seldom calls a
// leaf knows its queue.
func TestAppliedLoadCountsAsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	s := replica.NewSet([]*replica.Leaf{{Concurrency: 2}}, replica.Observed, nil)
	s.ApplyLoad(0, 6, 20*time.Millisecond, now)
	assert.Equal(t, s.Wait(0, now), 60*time.Millisecond)
	s.ApplyLoad(0, 2, 0, now.Add(50*time.Millisecond))
	assert.Equal(t, s.Wait(0, now.Add(50*time.Millisecond)), 20*time.Millisecond)
	assert.Equal(t, s.ServiceTime(0), 20*time.Millisecond)
}

// A host that seldom calls a leaf leaves it for an idle distant one when all hosts are told of its
// queue, returns when they are told that it is gone, and trusts what it has just seen itself.
func TestToldQueueMovesRequests(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	s.Leaves[1].DistancePenalty = 40 * ms
	for i := range s.Leaves {
		s.Leaves[i].Concurrency = 2
		s.ReportQueue(i, 0, 30*ms, start)
		answer(s, i, 30*ms, start)
	}
	now := start.Add(500 * ms)
	assert.Assert(t, s.ApplyTold(0, replica.ServerLoad{Waiting: 8, ServiceTime: 30 * ms}, now))
	assert.Assert(t, !s.ApplyTold(0, replica.ServerLoad{Waiting: 8, ServiceTime: 30 * ms}, now))
	assert.Equal(t, s.Pick(now, 0, 0), 1)
	assert.Equal(t, s.Pick(now.Add(900*ms), 0, 0), 1, "the told queue does not decay while it holds")
	assert.Equal(t, s.Pick(now.Add(1100*ms), 0, 0), 0, "nobody repeated it")
	assert.Equal(t, s.Wait(0, now), 120*ms)
	assert.Equal(t, s.ToldWait(0, now), 120*ms)

	now = now.Add(200 * ms)
	s.ReportQueue(0, 0, 0, now)
	assert.Equal(t, s.Pick(now, 0, 0), 0, "seen a moment ago")
	assert.Equal(t, s.Pick(now.Add(200*ms), 0, 0), 1, "the told queue goes before an old observation")
	s.ReportQueue(0, 8, 0, now)
	s.ApplyTold(0, replica.ServerLoad{Waiting: 0, ServiceTime: 0}, now.Add(200*ms))
	assert.Equal(t, s.Pick(now.Add(200*ms), 0, 0), 0)
}

// A host that seldom calls a leaf learns from the others that it became slow.
func TestToldServiceTime(t *testing.T) {
	s := newSet(2, 4, replica.Observed)
	for i := range s.Leaves {
		s.ReportQueue(i, 0, 20*ms, start)
		answer(s, i, 20*ms, start)
	}
	s.ApplyTold(0, replica.ServerLoad{Waiting: 0, ServiceTime: 120 * ms}, start.Add(time.Second))
	assert.Equal(t, s.ServiceTime(0), 120*ms)
	assert.Equal(t, s.Pick(start.Add(time.Second), 0, 0), 1)
	answer(s, 1, 20*ms, start.Add(time.Second))
	s.ApplyTold(1, replica.ServerLoad{Waiting: 0, ServiceTime: 120 * ms}, start.Add(1100*ms))
	assert.Equal(t, s.ServiceTime(1), 20*ms, "seen a moment ago")
}

// The reported run time of one long request, which includes what is left of its wait, does not displace
// the one that all hosts were told.
func TestReportedLongRunIsNotTheServiceTime(t *testing.T) {
	s := newSet(1, 4, replica.Observed)
	s.ApplyLoad(0, 0, 900*ms, start)
	s.ApplyTold(0, replica.ServerLoad{ServiceTime: 220 * ms}, start.Add(50*ms))
	s.ApplyLoad(0, 2, 700*ms, start.Add(100*ms))
	assert.Equal(t, s.ServiceTime(0), 220*ms)
}

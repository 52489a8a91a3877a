package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
)

// sparse steps a shared gate to which few requests are offered.
type sparse struct {
	gate  *admission.SharedGate
	now   time.Time
	steps int
}

func newSparse() *sparse {
	return &sparse{gate: admission.NewSharedGate(), now: time.Unix(1000, 0)}
}

// step observes a wait 50 ms after the step before. Each third one has a request.
func (s *sparse) step(wait time.Duration) admission.Verdict {
	if s.steps%3 == 0 {
		s.gate.Offered([]admission.Offered{{Class: admission.Class{Rank: 1}, Requests: 1, Work: 10 * time.Millisecond, Objective: 300 * time.Millisecond}}, s.now)
	}
	s.steps++
	s.now = s.now.Add(50 * time.Millisecond)
	s.gate.ObserveWait(wait, s.now)
	v, _ := s.gate.Verdict(s.now)
	return v
}

// A wait that began while no work was reported must not make the gate refuse everything for good.
func TestWaitWithoutReportedWorkIsNoCapacity(t *testing.T) {
	s := newSparse()
	s.step(0)
	s.step(400 * time.Millisecond)
	s.step(300 * time.Millisecond)
	for range 20 {
		s.step(20 * time.Millisecond)
	}
	v := s.step(20 * time.Millisecond)
	assert.Assert(t, v.RefusedShare < 0.1, "%+v", v)
}

// After a long wait with another cause than the offered work, idle servers are used again within a
// second.
func TestIdleServersAreUsedSoon(t *testing.T) {
	s := newSparse()
	for range 200 {
		s.step(400 * time.Millisecond)
	}
	for range 20 {
		s.step(0)
	}
	v := s.step(0)
	assert.Assert(t, v.RefusedShare < 0.1, "%+v", v)
}

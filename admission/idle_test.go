package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
)

// A wait that is not caused by reported work must not make the gate refuse everything once the
// servers are idle again.
func TestWaitWithoutReportedWorkIsNoCapacity(t *testing.T) {
	s, now := admission.NewSharedGate(), time.Unix(1000, 0)
	offer := func() {
		s.Offered([]admission.Offered{{Class: admission.Class{Rank: 1}, Requests: 1, Work: 10 * time.Millisecond, Objective: 300 * time.Millisecond}}, now)
	}
	step := func(wait time.Duration) admission.Verdict {
		now = now.Add(50 * time.Millisecond)
		s.ObserveWait(wait, now)
		v, _ := s.Verdict(now)
		return v
	}
	offer()
	step(0)
	step(400 * time.Millisecond)
	step(300 * time.Millisecond)
	for range 20 {
		step(0)
		offer()
	}
	v := step(0)
	assert.Assert(t, v.RefusedShare < 0.1, "%+v", v)
}

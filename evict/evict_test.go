package evict

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Who holds much for long must go before an ordinary caller, and nobody before its tenure has passed.
func TestForMemoryChoosesWhoHoldsMostForLongest(t *testing.T) {
	const kB, ms = 1 << 10, time.Millisecond
	for name, test := range map[string]struct {
		requests []Request
		victim   int
		wait     time.Duration
	}{
		"none":              {nil, -1, 0},
		"large before fast": {[]Request{{256 * kB, 5 * ms}, {256 * kB, time.Second}}, 1, 0},
		"large before old":  {[]Request{{8 * kB, 2 * time.Second}, {256 * kB, time.Second}}, 1, 0},
		"small but held":    {[]Request{{8 * kB, time.Minute}, {256 * kB, time.Second}}, 0, 0},
		"too young":         {[]Request{{256 * kB, 20 * ms}, {8 * kB, 40 * ms}}, 0, Tenure - 20*ms},
		"at its tenure":     {[]Request{{256 * kB, Tenure}}, 0, 0},
	} {
		victim, wait := ForMemory(test.requests)
		assert.Check(t, victim == test.victim && wait == test.wait, "%s: %d after %v", name, victim, wait)
	}
}

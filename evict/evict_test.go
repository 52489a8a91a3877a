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

// A caller that sends without pause must not wait behind a crowd that is slow.
func TestTurnPutsSlowCallersLast(t *testing.T) {
	assert.Equal(t, Turn(Tenure/2), Turn(0))
	assert.Assert(t, Turn(2*Tenure) > Turn(Tenure/2))
}

// Connections whose end costs their callers least must go first, and a request that may run never.
func TestForConnectionChoosesWhatCostsLeast(t *testing.T) {
	busy, ended := Connection{Busy: true, Waiting: time.Hour}, Connection{Ended: true}
	idle, longIdle := Connection{Idle: true, Waiting: time.Second}, Connection{Idle: true, Waiting: time.Minute}
	stalled, longStalled := Connection{Waiting: Patience}, Connection{Waiting: time.Minute}
	sending, fresh := Connection{Waiting: Patience / 2}, Connection{}
	for name, test := range map[string]struct {
		connections []Connection
		victim      int
	}{
		"none":                   {nil, -1},
		"all are busy":           {[]Connection{busy, busy}, -1},
		"all have just begun":    {[]Connection{busy, fresh, sending}, 2},
		"ended before stalled":   {[]Connection{longStalled, ended}, 1},
		"stalled before idle":    {[]Connection{longIdle, stalled, idle}, 1},
		"idle before sending":    {[]Connection{sending, busy, idle}, 2},
		"sending at last":        {[]Connection{fresh, sending}, 1},
		"the longest of stalled": {[]Connection{stalled, longStalled, stalled}, 1},
		"the longest of idle":    {[]Connection{idle, longIdle}, 1},
	} {
		assert.Check(t, ForConnection(test.connections) == test.victim, name)
	}
}

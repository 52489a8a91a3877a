package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observe records the same load at an interval until the given time, and returns the messages.
func observe(b *Board, l ServerLoad, from, until time.Time) (messages [][]ServerLoad) {
	for now := from; now.Before(until); now = now.Add(BoardInterval / 2) {
		b.Observe("h", l, 2, now)
		if changes, _ := b.Changes(now); len(changes) > 0 {
			messages = append(messages, changes)
		}
	}
	return messages
}

// A calm fleet is told nothing: neither first service times, nor a request that waits for a moment, nor
// the queue and the longer run times after a pause of a server.
func TestBoardTellsNothingInCalm(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBoard()
	for i := range 600 {
		l := ServerLoad{Server: "s", ServiceTime: time.Duration(20+i%4) * time.Millisecond}
		if i%10 == 9 {
			l.Waiting = 1
		}
		now = now.Add(30 * time.Millisecond)
		if afterPause := i%100 - 50; afterPause >= 0 && afterPause < 3 {
			l.Waiting, l.ServiceTime = 4-afterPause, 40*time.Millisecond
			now = now.Add(-20 * time.Millisecond)
		}
		b.Observe("h", l, 2, now)
		changes, _ := b.Changes(now)
		assert.Equal(t, len(changes), 0, "%v", changes)
	}
}

// A queue is told once when it builds up, again at intervals while it stays, and when it is gone,
// also if nobody calls the server any more.
func TestBoardTellsQueues(t *testing.T) {
	start := time.Unix(0, 0)
	b := NewBoard()
	full := ServerLoad{Server: "s", Waiting: 8, ServiceTime: 20 * time.Millisecond}
	messages := observe(b, full, start, start.Add(time.Second))
	assert.DeepEqual(t, messages, [][]ServerLoad{{full}, {full}, {full}})
	assert.DeepEqual(t, b.Loaded(), []ServerLoad{full})
	now, again := start.Add(time.Second), true
	var last ServerLoad
	for again {
		now = now.Add(BoardInterval)
		assert.Assert(t, now.Before(start.Add(3*time.Second)))
		var changes []ServerLoad
		if changes, again = b.Changes(now); len(changes) > 0 {
			last = changes[0]
		}
	}
	assert.DeepEqual(t, last, ServerLoad{Server: "s", ServiceTime: 20 * time.Millisecond})
	assert.Equal(t, len(b.Loaded()), 0)
}

// A server that becomes slower is told although nothing waits there.
func TestBoardTellsSlowServers(t *testing.T) {
	start := time.Unix(0, 0)
	b := NewBoard()
	assert.Equal(t, len(observe(b, ServerLoad{Server: "s", ServiceTime: 20 * time.Millisecond}, start, start.Add(time.Second))), 0)
	messages := observe(b, ServerLoad{Server: "s", ServiceTime: 120 * time.Millisecond}, start.Add(time.Second), start.Add(2*time.Second))
	assert.Assert(t, len(messages) > 0 && len(messages) <= 4, "%v", messages)
	last := messages[len(messages)-1][0].ServiceTime
	assert.Assert(t, last >= 90*time.Millisecond, "%v", last)
}

// A message is bounded; the most loaded servers come first and the others are not lost.
func TestBoardBoundsMessages(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBoard()
	const servers = 2*maxBoardChanges + 1
	for i := range servers {
		b.Observe("h", ServerLoad{Server: fmt.Sprint("s", i), Waiting: 9 + i, ServiceTime: time.Millisecond}, 2, now)
	}
	told := map[string]bool{}
	for range 3 {
		changes, again := b.Changes(now)
		assert.Assert(t, len(changes) <= maxBoardChanges && again)
		if len(told) == 0 {
			assert.Equal(t, changes[0].Waiting, servers+8)
		}
		for _, l := range changes {
			told[l.Server] = true
		}
	}
	assert.Equal(t, len(told), servers)
}

// inFlight reports calls in flight of a host, or the end of one if serviceTime is not 0.
func inFlight(b *Board, host string, n int, serviceTime time.Duration, now time.Time) []ServerLoad {
	b.Observe(host, ServerLoad{Server: "s", InFlight: n, ServiceTime: serviceTime}, 2, now)
	changes, _ := b.Changes(now)
	return changes
}

// Where requests run long, hosts are told that a server is full before anything ends there, that it
// is no longer, and when a host that has calls there is lost.
func TestBoardTellsLongRequests(t *testing.T) {
	now := time.Unix(0, 0)
	const run = 200 * time.Millisecond
	b := NewBoard()
	assert.DeepEqual(t, inFlight(b, "a", 0, run, now), []ServerLoad{{Server: "s", ServiceTime: run}})
	now = now.Add(time.Second)
	assert.Equal(t, len(inFlight(b, "a", 1, 0, now)), 0, "a slot is free")
	assert.DeepEqual(t, inFlight(b, "b", 2, 0, now), []ServerLoad{{Server: "s", ServiceTime: run, InFlight: 3}})
	assert.Equal(t, len(inFlight(b, "b", 2, 0, now)), 0)
	b.Left("b")
	changes, again := b.Changes(now)
	assert.DeepEqual(t, changes, []ServerLoad{{Server: "s", ServiceTime: run, InFlight: 1}})
	assert.Assert(t, again)
	assert.DeepEqual(t, b.Loaded(), changes)
}

// A long run time does not include waits, however long the queue; it grows before anything ends when
// requests are overdue, and one probe after a while is enough to tell that it has fallen.
func TestLongRunTimeExcludesWaits(t *testing.T) {
	now := time.Unix(0, 0)
	const run = 200 * time.Millisecond
	b := NewBoard()
	inFlight(b, "a", 0, run, now)
	inFlight(b, "a", 20, 0, now)
	for n := 19; n >= 0; n-- {
		now = now.Add(run / 2) // Two slots.
		inFlight(b, "a", n, time.Duration(20-n)*run/2, now)
	}
	e := b.servers["s"]
	assert.Assert(t, !differs(e.serviceTime, run), "%v", e.serviceTime)

	inFlight(b, "a", 1, 0, now)
	now = now.Add(3 * run)
	changes, _ := b.Changes(now)
	assert.DeepEqual(t, changes, []ServerLoad{{Server: "s", ServiceTime: 3 * run, InFlight: 1}})
	now = now.Add(2 * run)
	inFlight(b, "a", 0, 5*run, now)
	slow := e.serviceTime
	now = now.Add(time.Minute)
	inFlight(b, "a", 1, 0, now)
	inFlight(b, "a", 0, run, now.Add(run))
	assert.Assert(t, slow > run*4/3 && !differs(e.serviceTime, run), "%v, then %v", slow, e.serviceTime)
}

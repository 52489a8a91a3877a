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

// A calm fleet is told nothing: neither first service times nor a request that waits for a moment.
func TestBoardTellsNothingInCalm(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBoard()
	for i := range 200 {
		waiting := 0
		if i%10 == 9 {
			waiting = 1
		}
		b.Observe("h", ServerLoad{Server: "s", Waiting: waiting, ServiceTime: time.Duration(20+i%4) * time.Millisecond}, 2, now)
		now = now.Add(30 * time.Millisecond)
		changes, again := b.Changes(now)
		assert.Equal(t, len(changes), 0, "%v", changes)
		assert.Assert(t, !again)
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
		b.Observe("h", ServerLoad{Server: fmt.Sprint("s", i), Waiting: 1 + i, ServiceTime: time.Millisecond}, 2, now)
	}
	told := map[string]bool{}
	for range 3 {
		changes, again := b.Changes(now)
		assert.Assert(t, len(changes) <= maxBoardChanges && again)
		if len(told) == 0 {
			assert.Equal(t, changes[0].Waiting, servers)
		}
		for _, l := range changes {
			told[l.Server] = true
		}
	}
	assert.Equal(t, len(told), servers)
}

// Package evict decides which callers make room when all of them together take more of a host than it has.
//
// Invariants:
//   - A request that was read whole is never chosen while it may run.
//   - A request that has just begun is not chosen, so that callers that send without pause are served even beside
//     a crowd that returns at once.
package evict

import "time"

// Tenure is how long a request may be read before it can be chosen: a caller that sends without pause has sent a
// body of a few hundred KiB by then.
const Tenure = 50 * time.Millisecond

// Request is a request that is being read.
type Request struct {
	// Held is its memory in bytes.
	Held int64
	// Age is for how long the host has waited for its caller since the first byte. The time for which the caller waited
	// for memory does not count.
	Age time.Duration
}

// Turn returns the order in which requests that wait get memory, the lowest first: those for whose callers the host has waited
// least, and that end soonest. Requests of one turn get it in the order in which they began.
func Turn(age time.Duration) int { return int(age / Tenure) }

// ForMemory returns the index of the request that makes room for others, the one that holds the most for the
// longest, and how long to wait until it may be ended. The index is -1 if there is none.
//
// The time since the last byte is no measure: a caller that sends a byte now and then would stay, and a slow one that
// sends in bursts would go.
func ForMemory(requests []Request) (victim int, wait time.Duration) {
	victim = -1
	var most float64
	for i, r := range requests {
		if cost := float64(r.Held) * float64(r.Age); victim < 0 || cost > most {
			victim, most = i, cost
		}
	}
	if victim < 0 {
		return victim, 0
	}
	return victim, max(0, Tenure-requests[victim].Age)
}

// Patience is how long a caller may leave a request unfinished before its connection is closed ahead of idle ones, which
// cost their callers less.
const Patience = time.Second

// Connection is an open connection.
type Connection struct {
	// Busy is set while a whole request is served, Ended once the last answer was given, Idle while callers may keep the
	// connection for another request.
	Busy, Ended, Idle bool
	// Waiting is how long the host has waited for the caller to send a whole request, or to read its answer.
	Waiting time.Duration
}

// rank orders connections by how little their end costs their callers; 0 is the least.
func (c Connection) rank() int {
	switch {
	case c.Ended:
		return 0
	case !c.Idle && c.Waiting >= Patience:
		return 1
	case c.Idle:
		return 2
	}
	return 3
}

// ForConnection returns the index of the connection that makes room for a new one, or -1 if the new one must be refused.
func ForConnection(connections []Connection) int {
	victim := -1
	for i, c := range connections {
		if c.Busy {
			continue
		}
		if victim < 0 || c.rank() < connections[victim].rank() || c.rank() == connections[victim].rank() && c.Waiting > connections[victim].Waiting {
			victim = i
		}
	}
	return victim
}

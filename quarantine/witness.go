package quarantine

import "time"

const (
	// brokenCallTTL is how long a broken call may be attributed to a crash. It covers the three
	// heartbeats after which the registry entry of a server expires, and the propagation of
	// that.
	brokenCallTTL = 10 * time.Second
	// maxBrokenCalls bounds the number of tracked calls; further ones are dropped.
	maxBrokenCalls = 256
)

// BrokenCall is a call whose connection broke, at a server that may have crashed.
type BrokenCall struct {
	Fingerprint Fingerprint
	Crash       Crash
	// Description describes the request to operators.
	Description string
	// At is the time at which the query that made the call completed.
	At time.Time
}

// Record returns the record of the call for the case that its server has crashed.
func (c BrokenCall) Record() Record {
	r := Record{Servers: []string{c.Crash.Server}, Crashes: 1, Versions: []string{c.Crash.Version}, Description: c.Description, LastCrash: c.At.UnixMilli()}
	if c.Crash.OnTrial {
		r.Trials = r.Servers
	}
	return r
}

// BrokenCalls tracks the broken calls of queries that no server served, until it is known whether
// their servers crashed. A server that a supervisor restarts at once accepts the next connection,
// so that only its registry entry shows the crash later. It is not safe for concurrent use.
type BrokenCalls struct {
	// calls maps servers to their broken calls.
	calls map[string][]BrokenCall
	// count is the number of calls of all servers.
	count int
}

// NewBrokenCalls returns a BrokenCalls without calls.
func NewBrokenCalls() *BrokenCalls { return &BrokenCalls{calls: map[string][]BrokenCall{}} }

// Add adds a broken call.
func (b *BrokenCalls) Add(c BrokenCall) {
	if b.count >= maxBrokenCalls {
		b.expire(c.At)
	}
	if b.count < maxBrokenCalls {
		b.calls[c.Crash.Server] = append(b.calls[c.Crash.Server], c)
		b.count++
	}
}

// Take removes and returns the recent broken calls of a server that crashed.
func (b *BrokenCalls) Take(server string, now time.Time) []BrokenCall {
	b.expire(now)
	calls := b.calls[server]
	delete(b.calls, server)
	b.count -= len(calls)
	return calls
}

// expire removes calls older than brokenCallTTL.
func (b *BrokenCalls) expire(now time.Time) {
	for server, calls := range b.calls {
		kept := calls[:0]
		for _, c := range calls {
			if now.Sub(c.At) < brokenCallTTL {
				kept = append(kept, c)
			}
		}
		b.count -= len(calls) - len(kept)
		if b.calls[server] = kept; len(kept) == 0 {
			delete(b.calls, server)
		}
	}
}

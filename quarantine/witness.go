package quarantine

import "time"

const (
	// witnessLife is for how long a broken call may still turn out to have ended its server:
	// three heartbeats of a server after which its entry lapses, and the time of the news.
	witnessLife = 10 * time.Second
	// maxBroken bounds the broken calls that wait; further ones are left out.
	maxBroken = 256
)

// BrokenCall is a call that broke off at a server that may have ended with it.
type BrokenCall struct {
	Fingerprint Fingerprint
	End         End
	// What describes the request to operators.
	What string
	// At is when the query that made the call was over.
	At time.Time
}

// Record is what is to be told of the call once its server is known to have ended.
func (c BrokenCall) Record() Record {
	r := Record{Servers: []string{c.End.Server}, Ended: 1, Versions: []string{c.End.Version}, What: c.What, At: c.At.UnixMilli()}
	if c.End.OnTrial {
		r.Trials = r.Servers
	}
	return r
}

// Witnesses keeps broken calls of queries that nobody served until it is known what became of
// their servers. One that a supervisor starts again at once accepts the next connection, so
// that only its entry tells later that it had ended. It is not safe for concurrent use.
type Witnesses struct {
	calls map[string][]BrokenCall
	count int
}

// NewWitnesses returns one that waits for nothing.
func NewWitnesses() *Witnesses { return &Witnesses{calls: map[string][]BrokenCall{}} }

// Broke takes a broken call in.
func (w *Witnesses) Broke(c BrokenCall) {
	if w.count >= maxBroken {
		w.expire(c.At)
	}
	if w.count < maxBroken {
		w.calls[c.End.Server] = append(w.calls[c.End.Server], c)
		w.count++
	}
}

// Ended takes in that a server ended, and returns the calls that it had not long before.
func (w *Witnesses) Ended(server string, now time.Time) []BrokenCall {
	w.expire(now)
	calls := w.calls[server]
	delete(w.calls, server)
	w.count -= len(calls)
	return calls
}

// expire forgets the calls whose servers have not ended in time.
func (w *Witnesses) expire(now time.Time) {
	for server, calls := range w.calls {
		kept := calls[:0]
		for _, c := range calls {
			if now.Sub(c.At) < witnessLife {
				kept = append(kept, c)
			}
		}
		w.count -= len(calls) - len(kept)
		if w.calls[server] = kept; len(kept) == 0 {
			delete(w.calls, server)
		}
	}
}

package callerconn

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/evict"
)

const (
	// allowance is the memory in bytes that a request may take without a share of the limit of all requests, so that
	// large ones do not keep small ones out.
	allowance = 16 << 10
	// headByteCost and headLineCost are the memory that a byte and a line of a head take once it is parsed and copied for
	// the servers, in bytes.
	headByteCost = 2
	headLineCost = 256
	// maxWait limits how long a request waits for memory. After it, its caller is told to come back.
	maxWait = time.Second
	// RetryAfter is when the caller of a request that made room for others may return. Most requests end within it.
	RetryAfter = time.Second
)

// ErrEvicted reports that a request was ended while it was read, to make room for others. No server was sent it.
var ErrEvicted = errors.New("the requests that are read and served at once take too much memory: send the request again later")

// requestMemory limits the memory of the requests that are read and served. It is safe for concurrent use.
//
// Requests that need more wait, in the order of evict.Turn and of their beginning, so that each that is sent without pause
// gets to its end. Room is made by ending requests that are still being read. A share is free again once its request has
// ended.
type requestMemory struct {
	mu sync.Mutex
	// size is the limit in bytes, 0 for none, and free what of it is not taken.
	size, free int64
	// leaving is what evicted requests hold.
	leaving int64
	shares  map[*share]struct{}
	// waiting is in the order in which requests get memory.
	waiting []*growth
	// timer calls arrange at wakeAt, when a request that may not be evicted yet can be.
	timer  *time.Timer
	wakeAt time.Time
	// stuckSince is since when no request may make room for the first one that waits; zero if one may.
	stuckSince time.Time
}

// evictable is what a share belongs to.
type evictable interface {
	// evict makes the request that is being read end, which holds the given memory. It must not block.
	evict(evict.Request)
}

// share is the memory of one request, or of the messages that are being read on one connection.
type share struct {
	owner evictable
	// began is when the first byte of the request arrived, and waited how long it waited for memory before the growth
	// that it waits for now, if any.
	began   time.Time
	waited  time.Duration
	waiting *growth
	// total is its memory in bytes, and held what of it counts toward the limit.
	total, held int64
	// whole is whether the request was read whole, evicted whether it was told to end, and released whether it has ended.
	whole, evicted, released bool
}

// growth is a request that waits for n bytes.
type growth struct {
	share *share
	n     int64
	since time.Time
	// turn is that of the request, whose age does not grow while it waits.
	turn int
	// done receives nil once the bytes are granted, or ErrEvicted.
	done chan error
}

func newRequestMemory(size int64) *requestMemory {
	return &requestMemory{size: size, free: size, shares: map[*share]struct{}{}}
}

// grow adds n bytes to a share. It waits until they are free, and returns ErrEvicted if the request is ended instead.
func (m *requestMemory) grow(s *share, n int64) error {
	if m.size == 0 {
		return nil
	}
	if g := m.ask(s, n); g != nil {
		return <-g.done
	}
	return nil
}

// ask adds n bytes to a share and returns nil, or the growth to wait for.
func (m *requestMemory) ask(s *share, n int64) *growth {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.total += n
	missing := s.total - allowance - s.held
	if missing <= 0 {
		return nil
	}
	now := time.Now()
	g := &growth{share: s, n: missing, since: now, turn: evict.Turn(s.age(now)), done: make(chan error, 1)}
	if s.evicted || s.released {
		g.done <- ErrEvicted
		return g
	}
	m.shares[s] = struct{}{}
	s.waiting = g
	at, _ := slices.BinarySearchFunc(m.waiting, g, compareTurns)
	m.waiting = slices.Insert(m.waiting, at, g)
	m.arrange()
	return g
}

func compareTurns(a, b *growth) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), a.share.began.Compare(b.share.began))
}

// arrange grants bytes to the requests that wait, in their order, and makes room for the first one. A request that is larger
// than the limit gets what it needs if no other holds any. m.mu is held.
func (m *requestMemory) arrange() {
	for len(m.waiting) > 0 {
		first := m.waiting[0]
		if first.n <= m.free || m.free+first.share.held == m.size {
			m.waiting = slices.Delete(m.waiting, 0, 1)
			m.grant(first)
			continue
		}
		if first.n <= m.free+m.leaving || !m.makeRoom(first) {
			return
		}
	}
}

// grant gives a request the bytes that it waits for. m.mu is held.
func (m *requestMemory) grant(g *growth) {
	m.stuckSince = time.Time{}
	m.free -= g.n
	g.share.held += g.n
	g.share.waited += time.Since(g.since)
	g.share.waiting = nil
	g.done <- nil
}

// makeRoom evicts a request for the first one that waits, or that one itself if it has waited for too long. It returns
// false if none may be evicted yet. m.mu is held.
func (m *requestMemory) makeRoom(first *growth) bool {
	now := time.Now()
	requests, shares := m.candidates(now)
	victim, wait := evict.ForMemory(requests)
	patience := maxWait - now.Sub(first.since)
	m.noteStuck(victim < 0, now)
	if victim < 0 {
		patience = evict.Tenure - min(now.Sub(first.since), now.Sub(m.stuckSince))
		wait = patience
	}
	switch {
	case patience <= 0:
		last := m.lastToWait()
		m.evict(last, evict.Request{Held: last.held, Age: last.age(now)})
	case wait > 0:
		m.arrangeAt(now.Add(min(wait, patience)))
		return false
	default:
		m.evict(shares[victim], requests[victim])
	}
	return true
}

// noteStuck records whether no request may make room: all others are served, which may last, or wait for memory too.
// m.mu is held.
func (m *requestMemory) noteStuck(stuck bool, now time.Time) {
	switch {
	case !stuck:
		m.stuckSince = time.Time{}
	case m.stuckSince.IsZero():
		m.stuckSince = now
	}
}

// lastToWait returns the last request of those that wait and hold memory, or the first one that waits if no other holds
// any. m.mu is held.
func (m *requestMemory) lastToWait() *share {
	for i := len(m.waiting) - 1; i > 0; i-- {
		if m.waiting[i].share.held > 0 {
			return m.waiting[i].share
		}
	}
	return m.waiting[0].share
}

// candidates returns the requests that may make room. One that waits for memory itself is among them only if its caller
// has had its time. m.mu is held.
func (m *requestMemory) candidates(now time.Time) (requests []evict.Request, shares []*share) {
	for s := range m.shares {
		r := evict.Request{Held: s.held, Age: s.age(now)}
		if s.whole || s.evicted || s.held == 0 || r.Age < evict.Tenure && s.waiting != nil {
			continue
		}
		requests, shares = append(requests, r), append(shares, s)
	}
	return requests, shares
}

// age returns for how long the host has waited for the caller. The memory's lock is held.
func (s *share) age(now time.Time) time.Duration {
	age := now.Sub(s.began) - s.waited
	if s.waiting != nil {
		age -= now.Sub(s.waiting.since)
	}
	return age
}

// arrangeAt calls arrange again at a time, unless it is called earlier anyway. m.mu is held.
func (m *requestMemory) arrangeAt(at time.Time) {
	if m.timer != nil && !at.Before(m.wakeAt) {
		return
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	m.wakeAt = at
	m.timer = time.AfterFunc(time.Until(at), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.timer = nil
		m.arrange()
	})
}

// evict ends a request: the one that waits for memory learns it here, others by their next read. m.mu is held.
func (m *requestMemory) evict(s *share, r evict.Request) {
	s.evicted = true
	m.leaving += s.held
	m.refuseWaiting(s)
	s.owner.evict(r)
}

// refuseWaiting refuses the growth that a request waits for, if any. m.mu is held.
func (m *requestMemory) refuseWaiting(s *share) {
	if g := s.waiting; g != nil {
		m.waiting = slices.DeleteFunc(m.waiting, func(other *growth) bool { return other == g })
		s.waiting = nil
		g.done <- ErrEvicted
	}
}

// noteWhole records whether a request was read whole. It returns ErrEvicted if the request was ended before.
func (m *requestMemory) noteWhole(s *share, whole bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.evicted {
		return ErrEvicted
	}
	s.whole = whole
	m.arrange() // There may be nobody left to make room.
	return nil
}

// release ends a share. A server that is closed may do so while the request is read.
func (m *requestMemory) release(s *share) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.released = true
	if _, known := m.shares[s]; !known {
		return // It took nothing of the limit.
	}
	delete(m.shares, s)
	m.free += s.held
	if s.evicted {
		m.leaving -= s.held
	}
	s.held = 0
	m.refuseWaiting(s)
	m.arrange()
}

// ageOf returns for how long the host has waited for the caller of a request.
func (m *requestMemory) ageOf(s *share, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.age(now)
}

// taken returns the memory that all requests hold, in bytes.
func (m *requestMemory) taken() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size - m.free
}

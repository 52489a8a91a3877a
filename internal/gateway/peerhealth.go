package gateway

import (
	"sync"
	"time"
)

// peerHealth remembers which peers did not answer.
type peerHealth struct {
	mu       sync.Mutex
	failures map[string]int
	until    map[string]time.Time
	running  map[string]int
}

const (
	// firstSuspicion is for how long a peer that did not answer is not asked;
	// it doubles with each further failure up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

func newPeerHealth() *peerHealth {
	return &peerHealth{failures: map[string]int{}, until: map[string]time.Time{}, running: map[string]int{}}
}

// choose returns the host with the fewest calls running of those not
// suspected, or false where there is none.
func (p *peerHealth) choose(hosts []host, self string, now time.Time) (host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := host{}, false
	for _, h := range hosts {
		if h.name == self || now.Before(p.until[h.address]) {
			continue
		}
		if !found || p.running[h.address] < p.running[best.address] {
			best, found = h, true
		}
	}
	return best, found
}

// suspected reports whether a peer did not answer of late.
func (p *peerHealth) suspected(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[address])
}

func (p *peerHealth) start(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[address]++
}

func (p *peerHealth) end(address string, answered bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address]--; p.running[address] <= 0 {
		delete(p.running, address)
	}
	if answered {
		delete(p.failures, address)
		delete(p.until, address)
	}
}

// suspect keeps a peer from being asked for a while.
func (p *peerHealth) suspect(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until[address]) {
		return
	}
	wait := min(firstSuspicion<<min(p.failures[address], 8), longestSuspicion)
	p.failures[address]++
	p.until[address] = now.Add(wait)
}

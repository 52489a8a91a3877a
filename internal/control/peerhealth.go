package gateway

import (
	"sync"
	"time"
)

// peerHealth remembers which peers did not answer. A suspected peer gets no
// requests until it has answered a probe: requests are no probes.
type peerHealth struct {
	mu       sync.Mutex
	failures map[string]int
	// probeAt is when a suspected peer is probed next.
	probeAt map[string]time.Time
	running map[string]int
}

const (
	// firstSuspicion is after what time a peer that did not answer is probed;
	// it doubles with each further failure up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

func newPeerHealth() *peerHealth {
	return &peerHealth{failures: map[string]int{}, probeAt: map[string]time.Time{}, running: map[string]int{}}
}

// choose returns the host with the fewest calls running of those not
// suspected, or false where there is none.
func (p *peerHealth) choose(hosts []host, self string) (host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := host{}, false
	for _, h := range hosts {
		if _, suspected := p.probeAt[h.address]; suspected || h.name == self {
			continue
		}
		if !found || p.running[h.address] < p.running[best.address] {
			best, found = h, true
		}
	}
	return best, found
}

// suspected reports whether a peer did not answer and was not heard from since.
func (p *peerHealth) suspected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, suspected := p.probeAt[address]
	return suspected
}

// due returns the suspected peers that are to be probed at now. Those that keep
// does not know are forgotten.
func (p *peerHealth) due(now time.Time, keep func(address string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for address, at := range p.probeAt {
		if !keep(address) {
			delete(p.probeAt, address)
			delete(p.failures, address)
		} else if !now.Before(at) {
			due = append(due, address)
		}
	}
	return due
}

// answered notes that a peer was heard from.
func (p *peerHealth) answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, address)
	delete(p.probeAt, address)
}

func (p *peerHealth) start(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[address]++
}

func (p *peerHealth) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address]--; p.running[address] <= 0 {
		delete(p.running, address)
	}
}

// suspect keeps requests from a peer until it answers a probe.
func (p *peerHealth) suspect(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.probeAt[address]) {
		return
	}
	wait := min(firstSuspicion<<min(p.failures[address], 8), longestSuspicion)
	p.failures[address]++
	p.probeAt[address] = now.Add(wait)
}

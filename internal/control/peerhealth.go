package control

import (
	"sync"
	"time"
)

// PeerHealth remembers which peers did not answer. A suspected peer gets no
// requests until it has answered a probe: requests are no probes.
type PeerHealth struct {
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

func newPeerHealth() *PeerHealth {
	return &PeerHealth{failures: map[string]int{}, probeAt: map[string]time.Time{}, running: map[string]int{}}
}

// Choose returns the host with the fewest calls running of those not
// suspected, or false where there is none.
func (p *PeerHealth) Choose(hosts []Host, self string) (Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := Host{}, false
	for _, h := range hosts {
		if _, suspected := p.probeAt[h.Address]; suspected || h.Name == self {
			continue
		}
		if !found || p.running[h.Address] < p.running[best.Address] {
			best, found = h, true
		}
	}
	return best, found
}

// Suspected reports whether a peer did not answer and was not heard from since.
func (p *PeerHealth) Suspected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, suspected := p.probeAt[address]
	return suspected
}

// due returns the suspected peers that are to be probed at now. Those that keep
// does not know are forgotten.
func (p *PeerHealth) due(now time.Time, keep func(address string) bool) []string {
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

// Answered notes that a peer was heard from.
func (p *PeerHealth) Answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, address)
	delete(p.probeAt, address)
}

func (p *PeerHealth) Started(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[address]++
}

func (p *PeerHealth) Ended(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address]--; p.running[address] <= 0 {
		delete(p.running, address)
	}
}

// suspect keeps requests from a peer until it answers a probe.
func (p *PeerHealth) suspect(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.probeAt[address]) {
		return
	}
	wait := min(firstSuspicion<<min(p.failures[address], 8), longestSuspicion)
	p.failures[address]++
	p.probeAt[address] = now.Add(wait)
}

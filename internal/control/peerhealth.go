package control

import (
	"sync"
	"time"
)

// PeerHealth tracks peers that do not respond. A suspected peer gets no requests until it has
// answered a probe; requests are not used as probes.
type PeerHealth struct {
	mu       sync.Mutex
	failures map[string]int
	// probeAt is when a suspected peer is probed next; peers without a value are not
	// suspected.
	probeAt  map[string]time.Time
	inFlight map[string]int
}

const (
	// minProbeDelay is the delay before the first probe of a suspected peer. It doubles with
	// each failure up to maxProbeDelay.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
)

func newPeerHealth() *PeerHealth {
	return &PeerHealth{failures: map[string]int{}, probeAt: map[string]time.Time{}, inFlight: map[string]int{}}
}

// Choose returns the unsuspected host with the fewest calls in flight, or false if there is
// none.
func (p *PeerHealth) Choose(hosts []Host, self string) (Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := Host{}, false
	for _, h := range hosts {
		if _, suspected := p.probeAt[h.Address]; suspected || h.Name == self {
			continue
		}
		if !found || p.inFlight[h.Address] < p.inFlight[best.Address] {
			best, found = h, true
		}
	}
	return best, found
}

// Suspected reports whether a peer failed to respond and has not been heard from since.
func (p *PeerHealth) Suspected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, suspected := p.probeAt[address]
	return suspected
}

// due returns the suspected peers to be probed now. It forgets peers for which known is
// false.
func (p *PeerHealth) due(now time.Time, known func(address string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for address, at := range p.probeAt {
		if !known(address) {
			delete(p.probeAt, address)
			delete(p.failures, address)
		} else if !now.Before(at) {
			due = append(due, address)
		}
	}
	return due
}

// Answered records that a peer responded.
func (p *PeerHealth) Answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, address)
	delete(p.probeAt, address)
}

// CallStarted records the start of a call to a peer.
func (p *PeerHealth) CallStarted(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[address]++
}

// CallEnded records the end of a call to a peer.
func (p *PeerHealth) CallEnded(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[address]--; p.inFlight[address] <= 0 {
		delete(p.inFlight, address)
	}
}

// suspect withholds requests from a peer until it answers a probe.
func (p *PeerHealth) suspect(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.probeAt[address]) {
		return
	}
	delay := min(minProbeDelay<<min(p.failures[address], 8), maxProbeDelay)
	p.failures[address]++
	p.probeAt[address] = now.Add(delay)
}

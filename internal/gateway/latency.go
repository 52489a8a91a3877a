package gateway

import (
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/retry"
)

// minHedgeDelay is the minimum delay before a hedge. Shorter latencies are dominated by timers and
// goroutine scheduling.
const minHedgeDelay = 4 * time.Millisecond

// latencyTracker tracks the latency of calls by route, separately for direct and relayed calls.
type latencyTracker struct {
	quantile float64
	mu       sync.Mutex
	delays   map[latencyKey]*retry.HedgeDelay
}

type latencyKey struct {
	route string
	// relayed selects the time until a relay's reply arrived at this host; otherwise it is the time
	// from the call of a server to its reply, measured at the host that made the call.
	relayed bool
}

func newLatencyTracker(quantile float64) *latencyTracker {
	return &latencyTracker{quantile: quantile, delays: map[latencyKey]*retry.HedgeDelay{}}
}

func (l *latencyTracker) delayOf(key latencyKey) *retry.HedgeDelay {
	d := l.delays[key]
	if d == nil {
		d = retry.NewHedgeDelay(l.quantile, minHedgeDelay)
		l.delays[key] = d
	}
	return d
}

// prune removes the state of routes that are no longer known.
func (l *latencyTracker) prune(known func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.delays {
		if !known(key.route) {
			delete(l.delays, key)
		}
	}
}

func (l *latencyTracker) observe(key latencyKey, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayOf(key).Observe(latency)
}

// hedgeDelay returns the delay after which a call is late, or fallback if there are too few
// observations.
func (l *latencyTracker) hedgeDelay(key latencyKey, fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.delayOf(key).Delay(); ok {
		return min(d, fallback)
	}
	return fallback
}

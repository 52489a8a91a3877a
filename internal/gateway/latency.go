package gateway

import (
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/retry"
)

// hedgeFloor is the least delay before a hedge: below it timers and the
// scheduling of goroutines decide, not the server.
const hedgeFloor = 4 * time.Millisecond

// latencies follow the latency of calls by route, near and far apart.
type latencies struct {
	quantile float64
	mu       sync.Mutex
	delays   map[latencyKey]*retry.HedgeDelay
}

type latencyKey struct {
	route string
	// relayed is the time until a relay's reply came here; otherwise that from
	// the call of a server to its reply, wherever the call was made.
	relayed bool
}

func newLatencies(quantile float64) *latencies {
	return &latencies{quantile: quantile, delays: map[latencyKey]*retry.HedgeDelay{}}
}

func (l *latencies) of(key latencyKey) *retry.HedgeDelay {
	d := l.delays[key]
	if d == nil {
		d = retry.NewHedgeDelay(l.quantile, hedgeFloor)
		l.delays[key] = d
	}
	return d
}

// forgetOthers forgets the routes that keep does not know.
func (l *latencies) forgetOthers(keep func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.delays {
		if !keep(key.route) {
			delete(l.delays, key)
		}
	}
}

func (l *latencies) observe(key latencyKey, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(key).Observe(latency)
}

// delay returns after what time a call is late, or fallback while little is
// known.
func (l *latencies) delay(key latencyKey, fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.of(key).Delay(); ok {
		return min(d, fallback)
	}
	return fallback
}

package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mallowgap/mallowgap/api/callerpb"
)

const (
	// readinessInterval is the time between two readiness checks of a host.
	readinessInterval = 200 * time.Millisecond
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
)

// backend is an entry host with its readiness.
type backend struct {
	conns []callerpb.QueryClient
	// readyAddress is the HTTP address of the readiness check, or empty for a
	// host that always counts as ready.
	readyAddress string
	ready        atomic.Bool
}

// balancer simulates the platform's load balancer: it sends requests to hosts
// that passed their last readiness check.
type balancer struct {
	backends []*backend
}

// pick returns a connection to a random ready host, or to any host if none is
// ready.
func (b *balancer) pick() callerpb.QueryClient {
	start := rand.IntN(len(b.backends))
	chosen := b.backends[start]
	for i := range b.backends {
		candidate := b.backends[(start+i)%len(b.backends)]
		if candidate.ready.Load() {
			chosen = candidate
			break
		}
	}
	return chosen.conns[rand.IntN(len(chosen.conns))]
}

// pollReadiness checks the readiness of all hosts until ctx is cancelled.
func (b *balancer) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, backend := range b.backends {
			backend.ready.Store(backend.readyAddress == "" || isReady(ctx, backend.readyAddress))
		}
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", address), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

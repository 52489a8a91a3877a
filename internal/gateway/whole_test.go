package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

// crowdedConfig has services with fewer connections than there are hosts.
func crowdedConfig() route.Config {
	c := shardedConfig(1, 1)
	c.Services[0].MaxConns = 5 // Two hosts of eight call it.
	return c
}

var eightHosts = []hostSpec{
	{"h0", "a1", "a"}, {"h1", "a1", "a"}, {"h2", "a1", "a"}, {"h3", "a1", "a"},
	{"h4", "b1", "b"}, {"h5", "b1", "b"}, {"h6", "b1", "b"}, {"h7", "b1", "b"},
}

// Of eight hosts two call a server that accepts five connections; the others pass their
// requests to these, with whole replies, and one that may not be repeated runs once.
func TestHostsPassRequestsOnWhereAServerHasFewConnections(t *testing.T) {
	inWorld(t, crowdedConfig(), serversOf([]string{"single"}, "a1"), eightHosts, func(w *world) {
		time.Sleep(2 * time.Second) // Until all know each other.
		w.leafs.set("single@a1", func(_ context.Context, r *Request) (*Reply, error) {
			return &Reply{Status: http.StatusTeapot + 1, Header: http.Header{"Kind": {"x", "y"}}, Body: []byte(r.Target), Signature: "s/" + r.ID}, nil
		})
		before := w.peers.gathers.Load()
		for _, path := range []string{"/one/x?y", "/once/x"} {
			for _, host := range eightHosts {
				a := w.ask(host.name, path)
				assert.Equal(t, a.Outcome, Forwarded, "%s: %s", host.name, a.Reason)
				assert.Equal(t, a.Reply.Status, http.StatusTeapot+1)
				assert.DeepEqual(t, a.Reply.Header["Kind"], []string{"x", "y"})
				assert.Equal(t, string(a.Reply.Body), path)
			}
		}
		assert.Equal(t, w.peers.gathers.Load()-before, int64(2*6), "six hosts pass each request on")
		assert.Equal(t, w.leafs.arrivals("single@a1"), 2*8)
	})
}

// The server never answers a request that was passed on: one that may not be repeated is not
// run again, and is not called not run.
func TestRequestPassedOnWithoutAnAnswerIsNotRepeated(t *testing.T) {
	inWorld(t, crowdedConfig(), serversOf([]string{"single"}, "a1"), eightHosts, func(w *world) {
		time.Sleep(2 * time.Second)
		w.leafs.set("single@a1", silent)
		outcomes := map[Outcome]int{}
		for _, host := range eightHosts {
			a := w.ask(host.name, "/once/x")
			outcomes[a.Outcome]++
		}
		assert.Equal(t, outcomes[TimedOut], 8, "%v", outcomes)
		assert.Equal(t, w.leafs.arrivals("single@a1"), 8)
	})
}

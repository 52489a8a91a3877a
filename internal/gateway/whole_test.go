package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

// fewConnectionsConfig returns a configuration whose service permits fewer connections than there
// are hosts.
func fewConnectionsConfig() route.Config {
	c := shardedConfig(1, 1)
	c.Services[0].MaxConns = 5 // Two of eight hosts call it.
	return c
}

var eightHosts = []hostSpec{
	{"h0", "a1", "a"}, {"h1", "a1", "a"}, {"h2", "a1", "a"}, {"h3", "a1", "a"},
	{"h4", "b1", "b"}, {"h5", "b1", "b"}, {"h6", "b1", "b"}, {"h7", "b1", "b"},
}

// If a server permits too few connections for every host to call it, the other hosts must relay
// their requests through those that do, return complete replies, and send requests that are not
// idempotent once.
func TestHostsPassRequestsOnWhereAServerHasFewConnections(t *testing.T) {
	withCluster(t, fewConnectionsConfig(), serversOf([]string{"single"}, "a1"), eightHosts, func(cl *cluster) {
		time.Sleep(2 * time.Second) // The hosts learn of each other.
		cl.backends.set("single@a1", func(_ context.Context, r *Request) (*Reply, error) {
			return &Reply{Status: http.StatusTeapot + 1, Header: http.Header{"Kind": {"x", "y"}}, Body: []byte(r.Target), Signature: "s/" + r.ID}, nil
		})
		before := cl.peers.gathers.Load()
		for _, path := range []string{"/one/x?y", "/once/x"} {
			for _, host := range eightHosts {
				a := cl.ask(host.name, path)
				assert.Equal(t, a.Outcome, Forwarded, "%s: %s", host.name, a.Reason)
				assert.Equal(t, a.Reply.Status, http.StatusTeapot+1)
				assert.DeepEqual(t, a.Reply.Header["Kind"], []string{"x", "y"})
				assert.Equal(t, string(a.Reply.Body), path)
			}
		}
		assert.Equal(t, cl.peers.gathers.Load()-before, int64(2*6), "six of eight hosts must relay each request")
		assert.Equal(t, cl.backends.arrivals("single@a1"), 2*8)
	})
}

// A relayed request that is not idempotent and gets no reply must not be sent again, and must not
// be reported as not run.
func TestRequestPassedOnWithoutAnAnswerIsNotRepeated(t *testing.T) {
	withCluster(t, fewConnectionsConfig(), serversOf([]string{"single"}, "a1"), eightHosts, func(cl *cluster) {
		time.Sleep(2 * time.Second)
		cl.backends.set("single@a1", silent)
		outcomes := map[Outcome]int{}
		for _, host := range eightHosts {
			a := cl.ask(host.name, "/once/x")
			outcomes[a.Outcome]++
		}
		assert.Equal(t, outcomes[TimedOut], 8, "%v", outcomes)
		assert.Equal(t, cl.backends.arrivals("single@a1"), 8)
	})
}

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/control/fakestore"
)

// A host that has lost the store and all peers must refuse queries at once if the servers that it
// still reaches hold too few shards, and serve them again once a peer answers.
func TestHostThatIsCutOffRefusesWhatItCannotServe(t *testing.T) {
	servers := append(serversOf([]string{"shard0", "shard1", "single"}, "a1"), serversOf([]string{"shard2", "shard3"}, "b1")...)
	c := shardedConfig(1, 4)
	c.Routes[0].Query.MinShare = 0.9
	files := []hostSpec{{"host1", "a1", "a"}, {"host2", "b1", "b"}, {"host3", "c1", "c"}}
	settings := settingsOf(t, files[0])
	withCluster(t, c, servers, files[1:], func(cl *cluster) {
		store := &fakestore.Partitioned{Store: cl.store}
		g := cl.startOn(settings, store)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.ask("host1", "/q/x").Outcome, Gathered)
		store.Cut.Store(true)
		for _, h := range files[1:] {
			cl.peers.cutOff(cl.hosts[h.name])
		}
		for _, s := range []string{"shard2", "shard3"} {
			cl.backends.set(s, silent)
		}
		time.Sleep(2 * time.Second)
		for range 8 {
			cl.ask("host1", "/q/x") // The host detects the loss.
		}
		for range 5 {
			before, began := cl.backends.arrivals("shard"), time.Now()
			a := cl.ask("host1", "/q/x")
			assert.Assert(t, a.Outcome == NotRun && a.Cause == CauseCutOff && a.RetryAfter > 0, "%+v", a)
			assert.Equal(t, time.Since(began), time.Duration(0))
			assert.Equal(t, cl.backends.arrivals("shard"), before)
			assert.Equal(t, cl.ask("host1", "/one/x").Outcome, Forwarded, "services within reach must be served")
		}
		g.control.Health().Answered(cl.hosts["host2"].self.GetAddress())
		assert.Assert(t, cl.ask("host1", "/q/x").Cause != CauseCutOff)
	})
}

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/control/fakestore"
)

// A host loses the store and all others at once, and its own failure domain holds half of
// the shards. Once it knows, queries are refused at once and nothing is sent; it serves
// again as soon as another host answers.
func TestHostThatIsCutOffRefusesWhatItCannotServe(t *testing.T) {
	servers := append(serversOf([]string{"shard0", "shard1", "single"}, "a1"), serversOf([]string{"shard2", "shard3"}, "b1")...)
	c := shardedConfig(1, 4)
	c.Routes[0].Query.MinShare = 0.9
	files := []hostSpec{{"host1", "a1", "a"}, {"host2", "b1", "b"}, {"host3", "c1", "c"}}
	settings := settingsOf(t, files[0])
	inWorld(t, c, servers, files[1:], func(w *world) {
		store := &fakestore.Parted{Store: w.store}
		g := w.startOn(settings, store)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.ask("host1", "/q/x").Outcome, Gathered)
		store.Cut.Store(true)
		for _, h := range files[1:] {
			w.peers.cutOff(w.hosts[h.name])
		}
		for _, s := range []string{"shard2", "shard3"} {
			w.leafs.set(s, silent)
		}
		time.Sleep(2 * time.Second)
		for range 8 {
			w.ask("host1", "/q/x") // It finds out.
		}
		for range 5 {
			before, began := w.leafs.arrivals("shard"), time.Now()
			a := w.ask("host1", "/q/x")
			assert.Assert(t, a.Outcome == NotRun && a.Code == CodeCutOff && a.RetryAfter > 0, "%+v", a)
			assert.Equal(t, time.Since(began), time.Duration(0))
			assert.Equal(t, w.leafs.arrivals("shard"), before)
			assert.Equal(t, w.ask("host1", "/one/x").Outcome, Forwarded, "what stands here is served")
		}
		g.control.Health().Answered(w.hosts["host2"].self.GetAddress())
		assert.Assert(t, w.ask("host1", "/q/x").Code != CodeCutOff)
	})
}

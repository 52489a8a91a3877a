package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many hosts that each ask little cannot know that a server pauses; the host near it does,
// from the call before. The next host is told so at once, and asks another server, long
// before its own patience ends and without a second attempt.
func TestCallToASilentServerIsTurnedElsewhere(t *testing.T) {
	hosts := []hostSpec{{"asker1", "a2", "a"}, {"asker2", "a2", "a"}, {"near", "a1", "a"}, {"far", "b1", "b"}}
	inWorld(t, shardedConfig(1, 4), serversOf(shardNames(4), "a1", "b1"), hosts, func(w *world) {
		for _, h := range hosts { // The hosts learn how long requests take.
			for range 5 {
				w.ask(h.name, "/q/x")
			}
		}
		w.leafs.set("shard1@a1", silent)
		first := w.newRequest("/q/x")
		done := make(chan Answer, 1)
		go func() { done <- w.hosts["asker1"].Serve(w.ctx, first) }()
		time.Sleep(50 * time.Millisecond)
		before := w.leafs.arrivals("shard1@a1")
		began := time.Now()
		a := w.ask("asker2", "/q/x")
		assert.Equal(t, a.Gathered.Missing, 0)
		assert.Assert(t, time.Since(began) < 3*leafTime, "%v", time.Since(began))
		assert.Equal(t, w.leafs.arrivals("shard1@a1"), before, "nothing more waits at the server that pauses")
		<-done

		w.leafs.set("shard1@a1", nil) // It answers again: it is used as before.
		time.Sleep(time.Second)
		before = w.leafs.arrivals("shard1@a1")
		for range 10 {
			assert.Equal(t, w.ask("asker2", "/q/x").Gathered.Missing, 0)
			assert.Equal(t, w.ask("asker1", "/q/x").Gathered.Missing, 0)
		}
		assert.Assert(t, w.leafs.arrivals("shard1@a1") > before)
	})
}

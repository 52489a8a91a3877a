package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// spellWork is the usual work of a request, spellSlow that in a spell of spellFor.
	spellWork = 8 * time.Millisecond
	spellSlow = 45 * time.Millisecond
	spellFor  = 3 * time.Second
	// spellOver is within what time after a spell the servers are used as before it.
	spellOver = 3 * time.Second
)

// All servers of the own region are five times slower for a while, and then as before. What
// was learnt in the spell is forgotten within seconds: queries are whole, and the near servers
// are asked again.
func TestSlowSpellIsForgotten(t *testing.T) {
	c := shardedConfig(1, 4)
	c.Routes[0].Objective = 100 * time.Millisecond
	inWorld(t, c, serversOf(shardNames(4), "a1", "b1", "c1"), everyRegion, func(w *world) {
		all := serversOf(shardNames(4), "a1", "b1", "c1")
		work := func(near time.Duration) {
			for _, s := range all {
				took := spellWork
				if s.Domain == "a1" {
					took = near
				}
				w.leafs.set(s.ID, serve(s.ID, took))
			}
		}
		ask := func(length time.Duration) (lacking int) {
			answers, _ := w.askSpread([]string{"host1", "host2"}, length, 8)
			for _, a := range answers {
				if a.Outcome != Gathered || a.Gathered.Missing > 0 {
					lacking++
				}
			}
			return lacking
		}
		work(spellWork)
		assert.Equal(t, ask(2*time.Second), 0)
		work(spellSlow)
		ask(spellFor)
		work(spellWork)
		ask(spellOver)
		before := w.leafs.arrivals("shard0@a1")
		assert.Equal(t, ask(5*time.Second), 0, "queries lack parts although all servers are fast")
		assert.Assert(t, w.leafs.arrivals("shard0@a1")-before > 20, "the near server got %d of 40 requests", w.leafs.arrivals("shard0@a1")-before)
	})
}

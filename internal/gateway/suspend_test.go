package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/control/fakestore"
)

// The machine of a host is suspended for seconds: its steady clock stands still, so that none of
// its timeouts run. In fake time that is a moment in which the host is cut off while much
// happens elsewhere, and a jump of the clock that counts suspensions.

// sleepThrough suspends a host that uses a store of its own while something happens. Its open
// connections are silent for good; new ones work.
func (w *world) sleepThrough(g *Gateway, store *fakestore.Parted, d time.Duration, happens func()) {
	setCut := func(cut bool) {
		store.Cut.Store(cut)
		for _, h := range w.hosts {
			w.peers.setCut(h, cut)
		}
	}
	setCut(true)
	happens()
	synctest.Wait()
	setCut(false)
	w.suspend(g.name, d)
}

// A host that wakes is not ready, and holds requests back for a moment, until it has heard what
// changed: without that it served by the old configuration for as long as its next watch took.
func TestHostThatWakesLearnsWhatChanged(t *testing.T) {
	for name, hosts := range map[string][]hostSpec{"reads the store": oneHost, "follows a host": {{"first", "a1", "a"}, {"second", "a2", "a"}}} {
		t.Run(name, func(t *testing.T) {
			last := hosts[len(hosts)-1]
			file := settingsOf(t, last)
			inWorld(t, shardedConfig(1, 2), serversOf([]string{"shard0", "shard1", "single"}, "a1"), hosts[:len(hosts)-1], func(w *world) {
				store := &fakestore.Parted{Store: w.store}
				g := w.startOn(file, store)
				time.Sleep(2 * time.Second)
				assert.Assert(w.t, g.Ready())
				w.sleepThrough(g, store, 5*time.Second, func() {
					changed := shardedConfig(2, 2)
					changed.Routes = changed.Routes[1:] // The query is dropped.
					w.store.PutConfig(changed)
				})
				time.Sleep(110 * time.Millisecond)
				assert.Assert(w.t, g.control.View().Table.Version() == 2 || !g.Ready(), "ready with what it knew")
				a := w.ask(last.name, "/q/x")
				assert.Equal(w.t, a.Outcome, NoRoute, "%+v", a)
				time.Sleep(300 * time.Millisecond)
				assert.Assert(w.t, g.Ready())
			})
		})
	}
}

// Where nobody answers a host that wakes, it serves by what it knows after a second.
func TestHostThatWakesAloneIsReadyAgain(t *testing.T) {
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(w *world) {
		w.store.SetDown(true)
		time.Sleep(time.Second)
		w.suspend("host1", 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(w.t, !w.hosts["host1"].Ready())
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(w.t, w.hosts["host1"].Ready())
		assert.Equal(w.t, w.ask("host1", "/q/x").Outcome, Gathered)
	})
}

// A caller that waited for a second is gone when the machine has slept for two: its request ends,
// and nothing is sent for it any more, here and at the relay.
func TestRequestInHandEndsWithASuspension(t *testing.T) {
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1", "b1"), threeRegions[:2], func(w *world) {
		w.leafs.set("shard0", silent)
		w.leafs.set("shard1", silent)
		began := time.Now()
		answers := make(chan Answer, 1)
		go func() { answers <- w.ask("host1", "/q/x") }()
		time.Sleep(100 * time.Millisecond)
		for name := range w.hosts {
			w.suspend(name, 2*time.Second)
		}
		a := <-answers
		assert.Equal(w.t, a.Outcome, TimedOut)
		assert.Assert(w.t, time.Since(began) <= 250*time.Millisecond, "it ended after %v", time.Since(began))
		arrived := w.leafs.arrivals("shard")
		time.Sleep(time.Second)
		assert.Equal(w.t, w.leafs.arrivals("shard"), arrived)
	})
}

// A request that comes to a host that has just woken, and is cut off still, waits for the time
// that a host may take to learn what it needs, no longer.
func TestRequestWaitsAMomentForAHostThatWakes(t *testing.T) {
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(w *world) {
		w.store.SetDown(true)
		w.suspend("host1", 5*time.Second)
		time.Sleep(110 * time.Millisecond)
		began := time.Now()
		assert.Equal(w.t, w.hosts["host1"].Serve(context.Background(), w.newRequest("/q/x")).Outcome, Gathered)
		assert.Assert(w.t, time.Since(began) <= startupWait+2*leafTime, "%v", time.Since(began))
		synctest.Wait()
	})
}

// Nobody answers a host that wakes, and after a second it uses what it knows. The log said "what is
// known is confirmed" then, which nobody had done: the end of that time was written as the word of
// the store. An engineer on call who finds old servers in use there would look elsewhere.
func TestLogDoesNotCallConfirmedWhatNobodyConfirmed(t *testing.T) {
	var log bytes.Buffer
	file := settingsOf(t, oneHost[0])
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), nil, func(w *world) {
		w.log = zerolog.New(zerolog.SyncWriter(&log))
		w.start(file)
		time.Sleep(time.Second)
		w.store.SetDown(true)
		time.Sleep(time.Second)
		w.suspend("host1", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(w.t, w.hosts["host1"].Ready())
	})
	assert.Equal(t, strings.Count(log.String(), "state confirmed after the suspension"), 0)
	assert.Equal(t, strings.Count(log.String(), "state not confirmed in time after the suspension"), 1)
}

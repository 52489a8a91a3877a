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

// While a machine is suspended its monotonic clock stands still, so no timeouts expire. The tests
// simulate this by cutting the host off for an instant of fake time, during which other things
// happen, and advancing the clock that counts suspensions.

// suspendDuring suspends a host with its own connection to the store while event runs. Connections
// that were open stay silent afterwards; new ones work.
func (cl *cluster) suspendDuring(g *Gateway, store *fakestore.Partitioned, d time.Duration, event func()) {
	setCut := func(cut bool) {
		store.Cut.Store(cut)
		for _, h := range cl.hosts {
			cl.peers.setCut(h, cut)
		}
	}
	setCut(true)
	event()
	synctest.Wait()
	setCut(false)
	cl.suspend(g.name, d)
}

// After a suspension a host must not be ready, and must delay requests, until it has current state;
// otherwise it serves by the old configuration until its next watch ends.
func TestHostThatWakesLearnsWhatChanged(t *testing.T) {
	for name, hosts := range map[string][]hostSpec{"reads the store": oneHost, "follows a host": {{"first", "a1", "a"}, {"second", "a2", "a"}}} {
		t.Run(name, func(t *testing.T) {
			last := hosts[len(hosts)-1]
			file := settingsOf(t, last)
			withCluster(t, shardedConfig(1, 2), serversOf([]string{"shard0", "shard1", "single"}, "a1"), hosts[:len(hosts)-1], func(cl *cluster) {
				store := &fakestore.Partitioned{Store: cl.store}
				g := cl.startOn(file, store)
				time.Sleep(2 * time.Second)
				assert.Assert(cl.t, g.Ready())
				cl.suspendDuring(g, store, 5*time.Second, func() {
					changed := shardedConfig(2, 2)
					changed.Routes = changed.Routes[1:] // The query is dropped.
					cl.store.PutConfig(changed)
				})
				time.Sleep(110 * time.Millisecond)
				assert.Assert(cl.t, g.control.View().Table.Version() == 2 || !g.Ready(), "ready with stale state")
				a := cl.ask(last.name, "/q/x")
				assert.Equal(cl.t, a.Outcome, NoRoute, "%+v", a)
				time.Sleep(300 * time.Millisecond)
				assert.Assert(cl.t, g.Ready())
			})
		})
	}
}

// If neither the store nor a peer answers after a suspension, the host must serve with its last
// known state after a second.
func TestHostThatWakesAloneIsReadyAgain(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(cl *cluster) {
		cl.store.SetDown(true)
		time.Sleep(time.Second)
		cl.suspend("host1", 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(cl.t, !cl.hosts["host1"].Ready())
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(cl.t, cl.hosts["host1"].Ready())
		assert.Equal(cl.t, cl.ask("host1", "/q/x").Outcome, Gathered)
	})
}

// A suspension longer than the timeout of a request in flight must end it, and nothing more may be
// sent for it, by this host or by a relay.
func TestRequestInHandEndsWithASuspension(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1", "b1"), threeRegions[:2], func(cl *cluster) {
		cl.backends.set("shard0", silent)
		cl.backends.set("shard1", silent)
		began := time.Now()
		answers := make(chan Answer, 1)
		go func() { answers <- cl.ask("host1", "/q/x") }()
		time.Sleep(100 * time.Millisecond)
		for name := range cl.hosts {
			cl.suspend(name, 2*time.Second)
		}
		a := <-answers
		assert.Equal(cl.t, a.Outcome, TimedOut)
		assert.Assert(cl.t, time.Since(began) <= 250*time.Millisecond, "the request ended after %v", time.Since(began))
		arrived := cl.backends.arrivals("shard")
		time.Sleep(time.Second)
		assert.Equal(cl.t, cl.backends.arrivals("shard"), arrived)
	})
}

// A request that arrives just after a suspension, while the store is unreachable, must not wait
// longer than startupWait.
func TestRequestWaitsAMomentForAHostThatWakes(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(cl *cluster) {
		cl.store.SetDown(true)
		cl.suspend("host1", 5*time.Second)
		time.Sleep(110 * time.Millisecond)
		began := time.Now()
		assert.Equal(cl.t, cl.hosts["host1"].Serve(context.Background(), cl.newRequest("/q/x")).Outcome, Gathered)
		assert.Assert(cl.t, time.Since(began) <= startupWait+2*leafServiceTime, "%v", time.Since(began))
		synctest.Wait()
	})
}

// A host that resumes with its last known state because nobody answered must not log "state
// confirmed after the suspension".
func TestLogDoesNotReportUnconfirmedStateAsConfirmed(t *testing.T) {
	var log bytes.Buffer
	file := settingsOf(t, oneHost[0])
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), nil, func(cl *cluster) {
		cl.log = zerolog.New(zerolog.SyncWriter(&log))
		cl.start(file)
		time.Sleep(time.Second)
		cl.store.SetDown(true)
		time.Sleep(time.Second)
		cl.suspend("host1", 5*time.Second)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(cl.t, cl.hosts["host1"].Ready())
	})
	assert.Equal(t, strings.Count(log.String(), "state confirmed after the suspension"), 0)
	assert.Equal(t, strings.Count(log.String(), "state not confirmed in time after the suspension"), 1)
}

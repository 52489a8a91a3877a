package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
)

// evacuationBound is the time within which all hosts must apply an evacuation.
const evacuationBound = time.Second

// The servers of an evacuated domain must get no new requests from any host, directly or through a
// relay, while requests in flight there finish. The domain is used again once the evacuation ends.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	withHomedCluster(t, homedConfig(1), func(cl *cluster) {
		cl.backends.set("shard0@a1", serve("shard0@a1", 3*time.Second))
		running := make(chan Answer, 1)
		go func() { running <- cl.ask("host1", "/once/x") }()
		cl.askAll(3)
		assert.Assert(t, cl.backends.arrivals("shard1@a1") > 0)
		cl.store.Evacuate("a1", true)
		time.Sleep(evacuationBound)
		before := cl.arrivalsIn("a1")
		outcomes := cl.askAll(5)
		assert.DeepEqual(t, outcomes, map[Outcome]int{Gathered: 20, Forwarded: 40})
		assert.Equal(t, cl.arrivalsIn("a1"), before)
		assert.Equal(t, (<-running).Outcome, Forwarded)
		cl.store.Evacuate("a1", false)
		time.Sleep(evacuationBound)
		cl.askAll(5)
		assert.Assert(t, cl.arrivalsIn("a1") > before)
	})
}

// arrivalsIn returns the number of requests that reached servers of a domain.
func (cl *cluster) arrivalsIn(domain string) int {
	n := 0
	for _, s := range append(shardNames(4), "single") {
		n += cl.backends.arrivals(s + "@" + domain)
	}
	return n
}

// Several domains, all domains and an unknown domain may be evacuated, and an evacuation may be
// canceled and repeated within a second.
func TestEvacuationEdgeCases(t *testing.T) {
	withHomedCluster(t, homedConfig(1), func(cl *cluster) {
		cl.store.Evacuate("nowhere", true)
		cl.store.Evacuate("a1", true)
		cl.store.Evacuate("b1", true)
		time.Sleep(evacuationBound)
		assert.DeepEqual(t, cl.askAll(2), map[Outcome]int{Gathered: 8, Forwarded: 16})
		assert.Equal(t, cl.arrivalsIn("a1")+cl.arrivalsIn("b1"), 0)

		cl.store.Evacuate("c1", true)
		time.Sleep(evacuationBound)
		for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
			began := time.Now()
			a := cl.ask("host4", path)
			assert.Assert(t, a.Outcome == NotRun && a.Cause == CauseEvacuated && a.RetryAfter > 0, "%+v", a)
			assert.Assert(t, strings.Contains(a.Reason, "evacuated") && time.Since(began) == 0, a.Reason)
		}

		cl.store.Evacuate("c1", false)
		time.Sleep(300 * time.Millisecond)
		cl.store.Evacuate("c1", true)
		time.Sleep(evacuationBound)
		before := cl.arrivalsIn("c1")
		cl.askAll(1)
		assert.Equal(t, cl.arrivalsIn("c1"), before)
	})
}

// An evacuation must stay in force through an outage of the store, a compaction and the start of a
// host, and in combination with home regions.
func TestEvacuationOutlivesFaults(t *testing.T) {
	file := settingsOf(t, hostSpec{"late9", "a1", "a"})
	withHomedCluster(t, homedConfig(1, "a", "b"), func(cl *cluster) {
		cl.store.Evacuate("a1", true)
		time.Sleep(evacuationBound)
		cl.store.Compact()
		time.Sleep(2 * time.Second)
		cl.askAll(2)
		cl.store.SetDown(true)
		time.Sleep(2 * time.Second)
		cl.askAll(2)
		cl.start(file)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.ask("late9", "/q/x").Outcome, NotRun, "a host that starts without the store and without seeds has no configuration")
		cl.store.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.ask("late9", "/q/x").Outcome, Gathered)
		assert.Equal(t, cl.arrivalsIn("a1")+cl.arrivalsIn("c1"), 0)
		cl.store.Evacuate("b1", true)
		time.Sleep(evacuationBound)
		assert.Equal(t, cl.ask("host1", "/q/x").Outcome, NotRun, "all home regions are evacuated")
	})
}

// A server that restarts under the same identifier must be treated as a new one: observations of
// the former process are dropped, and a late entry of that process is ignored.
func TestServerUnderItsOldIdentifierStartsAnew(t *testing.T) {
	old := discovery.Server{ID: "s@1", Service: "single", Address: "x", Domain: "a1", Slots: 2, StartedAtMillis: 1000}
	withCluster(t, shardedConfig(1, 1), []discovery.Server{old}, oneHost, func(cl *cluster) {
		cl.backends.set("s@1", silent)
		for range 4 {
			r := cl.newRequest("/once/x")
			go func() { cl.hosts["host1"].Serve(cl.ctx, r) }()
		}
		time.Sleep(100 * time.Millisecond)
		f := cl.hosts["host1"].fleet
		before := f.server("s@1").leaf
		assert.Assert(t, before.Slots.InUse() > 0)
		cl.backends.set("s@1", nil)
		restarted := old
		restarted.StartedAtMillis, restarted.ColdDuration = 2000, time.Second
		cl.store.PutServer(restarted)
		time.Sleep(time.Second)
		after := f.server("s@1").leaf
		assert.Assert(t, after != before && after.Slots.InUse() == 0 && after.Observation(time.Now()).Canceled == 0)
		cl.store.PutServer(old) // A late entry of the former process.
		time.Sleep(time.Second)
		assert.Assert(t, f.server("s@1").leaf == after)
		for i := range 6 {
			assert.Equal(t, cl.ask("host1", fmt.Sprint("/one/", i)).Outcome, Forwarded)
		}
		assert.Equal(t, cl.backends.arrivals("s@1"), 4+6)
	})
}

// A malformed entry must take its server out of use although an older entry was valid. Other
// servers are unaffected, and the next valid entry is used.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	servers := serversOf([]string{"single"}, "a1", "b1")
	withCluster(t, shardedConfig(1, 1), servers, oneHost, func(cl *cluster) {
		cl.store.PutRawServer("single@a1", []byte("\xff\xfe"))
		cl.store.PutRawServer("stranger", []byte("{"))
		time.Sleep(time.Second)
		for range 5 {
			assert.Equal(t, cl.ask("host1", "/one/x").Outcome, Forwarded)
		}
		assert.Equal(t, cl.backends.arrivals("single@a1"), 0)
		cl.store.PutServer(servers[0])
		time.Sleep(time.Second)
		cl.ask("host1", "/one/x")
		assert.Assert(t, cl.backends.arrivals("single@a1") > 0)
	})
}

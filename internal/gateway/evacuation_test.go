package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
)

// evacuationBound is within what time nothing is sent any more.
const evacuationBound = time.Second

// Servers of an evacuated domain get nothing from any host, also where calls are passed on;
// what runs there ends by itself; the other domains take the load, and the domain is used
// again when that is taken back.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	inHomedWorld(t, homedConfig(1), func(w *world) {
		w.leafs.set("shard0@a1", serve("shard0@a1", 3*time.Second))
		running := make(chan Answer, 1)
		go func() { running <- w.ask("host1", "/once/x") }()
		w.askAll(3)
		assert.Assert(t, w.leafs.arrivals("shard1@a1") > 0)
		w.store.Evacuate("a1", true)
		time.Sleep(evacuationBound)
		before := w.arrivalsIn("a1")
		outcomes := w.askAll(5)
		assert.DeepEqual(t, outcomes, map[Outcome]int{Gathered: 20, Forwarded: 40})
		assert.Equal(t, w.arrivalsIn("a1"), before)
		assert.Equal(t, (<-running).Outcome, Forwarded)
		w.store.Evacuate("a1", false)
		time.Sleep(evacuationBound)
		w.askAll(5)
		assert.Assert(t, w.arrivalsIn("a1") > before)
	})
}

// arrivalsIn counts the requests that reached servers of a domain.
func (w *world) arrivalsIn(domain string) int {
	n := 0
	for _, s := range append(shardNames(4), "single") {
		n += w.leafs.arrivals(s + "@" + domain)
	}
	return n
}

// Evacuations that are odd: of two domains, of all that serve, of a name that nobody knows,
// taken back and asked again within a second.
func TestOddEvacuations(t *testing.T) {
	inHomedWorld(t, homedConfig(1), func(w *world) {
		w.store.Evacuate("nowhere", true)
		w.store.Evacuate("a1", true)
		w.store.Evacuate("b1", true)
		time.Sleep(evacuationBound)
		assert.DeepEqual(t, w.askAll(2), map[Outcome]int{Gathered: 8, Forwarded: 16})
		assert.Equal(t, w.arrivalsIn("a1")+w.arrivalsIn("b1"), 0)

		w.store.Evacuate("c1", true)
		time.Sleep(evacuationBound)
		for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
			began := time.Now()
			a := w.ask("host4", path)
			assert.Assert(t, a.Outcome == NotRun && a.Code == CodeEvacuated && a.RetryAfter > 0, "%+v", a)
			assert.Assert(t, strings.Contains(a.Reason, "evacuated") && time.Since(began) == 0, a.Reason)
		}

		w.store.Evacuate("c1", false)
		time.Sleep(300 * time.Millisecond)
		w.store.Evacuate("c1", true)
		time.Sleep(evacuationBound)
		before := w.arrivalsIn("c1")
		w.askAll(1)
		assert.Equal(t, w.arrivalsIn("c1"), before)
	})
}

// An evacuation is kept where the store is away, its history is gone or a host starts, and
// together with homes.
func TestEvacuationOutlivesFaults(t *testing.T) {
	file := settingsOf(t, hostSpec{"late9", "a1", "a"})
	inHomedWorld(t, homedConfig(1, "a", "b"), func(w *world) {
		w.store.Evacuate("a1", true)
		time.Sleep(evacuationBound)
		w.store.Forget()
		time.Sleep(2 * time.Second)
		w.askAll(2)
		w.store.SetDown(true)
		time.Sleep(2 * time.Second)
		w.askAll(2)
		w.start(file)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.ask("late9", "/q/x").Outcome, NotRun, "without a seed it knows nothing")
		w.store.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.ask("late9", "/q/x").Outcome, Gathered)
		assert.Equal(t, w.arrivalsIn("a1")+w.arrivalsIn("c1"), 0)
		w.store.Evacuate("b1", true)
		time.Sleep(evacuationBound)
		assert.Equal(t, w.ask("host1", "/q/x").Outcome, NotRun, "no home is left")
	})
}

// A server that starts again under its identifier is a new one: what was observed of the
// process before is forgotten, and that one's late entry changes nothing.
func TestServerUnderItsOldIdentifierStartsAnew(t *testing.T) {
	old := discovery.Server{ID: "s@1", Service: "single", Address: "x", Domain: "a1", Slots: 2, Born: 1000}
	inWorld(t, shardedConfig(1, 1), []discovery.Server{old}, oneHost, func(w *world) {
		w.leafs.set("s@1", silent)
		for range 4 {
			r := w.newRequest("/once/x")
			go func() { w.hosts["host1"].Serve(w.ctx, r) }()
		}
		time.Sleep(100 * time.Millisecond)
		f := w.hosts["host1"].fleet
		before := f.server("s@1").leaf
		assert.Assert(t, before.Slots.InUse() > 0)
		w.leafs.set("s@1", nil)
		born := old
		born.Born, born.Cold = 2000, time.Second
		w.store.PutServer(born)
		time.Sleep(time.Second)
		after := f.server("s@1").leaf
		assert.Assert(t, after != before && after.Slots.InUse() == 0 && after.Observation(time.Now()).Cuts == 0)
		w.store.PutServer(old) // The late entry of the process before.
		time.Sleep(time.Second)
		assert.Assert(t, f.server("s@1").leaf == after)
		for i := range 6 {
			assert.Equal(t, w.ask("host1", fmt.Sprint("/one/", i)).Outcome, Forwarded)
		}
		assert.Equal(t, w.leafs.arrivals("s@1"), 4+6)
	})
}

// An entry that cannot be read takes its server out of use, also where an older one under
// its key was in use; the others hold, and the next good one counts.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	servers := serversOf([]string{"single"}, "a1", "b1")
	inWorld(t, shardedConfig(1, 1), servers, oneHost, func(w *world) {
		w.store.PutRaw("single@a1", []byte("\xff\xfe"))
		w.store.PutRaw("stranger", []byte("{"))
		time.Sleep(time.Second)
		for range 5 {
			assert.Equal(t, w.ask("host1", "/one/x").Outcome, Forwarded)
		}
		assert.Equal(t, w.leafs.arrivals("single@a1"), 0)
		w.store.PutServer(servers[0])
		time.Sleep(time.Second)
		w.ask("host1", "/one/x")
		assert.Assert(t, w.leafs.arrivals("single@a1") > 0)
	})
}

package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

var everyRegion = []hostSpec{{"host1", "a1", "a"}, {"host2", "a2", "a"}, {"host3", "b1", "b"}, {"host4", "c1", "c"}}

// homedConfig binds all routes to regions.
func homedConfig(version uint64, homes ...string) route.Config {
	c := shardedConfig(version, 4)
	for i := range c.Routes {
		c.Routes[i].Homes = homes
	}
	return c
}

// inHomedWorld has a server of each service in each of three regions.
func inHomedWorld(t *testing.T, c route.Config, run func(w *world)) {
	inWorld(t, c, serversOf(append(shardNames(4), "single"), "a1", "b1", "c1"), everyRegion, run)
}

// askAll asks all routes through all hosts and counts the answers by outcome.
func (w *world) askAll(times int) map[Outcome]int {
	outcomes := map[Outcome]int{}
	for range times {
		for _, h := range everyRegion {
			for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
				outcomes[w.ask(h.name, path).Outcome]++
			}
		}
	}
	return outcomes
}

// assertNothingAt fails where a server of a domain got a request, or a host there was
// passed one.
func (w *world) assertNothingAt(domains ...string) {
	w.t.Helper()
	for _, d := range domains {
		for _, s := range append(shardNames(4), "single") {
			assert.Equal(w.t, w.leafs.arrivals(s+"@"+d), 0, "server of %s in %s", s, d)
		}
		for name, g := range w.hosts {
			if g.self.GetDomain() == d {
				assert.Equal(w.t, w.peers.passedTo(g), 0, "requests passed to %s", name)
			}
		}
	}
}

// With whatever luck and faults a request with homes stays in them: first attempts,
// retries, second attempts for late ones, and the hosts that it goes through.
func TestRequestsStayInTheirHomes(t *testing.T) {
	for name, behave := range map[string]behaviour{
		"calm": nil, "silent": silent, "full": shed, "unreachable": unreachable, "failing": breakOff,
	} {
		t.Run(name, func(t *testing.T) {
			inHomedWorld(t, homedConfig(1, "b"), func(w *world) {
				for i := range 2 {
					w.leafs.set(fmt.Sprintf("shard%d@b1", i), behave)
				}
				outcomes := w.askAll(5)
				assert.Assert(t, outcomes[Gathered] == 20, "%v", outcomes)
				assert.Equal(t, outcomes[Forwarded], 40, "%v", outcomes)
				w.assertNothingAt("a1", "a2", "c1")
			})
		})
	}
}

func TestTwoHomesShareTheRequests(t *testing.T) {
	inHomedWorld(t, homedConfig(1, "b", "c", "nowhere"), func(w *world) {
		w.askAll(10)
		w.assertNothingAt("a1", "a2")
		assert.Assert(t, w.leafs.arrivals("shard0@b1") > 0)
		assert.Assert(t, w.leafs.arrivals("shard0@c1") > 0)
	})
}

// Where no home can serve, the caller hears so at once, with when to come back.
func TestRequestWithoutAHomeIsRefusedAtOnce(t *testing.T) {
	for name, homes := range map[string][]string{"no such region": {"atlantis"}, "home without servers": {"d"}} {
		t.Run(name, func(t *testing.T) {
			inHomedWorld(t, homedConfig(1, homes...), func(w *world) {
				for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
					began := time.Now()
					a := w.ask("host1", path)
					assert.Equal(t, a.Outcome, NotRun)
					assert.Equal(t, a.Code, CodeNoHome)
					assert.Assert(t, a.RetryAfter > 0 && strings.Contains(a.Reason, homes[0]), a.Reason)
					assert.Equal(t, time.Since(began), time.Duration(0))
				}
				w.assertNothingAt("a1", "a2", "b1", "c1")
			})
		})
	}
}

// A query whose homes hold servers of some shards answers with these where the least share
// allows it, and is refused otherwise.
func TestQueryIsAnsweredFromTheShardsThatItsHomesHold(t *testing.T) {
	c := homedConfig(1, "b")
	servers := append(serversOf([]string{"shard0", "shard1"}, "b1"), serversOf([]string{"shard2", "shard3"}, "a1")...)
	inWorld(t, c, servers, everyRegion, func(w *world) {
		a := w.ask("host1", "/q/x")
		assert.Equal(t, a.Outcome, Gathered)
		assert.Equal(t, a.Gathered.Missing, 2)
		w.store.RemoveServer("shard1@b1")
		time.Sleep(time.Second)
		assert.Equal(t, w.ask("host1", "/q/x").Code, CodeNoHome)
		assert.Equal(t, w.leafs.arrivals("shard2")+w.leafs.arrivals("shard3"), 0)
	})
}

func TestHomesChangeWithTheConfiguration(t *testing.T) {
	inHomedWorld(t, homedConfig(1, "b"), func(w *world) {
		w.askAll(1)
		w.store.PutConfig(homedConfig(2, "c"))
		time.Sleep(2 * time.Second)
		before := w.leafs.arrivals("shard0@b1")
		w.askAll(3)
		assert.Equal(t, w.leafs.arrivals("shard0@b1"), before)
		assert.Assert(t, w.leafs.arrivals("shard0@c1") > 0)
		w.store.PutConfig(homedConfig(1, "a"))
		time.Sleep(2 * time.Second)
		w.askAll(3)
		w.assertNothingAt("a1", "a2")
	})
}

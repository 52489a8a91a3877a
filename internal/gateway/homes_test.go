package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

// everyRegion has hosts in each region.
var everyRegion = []hostSpec{{"host1", "a1", "a"}, {"host2", "a2", "a"}, {"host3", "b1", "b"}, {"host4", "c1", "c"}}

// homedConfig returns a configuration whose routes have the given home regions.
func homedConfig(version uint64, homes ...string) route.Config {
	c := shardedConfig(version, 4)
	for i := range c.Routes {
		c.Routes[i].HomeRegions = homes
	}
	return c
}

// withHomedCluster runs a test on a cluster with a server of each service in each of three regions.
func withHomedCluster(t *testing.T, c route.Config, run func(cl *cluster)) {
	withCluster(t, c, serversOf(append(shardNames(4), "single"), "a1", "b1", "c1"), everyRegion, run)
}

// askAll sends requests of all routes to all hosts and counts the answers by outcome.
func (cl *cluster) askAll(times int) map[Outcome]int {
	outcomes := map[Outcome]int{}
	for range times {
		for _, h := range everyRegion {
			for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
				outcomes[cl.ask(h.name, path).Outcome]++
			}
		}
	}
	return outcomes
}

// assertNoTrafficIn checks that no server of the domains got a request and no host there relayed
// one.
func (cl *cluster) assertNoTrafficIn(domains ...string) {
	cl.t.Helper()
	for _, d := range domains {
		for _, s := range append(shardNames(4), "single") {
			assert.Equal(cl.t, cl.backends.arrivals(s+"@"+d), 0, "requests to the server of %s in %s", s, d)
		}
		for name, g := range cl.hosts {
			if g.self.GetDomain() == d {
				assert.Equal(cl.t, cl.peers.relayedTo(g), 0, "requests relayed to %s", name)
			}
		}
	}
}

// A request with home regions must stay in them whatever its servers do: first attempts, retries,
// hedges and relays.
func TestRequestsStayInTheirHomes(t *testing.T) {
	for name, behave := range map[string]behaviour{
		"no fault": nil, "silent": silent, "full": shed, "unreachable": unreachable, "failing": dropConnection,
	} {
		t.Run(name, func(t *testing.T) {
			withHomedCluster(t, homedConfig(1, "b"), func(cl *cluster) {
				for i := range 2 {
					cl.backends.set(fmt.Sprintf("shard%d@b1", i), behave)
				}
				outcomes := cl.askAll(5)
				assert.Assert(t, outcomes[Gathered] == 20, "%v", outcomes)
				assert.Equal(t, outcomes[Forwarded], 40, "%v", outcomes)
				cl.assertNoTrafficIn("a1", "a2", "c1")
			})
		})
	}
}

func TestTwoHomesShareTheRequests(t *testing.T) {
	withHomedCluster(t, homedConfig(1, "b", "c", "nowhere"), func(cl *cluster) {
		cl.askAll(10)
		cl.assertNoTrafficIn("a1", "a2")
		assert.Assert(t, cl.backends.arrivals("shard0@b1") > 0)
		assert.Assert(t, cl.backends.arrivals("shard0@c1") > 0)
	})
}

// If no home region can serve a request, it must be refused at once with a time to retry.
func TestRequestWithoutAHomeIsRefusedAtOnce(t *testing.T) {
	for name, homes := range map[string][]string{"no such region": {"atlantis"}, "home without servers": {"d"}} {
		t.Run(name, func(t *testing.T) {
			withHomedCluster(t, homedConfig(1, homes...), func(cl *cluster) {
				for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
					began := time.Now()
					a := cl.ask("host1", path)
					assert.Equal(t, a.Outcome, NotRun)
					assert.Equal(t, a.Cause, CauseNoHome)
					assert.Assert(t, a.RetryAfter > 0 && strings.Contains(a.Reason, homes[0]), a.Reason)
					assert.Equal(t, time.Since(began), time.Duration(0))
				}
				cl.assertNoTrafficIn("a1", "a2", "b1", "c1")
			})
		})
	}
}

// A query whose home regions hold only some of its shards must be answered from these if the
// minimum share permits it, and be refused otherwise.
func TestQueryIsAnsweredFromTheShardsThatItsHomesHold(t *testing.T) {
	c := homedConfig(1, "b")
	servers := append(serversOf([]string{"shard0", "shard1"}, "b1"), serversOf([]string{"shard2", "shard3"}, "a1")...)
	withCluster(t, c, servers, everyRegion, func(cl *cluster) {
		a := cl.ask("host1", "/q/x")
		assert.Equal(t, a.Outcome, Gathered)
		assert.Equal(t, a.Gathered.Missing, 2)
		cl.store.RemoveServer("shard1@b1")
		time.Sleep(time.Second)
		assert.Equal(t, cl.ask("host1", "/q/x").Cause, CauseNoHome)
		assert.Equal(t, cl.backends.arrivals("shard2")+cl.backends.arrivals("shard3"), 0)
	})
}

func TestHomesChangeWithTheConfiguration(t *testing.T) {
	withHomedCluster(t, homedConfig(1, "b"), func(cl *cluster) {
		cl.askAll(1)
		cl.store.PutConfig(homedConfig(2, "c"))
		time.Sleep(2 * time.Second)
		before := cl.backends.arrivals("shard0@b1")
		cl.askAll(3)
		assert.Equal(t, cl.backends.arrivals("shard0@b1"), before)
		assert.Assert(t, cl.backends.arrivals("shard0@c1") > 0)
		cl.store.PutConfig(homedConfig(1, "a"))
		time.Sleep(2 * time.Second)
		cl.askAll(3)
		cl.assertNoTrafficIn("a1", "a2")
	})
}

package control_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
)

const (
	// leaveBound is the shortest time for which the operators keep a server running after the store
	// has acknowledged that it leaves.
	leaveBound = 3 * time.Second
	// leavingServers is the number of servers that leave one after the other in each test.
	leavingServers = 6
)

func serverID(i int) string { return fmt.Sprint("server", i) }

func putServers(c *cluster) {
	for i := range leavingServers {
		c.store.PutServer(discovery.Server{ID: serverID(i), Service: "s", Address: "10.0.0.1:80", Domain: "a1", Slots: 1})
	}
}

// users returns the names of the hosts that still send requests to a server.
func (c *cluster) users(id string) (names []string) {
	for name, m := range c.hosts {
		if m.servers.uses(id) {
			names = append(names, name)
		}
	}
	return names
}

// leave makes a server leave, with or without registering as draining before, and checks that no host
// uses it after leaveBound.
func (c *cluster) leave(id string, announced bool) {
	c.t.Helper()
	if announced {
		c.store.PutServer(discovery.Server{ID: id, Service: "s", Address: "10.0.0.1:80", Domain: "a1", Slots: 1, Draining: true})
	} else {
		c.store.RemoveServer(id)
	}
	time.Sleep(leaveBound)
	users := c.users(id)
	assert.Assert(c.t, len(users) == 0, "%s (announced: %v) is used by %d hosts, such as %v", id, announced, len(users), users[:min(len(users), 3)])
}

// leaveInSeries makes all servers leave, every other one without an announcement.
func (c *cluster) leaveInSeries() {
	for i := range leavingServers {
		c.leave(serverID(i), i%2 == 1)
	}
}

// highestRanked returns the n hosts of a region that rank first, of which the first reads the store for it.
func highestRanked(region string, n int) (names []string) {
	for i := range n {
		names = append(names, hostName(region, i))
	}
	return names
}

// Guards against requests to servers that have left, by hosts that take the loss of contact with the store
// of some hosts for an outage.
func TestServerLeavesWhileTheStoreTurnsHostsAway(t *testing.T) {
	const n = 24
	for name, away := range map[string][]string{
		"the leader of a region":                  highestRanked("a", 1),
		"the leaders of all regions":              {"a000", "b000", "c000"},
		"the highest-ranked hosts of a region":    highestRanked("a", 4),
		"the highest-ranked hosts of two regions": append(highestRanked("a", 4), highestRanked("b", 4)...),
		"half of the hosts of each region":        append(append(highestRanked("a", n/2), highestRanked("b", n/2)...), highestRanked("c", n/2)...),
		"a region":                                highestRanked("a", n),
	} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				withCluster(t, n, func(c *cluster) {
					putServers(c)
					time.Sleep(5 * time.Second)
					for _, host := range away {
						c.hosts[host].store.TurnAway(silent)
					}
					c.leaveInSeries()
				})
			})
		}
	}
}

// Guards against hosts that wait for one silent peer after the other, as in a network cut, before they hear
// of a change from one that reaches the store.
func TestServerLeavesWhilePeersAreSilent(t *testing.T) {
	for range 5 {
		withCluster(t, 24, func(c *cluster) {
			putServers(c)
			time.Sleep(5 * time.Second)
			for _, host := range slices.Concat(highestRanked("a", 4)[1:], highestRanked("b", 4), highestRanked("c", 2)) {
				c.hosts[host].silent.Store(true)
			}
			for i := range 24 {
				c.hosts[hostName("a", i)].store.TurnAway(true)
			}
			c.leaveInSeries()
		})
	}
}

// Guards against hosts that stay with a leader which the store turns away, although other hosts of their
// region read it: their requests count as served without the store, and they call hosts of other regions.
func TestHostsLeaveALeaderThatTheStoreTurnsAway(t *testing.T) {
	for _, away := range []int{1, 2} {
		withCluster(t, 24, func(c *cluster) {
			time.Sleep(5 * time.Second)
			for _, host := range highestRanked("a", away) {
				c.hosts[host].store.TurnAway(true)
			}
			time.Sleep(2 * leaveBound)
			for name, m := range c.hosts {
				turnedAway := slices.Contains(highestRanked("a", away), name)
				assert.Equal(t, !m.View().StoreLost.IsZero(), turnedAway, "%s", name)
			}
		})
	}
}

// Guards against a host that starts to wait for servers to register again with every failed call of the
// store, and never stops.
func TestServerLeavesWhileALeaderLosesTheStoreRepeatedly(t *testing.T) {
	withCluster(t, 24, func(c *cluster) {
		putServers(c)
		time.Sleep(5 * time.Second)
		flapping := c.hosts["a000"].store
		ctx, stop := context.WithCancel(c.ctx)
		var flaps sync.WaitGroup
		flaps.Go(func() {
			for ctx.Err() == nil {
				flapping.TurnAway(false)
				time.Sleep(300 * time.Millisecond)
				flapping.Admit()
				time.Sleep(1700 * time.Millisecond)
			}
		})
		defer flaps.Wait()
		defer stop()
		c.leaveInSeries()
	})
}

// Guards against a service without servers after an outage of the store, in which registrations lapse
// although the servers are alive.
func TestLapsedServersAreUsedUntilTheyRegisterAgain(t *testing.T) {
	withCluster(t, 24, func(c *cluster) {
		putServers(c)
		time.Sleep(5 * time.Second)
		c.store.SetDown(true)
		time.Sleep(8 * time.Second)
		for i := range leavingServers {
			c.store.RemoveServer(serverID(i))
		}
		c.store.SetDown(false)
		returned := time.Now()
		gone := serverID(0)
		for i := 1; i < leavingServers; i++ {
			time.Sleep(300 * time.Millisecond)
			for j := i; j < leavingServers; j++ {
				assert.Equal(t, len(c.users(serverID(j))), len(c.hosts), "%s is not used %v after the return of the store", serverID(j), time.Since(returned))
			}
			c.store.PutServer(discovery.Server{ID: serverID(i), Service: "s", Address: "10.0.0.1:80", Domain: "a1", Slots: 1})
		}
		time.Sleep(discovery.ReregistrationGrace + leaveBound - time.Since(returned))
		assert.Equal(t, len(c.users(gone)), 0, "a server that did not register again")
		for i := 1; i < leavingServers; i++ {
			assert.Equal(t, len(c.users(serverID(i))), len(c.hosts), "a server that registered again")
		}
	})
}

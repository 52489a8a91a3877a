package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Checks that leases are shared: the number of writes and renewals depends on the number of
// regions and not on the number of hosts.
func TestWritesDoNotGrowWithTheHosts(t *testing.T) {
	const n = 60
	withCluster(t, n, func(c *cluster) {
		assert.Equal(t, c.knownHosts("b030"), 3*n)
		started := c.store.Writes.Load()
		assert.Assert(t, started < 3*n, "%d writes for %d hosts to start", started, 3*n)

		time.Sleep(2 * lease) // Leases of followers expire.
		assert.Equal(t, c.knownHosts("b030"), 3*n)
		baseline, renewed := c.store.Writes.Load(), c.store.Renewals.Load()
		time.Sleep(2 * lease)
		assert.Assert(t, c.store.Writes.Load() == baseline, "no writes expected without changes")
		renewals := c.store.Renewals.Load() - renewed
		const maxAnnouncers = 3 * 3 // At most the strong hosts of each region.
		assert.Assert(t, renewals <= maxAnnouncers*(2*3+1), "%d renewals in two leases", renewals)

		c.store.EndLeases()
		took := c.await(10*time.Second, "all are announced again", func() bool {
			return c.knownHosts("a059") == 3*n && c.knownHosts("c059") == 3*n && c.store.Writes.Load() > baseline
		})
		rewrites := c.store.Writes.Load() - baseline
		assert.Assert(t, rewrites <= 3*3*(1+2)+3*n/30, "%d writes to announce %d hosts again", rewrites, 3*n)
		assert.Assert(t, took < lease/3+time.Second, "after %v: the lost lease must be noticed at the next renewal", took)
	})
}

// Checks that entries of followers stay when their leader is lost and its lease expires,
// while the leader's own entry is left to expire.
func TestEntriesOutliveTheHostThatKeepsThem(t *testing.T) {
	withCluster(t, 20, func(c *cluster) {
		c.kill("a000")
		end := time.Now().Add(3 * lease)
		for time.Now().Before(end) {
			assert.Assert(t, c.knownHosts("b010") >= 59, "%d hosts are known", c.knownHosts("b010"))
			time.Sleep(50 * time.Millisecond)
		}
		// Leases do not expire in the fake store. The real one would remove the only
		// entry left under the lease of a000, its own.
		assert.Assert(t, c.store.EntriesSharingLease("a000") == 1, "%d entries under the lease of the lost host", c.store.EntriesSharingLease("a000"))
	})
}

// Checks that a host's entry is removed soon after a graceful shutdown begins, both for a
// follower and for a leader.
func TestPlannedStopRemovesTheEntry(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		for _, name := range []string{"a007", "a000"} { // A follower and a leader.
			before := c.knownHosts("b003")
			c.hosts[name].BeginStop(c.ctx)
			took := c.await(time.Second, name+" is removed", func() bool { return c.knownHosts("b003") == before-1 })
			assert.Assert(t, took < 800*time.Millisecond, "%s: %v", name, took)
		}
	})
}

// Checks that the entry of a lost follower is removed, but not as soon as its stream breaks.
func TestEntryOfALostFollowerGoes(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		c.kill("a007")
		took := c.await(5*time.Second, "a007 is removed", func() bool { return c.knownHosts("b003") == 23 })
		assert.Assert(t, took > time.Second, "its entry was removed after %v: too soon after its stream broke", took)
		c.start("a007")
		c.await(2*time.Second, "a007 is back", func() bool { return c.knownHosts("b003") == 24 })
	})
}

package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// rollOut writes a configuration and returns the time until it is in effect on all hosts.
func (c *cluster) rollOut(version uint64, timeout time.Duration) time.Duration {
	c.t.Helper()
	c.store.PutConfig(testConfig(version))
	return c.await(timeout, "the configuration is in effect", func() bool {
		for _, m := range c.hosts {
			if table := m.View().Table; table == nil || table.Version() < version {
				return false
			}
		}
		return true
	})
}

// Checks that only a few hosts of each region probe a store that is down, and that its return
// does not cause calls by all hosts.
func TestCallsInAnOutageDoNotGrowWithTheHosts(t *testing.T) {
	calls := map[int]int64{}
	for _, n := range []int{10, 60} {
		withCluster(t, n, func(c *cluster) {
			time.Sleep(2 * lease)
			before := c.store.Calls.Load() + c.store.Writes.Load()
			c.store.SetDown(true)
			time.Sleep(6 * time.Second)
			c.store.SetDown(false)
			c.store.EndLeases()
			c.await(5*time.Second, "all are announced again", func() bool { return c.knownHosts("a009") == 3*n && c.knownHosts("c009") == 3*n })
			calls[n] = c.store.Calls.Load() + c.store.Writes.Load() - before
			assert.Assert(t, c.rollOut(2, 3*time.Second) < time.Second)
		})
	}
	assert.Assert(t, calls[60] < 2*calls[10], "calls by hosts of a region: %v", calls)
	assert.Assert(t, calls[60] < 250, "calls by hosts of a region: %v", calls)
}

// Checks that hosts that start while the store is down learn the state from peers and make
// few store calls.
func TestRestartsInAnOutage(t *testing.T) {
	const n = 40
	withCluster(t, n, func(c *cluster) {
		time.Sleep(2 * lease)
		c.store.SetDown(true)
		time.Sleep(time.Second)
		before := c.store.Calls.Load() + c.store.Writes.Load()
		for _, region := range regions {
			for i := 1; i < n; i += 2 {
				c.kill(hostName(region, i))
				c.start(hostName(region, i))
			}
		}
		took := c.await(2*time.Second, "all know the configuration", func() bool {
			for _, m := range c.hosts {
				if !m.View().Initialized {
					return false
				}
			}
			return true
		})
		assert.Assert(t, took < time.Second, "after %v", took)
		time.Sleep(5 * time.Second)
		calls := c.store.Calls.Load() + c.store.Writes.Load() - before
		assert.Assert(t, calls < 5*3*n/2, "%d calls, %d hosts started", calls, 3*n/2)
		c.store.SetDown(false)
		assert.Assert(t, c.rollOut(2, 4*time.Second) < 3*time.Second)
	})
}

// Checks that configuration changes reach all hosts in time while the store rejects the
// leader of a region, or the highest-ranked hosts of all regions but one.
func TestStoreThatRefusesTheFirstHosts(t *testing.T) {
	for name, cut := range map[string][]string{
		"the leader":                               {"a000"},
		"the highest-ranked hosts of a region":     {"a000", "a001", "a002", "a003"},
		"the highest-ranked hosts of two regions":  {"a000", "a001", "a002", "a003", "b000", "b001", "b002", "b003"},
		"the highest-ranked hosts and many others": {"a000", "a001", "a002", "a003", "a004", "a005", "a006", "a007", "a009", "a011", "a015"},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 20, func(c *cluster) {
				for _, host := range cut {
					c.hosts[host].store.Cut.Store(true)
				}
				for version := uint64(2); version < 8; version++ {
					assert.Assert(t, c.rollOut(version, 6*time.Second) < 3*time.Second)
					time.Sleep(1300 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a race between the cancellation of a State call and the goroutine that fills
// in its reply.
func TestCanceledStateCallHasNoReply(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		ctx, cancel := context.WithCancel(c.ctx)
		cancel()
		for range 100 {
			reply, err := c.hosts["a000"].State(ctx, &relaypb.StateRequest{})
			assert.ErrorIs(t, err, context.Canceled)
			assert.Assert(t, reply == nil)
		}
	})
}

package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// inForce changes the configuration and returns after what time all hosts have it.
func (w *world) inForce(version uint64, most time.Duration) time.Duration {
	w.t.Helper()
	w.store.PutConfig(configOf(version))
	return w.await(most, "the configuration is in force", func() bool {
		for _, m := range w.hosts {
			if table := m.View().Table; table == nil || table.Version() < version {
				return false
			}
		}
		return true
	})
}

// While the store was away every host asked it, ten times in six seconds, and once
// more on its return.
func TestCallsInAnOutageDoNotGrowWithTheHosts(t *testing.T) {
	calls := map[int]int64{}
	for _, n := range []int{10, 60} {
		inWorld(t, n, func(w *world) {
			time.Sleep(2 * lease)
			before := w.store.Calls.Load() + w.store.Writes.Load()
			w.store.SetDown(true)
			time.Sleep(6 * time.Second)
			w.store.SetDown(false)
			w.store.EndLeases()
			w.await(5*time.Second, "all are announced again", func() bool { return w.announced("a009") == 3*n && w.announced("c009") == 3*n })
			calls[n] = w.store.Calls.Load() + w.store.Writes.Load() - before
			assert.Assert(t, w.inForce(2, 3*time.Second) < time.Second)
		})
	}
	assert.Assert(t, calls[60] < 2*calls[10], "calls by hosts of a region: %v", calls)
	assert.Assert(t, calls[60] < 250, "calls by hosts of a region: %v", calls)
}

// Hosts that start while the store is away learn from peers, and ask it few times.
func TestRestartsInAnOutage(t *testing.T) {
	const n = 40
	inWorld(t, n, func(w *world) {
		time.Sleep(2 * lease)
		w.store.SetDown(true)
		time.Sleep(time.Second)
		before := w.store.Calls.Load() + w.store.Writes.Load()
		for _, region := range regions {
			for i := 1; i < n; i += 2 {
				w.kill(nameOf(region, i))
				w.start(nameOf(region, i))
			}
		}
		took := w.await(2*time.Second, "all know the configuration", func() bool {
			for _, m := range w.hosts {
				if !m.View().Known {
					return false
				}
			}
			return true
		})
		assert.Assert(t, took < time.Second, "after %v", took)
		time.Sleep(5 * time.Second)
		calls := w.store.Calls.Load() + w.store.Writes.Load() - before
		assert.Assert(t, calls < 5*3*n/2, "%d calls, %d hosts started", calls, 3*n/2)
		w.store.SetDown(false)
		assert.Assert(t, w.inForce(2, 4*time.Second) < 3*time.Second)
	})
}

// The store turns the host away that a region follows, or the first hosts of all
// regions but one: what changes still comes to all in the time that the users allow.
func TestStoreThatRefusesTheFirstHosts(t *testing.T) {
	for name, cut := range map[string][]string{
		"the one that is followed":  {"a000"},
		"the first of a region":     {"a000", "a001", "a002", "a003"},
		"the first of two regions":  {"a000", "a001", "a002", "a003", "b000", "b001", "b002", "b003"},
		"the first and many others": {"a000", "a001", "a002", "a003", "a004", "a005", "a006", "a007", "a009", "a011", "a015"},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 20, func(w *world) {
				for _, host := range cut {
					w.hosts[host].store.Cut.Store(true)
				}
				for version := uint64(2); version < 8; version++ {
					assert.Assert(t, w.inForce(version, 6*time.Second) < 3*time.Second)
					time.Sleep(1300 * time.Millisecond)
				}
			})
		})
	}
}

// A peer that gave its question up while the control goroutine was busy once raced with
// the answer.
func TestQuestionThatWasGivenUpHasNoAnswer(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		ctx, cancel := context.WithCancel(w.ctx)
		cancel()
		for range 100 {
			reply, err := w.hosts["a000"].State(ctx, &relaypb.StateRequest{})
			assert.ErrorIs(t, err, context.Canceled)
			assert.Assert(t, reply == nil)
		}
	})
}

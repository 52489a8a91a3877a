package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Checks that a single record is written at once, that many are batched into few writes, that
// records beyond the limit are dropped, and that a record removed while queued is not
// written.
func TestRecordsAreWrittenInBatches(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		m := c.hosts["a000"]
		before := c.store.Writes.Load()
		m.PutRecord("first", []byte("x"))
		time.Sleep(10 * time.Millisecond)
		assert.DeepEqual(c.t, c.store.Names(relaypb.EntryKind_QUARANTINE), []string{"first"})
		for i := range 1000 {
			m.PutRecord(fmt.Sprint("r", i), []byte("x"))
		}
		m.RemoveRecords([]string{"first", "r1"})
		time.Sleep(5 * time.Second)
		assert.Equal(c.t, len(c.store.Names(relaypb.EntryKind_QUARANTINE)), 256-1)
		writes := c.store.Writes.Load() - before
		assert.Assert(c.t, writes <= 12, "%d writes", writes)
	})
}

// Checks that records are queued and claims are refused while the store is down.
func TestRecordsAreQueuedWhileTheStoreIsDown(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		m := c.hosts["a000"]
		c.store.SetDown(true)
		m.PutRecord("kept", []byte("x"))
		m.PutRecord("gone", []byte("x"))
		time.Sleep(2 * time.Second)
		assert.Assert(c.t, !m.Claim(c.t.Context(), "trial"))
		m.RemoveRecords([]string{"gone"})
		c.store.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(c.t, c.store.Names(relaypb.EntryKind_QUARANTINE), []string{"kept"})
		assert.Assert(c.t, m.Claim(c.t.Context(), "trial"))
		assert.Assert(c.t, !m.Claim(c.t.Context(), "trial"), "claimed twice")
	})
}

package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// One record is written at once; many, as after a power loss, take few calls of the store, and
// what is beyond the bound is left out. What was removed meanwhile is not written.
func TestRecordsTakeFewCallsOfTheStore(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		m := w.hosts["a000"]
		before := w.store.Writes.Load()
		m.PutRecord("first", []byte("x"))
		time.Sleep(10 * time.Millisecond)
		assert.DeepEqual(w.t, w.store.Names(relaypb.EntryKind_QUARANTINE), []string{"first"})
		for i := range 1000 {
			m.PutRecord(fmt.Sprint("r", i), []byte("x"))
		}
		m.RemoveRecords([]string{"first", "r1"})
		time.Sleep(5 * time.Second)
		assert.Equal(w.t, len(w.store.Names(relaypb.EntryKind_QUARANTINE)), 256-1)
		writes := w.store.Writes.Load() - before
		assert.Assert(w.t, writes <= 12, "%d writes", writes)
	})
}

// While the store is away records wait, and a claim is not granted.
func TestRecordsWaitForTheStore(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		m := w.hosts["a000"]
		w.store.SetDown(true)
		m.PutRecord("kept", []byte("x"))
		m.PutRecord("gone", []byte("x"))
		time.Sleep(2 * time.Second)
		assert.Assert(w.t, !m.Claim(w.t.Context(), "trial"))
		m.RemoveRecords([]string{"gone"})
		w.store.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(w.t, w.store.Names(relaypb.EntryKind_QUARANTINE), []string{"kept"})
		assert.Assert(w.t, m.Claim(w.t.Context(), "trial"))
		assert.Assert(w.t, !m.Claim(w.t.Context(), "trial"), "claimed twice")
	})
}

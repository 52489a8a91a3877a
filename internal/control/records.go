package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// recordInterval times the number of hosts is the minimum time between two writes of one
	// host, so that all hosts together make at most 100 writes a second, a quarter of what the
	// store accepts, even if a power loss makes many requests suspect. minRecordInterval is
	// the lower bound of that time. The first write is immediate, so that a request that
	// crashes servers is known everywhere within a second.
	recordInterval    = 10 * time.Millisecond
	minRecordInterval = 100 * time.Millisecond
	// maxPendingRecords limits the records queued while the store is unreachable. Records
	// beyond it are dropped and counted.
	maxPendingRecords = 256
	// claimTimeout bounds Claim, which delays a request.
	claimTimeout = 150 * time.Millisecond
)

// recordsDropped counts records dropped because too many were queued.
var recordsDropped = metrics.GetOrCreateCounter("mallowgap_quarantine_records_left_out_total")

// recorder queues quarantine records of requests that crash servers and writes them in
// batches. Other hosts receive them through the store, like server entries. The entries have
// no lease, because a host that sees a server crash may itself stop at any time.
type recorder struct {
	// write writes and removes records; failed batches are retried.
	write func(ctx context.Context, puts map[string][]byte, remove []string) error
	log   zerolog.Logger
	hosts func() int
	wake  chan struct{}

	mu      sync.Mutex
	puts    map[string][]byte
	removes map[string]bool
}

// newRecorder returns a recorder that writes with write; hosts returns the number of hosts.
func newRecorder(write func(ctx context.Context, puts map[string][]byte, remove []string) error, log zerolog.Logger, hosts func() int) *recorder {
	return &recorder{write: write, log: log, hosts: hosts, wake: make(chan struct{}, 1), puts: map[string][]byte{}, removes: map[string]bool{}}
}

// put queues a record to be written, or drops it if the queue is full.
func (r *recorder) put(name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, queued := r.puts[name]; !queued && len(r.puts) >= maxPendingRecords {
		recordsDropped.Inc()
		return
	}
	r.puts[name] = value
	delete(r.removes, name)
	notify(r.wake)
}

// remove queues the removal of records.
func (r *recorder) remove(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		delete(r.puts, name)
		r.removes[name] = true
	}
	notify(r.wake)
}

// run writes queued records until ctx is done.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		puts, remove, more := r.nextBatch()
		if err := r.write(ctx, puts, remove); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Int("records", len(puts)).Int("removed", len(remove)).Msg("failed to write quarantine records: will retry")
			r.requeue(puts, remove)
			pause.Sleep(ctx, maxRetryDelay)
			continue
		}
		if more {
			notify(r.wake)
		}
		pause.Sleep(ctx, max(minRecordInterval, recordInterval*time.Duration(r.hosts())))
	}
}

// nextBatch takes as many records from the queue as the store accepts in one call.
func (r *recorder) nextBatch() (puts map[string][]byte, remove []string, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	puts = takeUpTo(r.puts, MaxWrites)
	remove = slices.Collect(maps.Keys(takeUpTo(r.removes, MaxWrites-len(puts))))
	return puts, remove, len(r.puts)+len(r.removes) > 0
}

// writeRecords writes quarantine records to the store.
func (c *Control) writeRecords(ctx context.Context, puts map[string][]byte, remove []string) error {
	if len(puts)+len(remove) == 0 {
		return nil
	}
	revision, err := c.store.Write(ctx, relaypb.EntryKind_QUARANTINE, 0, puts, remove)
	if err == nil {
		c.log.Info().Int("records", len(puts)).Int("removed", len(remove)).Uint64("revision", revision).Msg("quarantine records written")
	}
	return err
}

// requeue puts back records that could not be written, unless newer ones are queued.
func (r *recorder) requeue(puts map[string][]byte, remove []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, value := range puts {
		if _, newer := r.puts[name]; !newer && !r.removes[name] {
			r.puts[name] = value
		}
	}
	for _, name := range remove {
		if _, newer := r.puts[name]; !newer {
			r.removes[name] = true
		}
	}
	notify(r.wake)
}

// PutRecord queues a quarantine record to be written to the store, and to be sent to relays
// while the store is unreachable. It does not block.
func (c *Control) PutRecord(name string, value []byte) {
	c.records.put(name, value)
	if c.storeLost() {
		c.relayRecords.put(name, value)
	}
}

// RemoveRecords queues the removal of quarantine records. It does not block.
func (c *Control) RemoveRecords(names []string) {
	c.records.remove(names)
	if c.storeLost() {
		c.relayRecords.remove(names)
	}
}

func (c *Control) storeLost() bool { return !c.View().StoreLost.IsZero() }

// Claim creates a named entry in the store, and reports whether this host is the one that
// created it and thus may run the trial it stands for. It takes at most claimTimeout.
func (c *Control) Claim(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	created, err := c.store.Create(ctx, relaypb.EntryKind_QUARANTINE, name)
	c.log.Info().Str("claim", name).Bool("granted", created).AnErr("error", err).Msg("claim of a quarantine trial")
	return err == nil && created
}

// ReadsStoreDirectly reports whether this host has no leader and reads the store itself. Few hosts
// do.
func (c *Control) ReadsStoreDirectly() bool { return !c.announcer.delegated.Load() }

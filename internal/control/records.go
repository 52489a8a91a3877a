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
	// recordGap is the least time between two writes of one host for each host that there
	// is, and leastRecordGap the least of all. The first write goes out at once, so that one
	// request under which servers end is known everywhere within a second; where a power loss
	// makes many requests suspect, 4,300 hosts make 100 writes a second together, a quarter of
	// what the store takes.
	recordGap      = 10 * time.Millisecond
	leastRecordGap = 100 * time.Millisecond
	// maxRecords bounds the records that wait to be written: those of an outage of the store.
	// Any further one is left out, and counted.
	maxRecords = 256
	// claimTimeout bounds the claim of a trial, for which a request waits.
	claimTimeout = 150 * time.Millisecond
)

// recordsLeftOut counts records that were not written because too many waited.
var recordsLeftOut = metrics.GetOrCreateCounter("mallowgap_quarantine_records_left_out_total")

// recorder writes what this host saw of requests under which servers ended to the store, from
// which all other hosts learn it as they learn of servers. Entries stand without a lease: a
// host that sees servers end may be gone a moment later.
type recorder struct {
	// write hands on what is to be kept and what removed; after an error it is tried again.
	write func(ctx context.Context, puts map[string][]byte, remove []string) error
	log   zerolog.Logger
	hosts func() int
	wake  chan struct{}

	mu      sync.Mutex
	puts    map[string][]byte
	removes map[string]bool
}

func newRecorder(write func(ctx context.Context, puts map[string][]byte, remove []string) error, log zerolog.Logger, hosts func() int) *recorder {
	return &recorder{write: write, log: log, hosts: hosts, wake: make(chan struct{}, 1), puts: map[string][]byte{}, removes: map[string]bool{}}
}

func (r *recorder) put(name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waits := r.puts[name]; !waits && len(r.puts) >= maxRecords {
		recordsLeftOut.Inc()
		return
	}
	r.puts[name] = value
	delete(r.removes, name)
	nudge(r.wake)
}

func (r *recorder) remove(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		delete(r.puts, name)
		r.removes[name] = true
	}
	nudge(r.wake)
}

// run writes what waits until ctx ends.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		puts, remove, more := r.next()
		if err := r.write(ctx, puts, remove); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Int("records", len(puts)).Int("removed", len(remove)).Msg("records of requests in quarantine could not be written; it will be tried again")
			r.again(puts, remove)
			pause.For(ctx, retryLongest)
			continue
		}
		if more {
			nudge(r.wake)
		}
		pause.For(ctx, max(leastRecordGap, recordGap*time.Duration(r.hosts())))
	}
}

// next takes as much as the store takes in one call.
func (r *recorder) next() (puts map[string][]byte, remove []string, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	puts = takeSome(r.puts, MaxWrites)
	remove = slices.Collect(maps.Keys(takeSome(r.removes, MaxWrites-len(puts))))
	return puts, remove, len(r.puts)+len(r.removes) > 0
}

// writeRecords writes records to the store.
func (c *Control) writeRecords(ctx context.Context, puts map[string][]byte, remove []string) error {
	if len(puts)+len(remove) == 0 {
		return nil
	}
	revision, err := c.store.Write(ctx, relaypb.EntryKind_QUARANTINE, 0, puts, remove)
	if err == nil {
		c.log.Info().Int("records", len(puts)).Int("removed", len(remove)).Uint64("revision", revision).Msg("records of requests in quarantine written")
	}
	return err
}

// again puts back what could not be written, unless there is something newer.
func (r *recorder) again(puts map[string][]byte, remove []string) {
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
	nudge(r.wake)
}

// PutRecord lets the store keep what this host saw of a request under which servers ended.
// It does not block.
func (c *Control) PutRecord(name string, value []byte) {
	c.records.put(name, value)
	if c.storeAway() {
		c.word.put(name, value)
	}
}

// RemoveRecords lets the store forget such records. It does not block.
func (c *Control) RemoveRecords(names []string) {
	c.records.remove(names)
	if c.storeAway() {
		c.word.remove(names)
	}
}

func (c *Control) storeAway() bool { return !c.View().StoreLost.IsZero() }

// Claim reports whether this host is the only one that may do what the name stands for. It
// takes claimTimeout at the most.
func (c *Control) Claim(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	created, err := c.store.Create(ctx, relaypb.EntryKind_QUARANTINE, name)
	c.log.Info().Str("claim", name).Bool("granted", created).AnErr("error", err).Msg("trial of a request in quarantine claimed")
	return err == nil && created
}

// ReadsStore reports whether this host reads the store itself: it follows no other. Few
// hosts do.
func (c *Control) ReadsStore() bool { return !c.announce.followed.Load() }

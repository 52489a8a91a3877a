// Package fakestore provides an in-memory store for tests. It can be down, unreachable from
// single hosts, and lose its history.
package fakestore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/route"
)

// entryKey identifies an entry.
type entryKey struct {
	kind relaypb.EntryKind
	name string
}

// Store is an in-memory control.Store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// entries holds the current entries, events all changes in order. changed is closed and
	// replaced on each change.
	entries map[entryKey]control.Entry
	events  []control.Entry
	changed chan struct{}
	down    bool
	// compacted is the revision up to which the history is lost.
	compacted uint64
	leases    map[uint64]bool
	lastLease uint64
	// leaseOf is the lease of each host entry.
	leaseOf map[string]uint64
	// Calls counts reads and watches.
	Calls atomic.Int64
	// Writes counts writes and created leases and entries, Renewals the renewals of leases.
	Writes, Renewals atomic.Int64
}

// Timeout is the timeout of a store call in tests.
const Timeout = 600 * time.Millisecond

// Partitioned connects one host to the store. While it is cut, reads, watches, creates and writes
// of quarantine records hang until they time out; while it is refused, reads and watches fail at once.
type Partitioned struct {
	*Store
	Cut     atomic.Bool
	refused atomic.Bool
}

// TurnAway makes the store reject the calls of this host, without an answer if silent.
func (s *Partitioned) TurnAway(silent bool) {
	s.Cut.Store(silent)
	s.refused.Store(!silent)
}

// Admit ends TurnAway.
func (s *Partitioned) Admit() {
	s.Cut.Store(false)
	s.refused.Store(false)
}

// Read implements control.Store.
func (s *Partitioned) Read(ctx context.Context) (control.Batch, error) {
	if s.refused.Load() {
		return control.Batch{}, ErrDown
	}
	if s.Cut.Load() {
		time.Sleep(Timeout)
		return control.Batch{}, context.DeadlineExceeded
	}
	return s.Store.Read(ctx)
}

// Watch implements control.Store.
func (s *Partitioned) Watch(ctx context.Context, after uint64, wait time.Duration) (control.Batch, error) {
	if s.refused.Load() {
		return control.Batch{}, ErrDown
	}
	batch, err := s.Store.Watch(ctx, after, wait)
	if s.Cut.Load() {
		<-ctx.Done()
		return control.Batch{}, ctx.Err()
	}
	return batch, err
}

// Write implements control.Store. A cut only affects quarantine records: hosts remove their
// own entries without a timeout when a test ends, and would block it.
func (s *Partitioned) Write(ctx context.Context, kind relaypb.EntryKind, lease uint64, puts map[string][]byte, remove []string) (uint64, error) {
	if s.Cut.Load() && kind == relaypb.EntryKind_QUARANTINE {
		time.Sleep(Timeout)
		return 0, context.DeadlineExceeded
	}
	return s.Store.Write(ctx, kind, lease, puts, remove)
}

// Create implements control.Store.
func (s *Partitioned) Create(ctx context.Context, kind relaypb.EntryKind, name string) (bool, error) {
	if s.Cut.Load() {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return s.Store.Create(ctx, kind, name)
}

// ErrDown is returned by calls while the store is down.
var ErrDown = errors.New("the store is down")

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[entryKey]control.Entry{}, changed: make(chan struct{}), leases: map[uint64]bool{}, leaseOf: map[string]uint64{}}
}

// Apply writes or removes an entry in a new revision.
func (s *Store) Apply(e control.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	s.put(e)
	s.wakeWatchers()
}

// put records a change. The caller holds mu.
func (s *Store) put(e control.Entry) {
	if e.Removed {
		delete(s.entries, entryKey{e.Kind, e.Name})
	} else {
		s.entries[entryKey{e.Kind, e.Name}] = e
	}
	s.events = append(s.events, e)
}

// wakeWatchers wakes the pending watches. The caller holds mu.
func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutConfig writes the configuration.
func (s *Store) PutConfig(c route.Config) {
	value, _ := json.Marshal(c)
	s.Apply(control.Entry{Kind: relaypb.EntryKind_CONFIG, Value: value})
}

// PutServer writes the entry of a server.
func (s *Store) PutServer(server discovery.Server) {
	value, _ := json.Marshal(server)
	s.Apply(control.Entry{Kind: relaypb.EntryKind_SERVER, Name: server.ID, Value: value})
}

// RemoveServer removes the entry of a server.
func (s *Store) RemoveServer(id string) {
	s.Apply(control.Entry{Kind: relaypb.EntryKind_SERVER, Name: id, Removed: true})
}

// PutRawServer writes a server entry with an arbitrary value.
func (s *Store) PutRawServer(id string, value []byte) {
	s.Apply(control.Entry{Kind: relaypb.EntryKind_SERVER, Name: id, Value: value})
}

// Evacuate starts or ends the evacuation of a failure domain.
func (s *Store) Evacuate(domain string, active bool) {
	s.Apply(control.Entry{Kind: relaypb.EntryKind_EVACUATION, Name: domain, Removed: !active})
}

// SetDown makes all calls fail, or succeed again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact compacts the history: watches from earlier revisions fail with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements control.Store.
func (s *Store) Read(context.Context) (control.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls.Add(1)
	if s.down {
		return control.Batch{}, ErrDown
	}
	batch := control.Batch{Revision: s.revision}
	for _, e := range s.entries {
		batch.Entries = append(batch.Entries, e)
	}
	return batch, nil
}

// Watch implements control.Store.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) (control.Batch, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	s.Calls.Add(1)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, down, compacted := s.changed, s.down, after < s.compacted
		batch := control.Batch{Revision: s.revision}
		for _, e := range s.events {
			if e.Revision > after {
				batch.Entries = append(batch.Entries, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return control.Batch{}, ErrDown
		case compacted:
			return control.Batch{}, control.ErrCompacted
		case len(batch.Entries) > 0:
			return batch, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return batch, nil
		case <-ctx.Done():
			return control.Batch{}, ctx.Err()
		}
	}
}

// Lease implements control.Store.
func (s *Store) Lease(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes.Add(1)
	if s.down {
		return 0, ErrDown
	}
	s.lastLease++
	s.leases[s.lastLease] = true
	return s.lastLease, nil
}

// Write implements control.Store.
func (s *Store) Write(_ context.Context, kind relaypb.EntryKind, lease uint64, puts map[string][]byte, remove []string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes.Add(1)
	if s.down {
		return 0, ErrDown
	}
	if len(puts) > 0 && lease != 0 && !s.leases[lease] {
		return 0, control.ErrLeaseExpired
	}
	s.revision++
	for name, value := range puts {
		s.put(control.Entry{Kind: kind, Name: name, Value: value, Revision: s.revision})
		if lease != 0 {
			s.leaseOf[name] = lease
		}
	}
	for _, name := range remove {
		s.put(control.Entry{Kind: kind, Name: name, Revision: s.revision, Removed: true})
	}
	s.wakeWatchers()
	return s.revision, nil
}

// Create implements control.Store.
func (s *Store) Create(_ context.Context, kind relaypb.EntryKind, name string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes.Add(1)
	if s.down {
		return false, ErrDown
	}
	if _, exists := s.entries[entryKey{kind, name}]; exists {
		return false, nil
	}
	s.revision++
	s.put(control.Entry{Kind: kind, Name: name, Revision: s.revision})
	s.wakeWatchers()
	return true, nil
}

// Reconnect implements control.Store.
func (s *Store) Reconnect() {}

// Names returns the names of the entries of a kind, in no particular order.
func (s *Store) Names(kind relaypb.EntryKind) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.entries {
		if key.kind == kind {
			names = append(names, key.name)
		}
	}
	return names
}

// EndLeases expires all leases and removes their entries, as an outage may.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for name, lease := range s.leaseOf {
		if s.leases[lease] {
			s.put(control.Entry{Kind: relaypb.EntryKind_HOST, Name: name, Revision: s.revision, Removed: true})
		}
	}
	clear(s.leaseOf)
	clear(s.leases)
	s.wakeWatchers()
}

// Renew implements control.Store.
func (s *Store) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Renewals.Add(1)
	if s.down {
		return ErrDown
	}
	if !s.leases[lease] {
		return control.ErrLeaseExpired
	}
	return nil
}

// DecodeConfig implements control.Decoder.
func (s *Store) DecodeConfig(value []byte) (c route.Config, err error) {
	err = json.Unmarshal(value, &c)
	return c, err
}

// DecodeServer implements control.Decoder.
func (s *Store) DecodeServer(_ string, value []byte) (server discovery.Server, err error) {
	err = json.Unmarshal(value, &server)
	return server, err
}

// EntriesSharingLease returns the number of host entries that share the lease of the named host's
// entry.
func (s *Store) EntriesSharingLease(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, lease := range s.leaseOf {
		if lease == s.leaseOf[name] {
			n++
		}
	}
	return n
}

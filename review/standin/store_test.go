//go:build review

package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items in a page of a range.
const maxPage = 500

// item is a value of the store, or an event about one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a sound key-value store of the platform.
type Store struct {
	mu        sync.Mutex
	rev       uint64
	items     map[string]item
	events    []item
	changed   chan struct{}
	leases    map[uint64]*lease
	nextLease uint64
}

func newStore() *Store {
	return &Store{rev: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}}
}

// start serves the store on a free loopback port and returns its address.
func (s *Store) start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String(), nil
}

// put writes a value that is not bound to a lease, as the operator and the servers do.
func (s *Store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(key, value, 0)
	return s.rev
}

// get returns the value of a key, or nil.
func (s *Store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// remove removes a key.
func (s *Store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *Store) writeLocked(key string, value []byte, leaseID uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = i
	s.noteLocked(i)
}

func (s *Store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.noteLocked(item{Key: key, Rev: s.rev, Removed: true})
}

func (s *Store) noteLocked(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLocked(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.removeLocked(key)
			}
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLocked(time.Now())
	s.mu.Unlock()
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) handle(r *http.Request) (int, any) {
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/mallowgap/kv-"), "/")
	leaseID, _ := strconv.ParseUint(id, 10, 64)
	switch call {
	case "key":
		return s.getKey(r.URL.Query().Get("key"))
	case "range":
		return s.getRange(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "watch":
		return s.watch(r)
	case "txn":
		return s.transact(r)
	case "lease":
		return s.grant(r)
	case "keep":
		return s.renew(leaseID)
	case "lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		if l := s.leases[leaseID]; l != nil {
			l.end = time.Time{}
			s.expireLocked(time.Now())
		}
		return http.StatusOK, struct{}{}
	}
	return http.StatusBadRequest, struct{}{}
}

func (s *Store) getKey(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{i, s.rev}
}

func (s *Store) getRange(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPage
	return http.StatusOK, map[string]any{"items": items[:min(len(items), maxPage)], "has_more": more, "as_of": s.rev}
}

func (s *Store) watch(r *http.Request) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	prefix, end := r.URL.Query().Get("prefix"), time.After(time.Duration(wait)*time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		reply := map[string]any{"events": events, "as_of": rev}
		if len(events) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, struct{}{}
		}
	}
}

func (s *Store) transact(r *http.Request) (int, any) {
	var m struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range m.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, e := range m.Expect {
		if s.items[e.Key].Rev != e.Rev {
			current := []item{}
			for _, e := range m.Expect {
				if i, ok := s.items[e.Key]; ok {
					current = append(current, i)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current}
		}
	}
	for _, p := range m.Puts {
		s.writeLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range m.Remove {
		s.removeLocked(key)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var m struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(m.TTLMs) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": m.TTLMs}
}

func (s *Store) renew(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

//go:build review

package standin2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes bound a page of a range; valueBytes a value. historyTime is for how long
	// events are kept, storeAnswerTime how long an answer takes.
	pageItems, pageBytes, valueBytes = 500, 1 << 20, 1 << 20
	historyTime                      = 20 * time.Second
	storeAnswerTime                  = 4 * time.Millisecond
)

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
}

type storeEvent struct {
	at   time.Time
	item storeItem
	// encoded is the event as JSON.
	encoded json.RawMessage
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	w  *world
	mu sync.Mutex
	// slow multiplies the time of an answer.
	slow      float64
	rev       uint64
	items     map[string]storeItem
	events    []storeEvent
	compacted uint64
	changed   chan struct{}
	leases    map[uint64]*storeLease
	nextLease uint64
	// shut is the set of hosts that are turned away with 503.
	shut map[string]bool
	// watchBytes bounds the answer to a watch, which holds one event at least; 0 is no bound.
	watchBytes int
	// watched is called with the host and the size of each answer to a watch.
	watched func(host string, status int, events, size int)
}

func newStore(w *world) *store {
	s := &store{w: w, slow: 1, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}, shut: map[string]bool{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// listen serves the store for one host at an address of its own.
func (s *store) listen(host string) (string, error) {
	l, err := net.Listen("tcp", s.w.address+":0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(host, rw, r) }))
	}()
	return l.Addr().String(), nil
}

func (s *store) setSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

func (s *store) turnAway(host string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut[host] = away
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			delete(s.leases, id)
		}
	}
	for key, i := range s.items {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			s.removeLocked(key)
		}
	}
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > historyTime {
		s.compacted = s.events[n].item.Rev
		n++
	}
	s.events = s.events[n:]
}

func (s *store) addEvent(i storeItem, removed bool) {
	encoded, _ := json.Marshal(i)
	if removed {
		encoded, _ = json.Marshal(map[string]any{"key": i.Key, "rev": i.Rev, "removed": true})
	}
	s.events = append(s.events, storeEvent{time.Now(), i, encoded})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putLocked(key string, value []byte, lease uint64) {
	i := storeItem{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.addEvent(i, false)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.rev++
		s.addEvent(storeItem{Key: key, Rev: s.rev}, true)
	}
}

// put writes a value for the operator or a server and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil || len(encoded) > valueBytes {
		panic(fmt.Sprintf("value of %s: %d bytes, %v", key, len(encoded), err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, encoded, 0)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
	return time.Now()
}

func (s *store) serve(host string, rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay, shut := time.Duration(s.slow*float64(storeAnswerTime)), s.shut[host]
	s.mu.Unlock()
	if shut {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/mallowgap/kv-"), "/")
	status, body, events := s.handle(name, id, r)
	time.Sleep(delay)
	encoded, _ := json.Marshal(body)
	if name == "watch" && s.watched != nil {
		s.watched(host, status, events, len(encoded))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(encoded)
}

func (s *store) handle(name, id string, r *http.Request) (status int, body any, events int) {
	q := r.URL.Query()
	switch name {
	case "key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil, 0
		}
		return http.StatusOK, struct {
			storeItem
			AsOf uint64 `json:"as_of"`
		}{i, s.rev}, 0
	case "range":
		status, body = s.page(q.Get("prefix"), q.Get("after"))
		return status, body, 0
	case "watch":
		return s.watch(r)
	case "txn":
		status, body = s.txn(r)
		return status, body, 0
	case "lease":
		var m struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			return http.StatusBadRequest, nil, 0
		}
		m.TTLMs = min(max(m.TTLMs, 1000), 600_000)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextLease++
		ttl := time.Duration(m.TTLMs) * time.Millisecond
		s.leases[s.nextLease] = &storeLease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": m.TTLMs}, 0
	case "keep", "lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		n, _ := strconv.ParseUint(id, 10, 64)
		l := s.leases[n]
		if l == nil {
			return http.StatusNotFound, nil, 0
		}
		l.end = time.Now().Add(l.ttl)
		if name == "lease-end" {
			delete(s.leases, n)
		}
		return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}, 0
	}
	return http.StatusBadRequest, nil, 0
}

func (s *store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []storeItem{}, 0
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			return http.StatusOK, map[string]any{"items": items, "has_more": true, "as_of": s.rev}
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.rev}
}

func (s *store) watch(r *http.Request) (int, any, int) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		changed, rev, compacted := s.changed, s.rev, s.compacted
		events, size := []json.RawMessage{}, 0
		for _, e := range s.events {
			if e.item.Rev <= after || !strings.HasPrefix(e.item.Key, q.Get("prefix")) {
				continue
			}
			if size += len(e.encoded); s.watchBytes > 0 && size > s.watchBytes && len(events) > 0 {
				rev = e.item.Rev - 1
				break
			}
			events = append(events, e.encoded)
		}
		s.mu.Unlock()
		if after < compacted {
			return http.StatusGone, nil, 0
		}
		if len(events) > 0 || timedOut {
			return http.StatusOK, map[string]any{"events": events, "as_of": rev}, len(events)
		}
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil, 0
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
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
	if json.NewDecoder(r.Body).Decode(&m) != nil || len(m.Expect)+len(m.Puts)+len(m.Remove) > 32 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, states := true, []storeItem{}
	for _, e := range m.Expect {
		i := s.items[e.Key]
		held = held && i.Rev == e.Rev
		if i.Rev != 0 {
			states = append(states, i)
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": states}
	}
	for _, p := range m.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, p := range m.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range m.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.addEvent(storeItem{Key: key, Rev: s.rev}, true)
		}
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

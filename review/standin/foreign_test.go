//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// foreignShards is the number of shards of the query; each has two leafs.
	foreignShards = 4
	// foreignRuns is how long clients send.
	foreignRuns = 16 * time.Second
	foreignTop  = 10
)

// foreignAt lists when another writer writes its entries. The times fall differently between two beats of
// the leafs, which then write their own entries again.
var foreignAt = []time.Duration{6 * time.Second, 7700 * time.Millisecond, 9400 * time.Millisecond}

// runForeign sends queries over several shards and requests for a single service. Another writer writes an
// entry in which fields are missing under the identifier of a leaf, and names another service in it.
func runForeign(s *scene) error {
	shards := []string{}
	for n := range foreignShards {
		shards = append(shards, fmt.Sprintf("shard%d", n))
	}
	for _, service := range append(append([]string{}, shards...), "portal", "ledger") {
		for i := range 2 {
			l := &Leaf{id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: "hall-a", slots: 4, queue: 8, work: 5 * time.Millisecond}
			if err := s.addLeaf(l); err != nil {
				return err
			}
		}
	}
	var services []map[string]any
	for _, name := range append(append([]string{}, shards...), "portal", "ledger") {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 42, "protocol": "h1", "tls": false})
	}
	routes := []map[string]any{
		{"name": "query", "host": "desk.example", "prefix": "/query/", "kind": "safe", "timeout_ms": 1000, "goal_ms": 200, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": foreignTop, "min_share": 0.75},
		{"name": "portal", "host": "desk.example", "prefix": "/portal/", "kind": "unsafe", "timeout_ms": 1000, "goal_ms": 200, "priority": 1, "service": "portal", "max_attempts": 2},
		{"name": "ledger", "host": "desk.example", "prefix": "/ledger/", "kind": "unsafe", "timeout_ms": 1000, "goal_ms": 200, "priority": 1, "service": "ledger", "max_attempts": 2},
	}
	if err := s.configure(1, routes, services); err != nil {
		return err
	}
	if err := s.startGateways("hall-a", "hall-a"); err != nil {
		return err
	}
	began := time.Now()
	for _, at := range foreignAt {
		if s.trouble {
			time.AfterFunc(at, func() {
				s.writeForeign(s.leafOf("i-shard1-0"), "shard0")
				s.writeForeign(s.leafOf("i-ledger-0"), "portal")
			})
		}
	}
	var mu sync.Mutex
	paths := map[string]string{}
	var queries []Result
	served := 0
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			c := &Client{name: strconv.Itoa(i), record: s.record}
			defer c.close()
			for n := 0; time.Since(began) < foreignRuns; n++ {
				path, method, body := "/query/7", "GET", []byte(nil)
				if n%2 == 1 {
					path, method, body = "/portal/7", "POST", []byte("shop=9")
				}
				r := c.send(s.gateways[i%2], method, "desk.example", path, body, time.Second)
				mu.Lock()
				paths[r.id] = path
				if r.status == 200 {
					served++
					if path == "/query/7" {
						queries = append(queries, r)
					}
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	return s.judgeForeign(paths, queries, shards, served)
}

func (s *scene) leafOf(id string) *Leaf {
	for _, l := range s.leafs {
		if l.id == id {
			return l
		}
	}
	return nil
}

// writeForeign writes an entry without version, cold_left_ms, sequence and born under the identifier of a
// leaf, with another service. The leaf writes its own entry again at its next beat.
func (s *scene) writeForeign(l *Leaf, service string) {
	encoded, _ := json.Marshal(map[string]any{"service": service, "addr": l.address, "zone": l.zone, "concurrency": l.slots, "state": "ready"})
	s.store.put("servers/"+l.id, encoded)
	s.record.notef("store: another writer writes servers/%s: %s", l.id, encoded)
}

// judgeForeign checks ROUTE, that each request ran only at services of its route, and MIXED, that each
// answer to a query is made of one good part for each shard that it names.
func (s *scene) judgeForeign(paths map[string]string, queries []Result, shards []string, served int) error {
	misrouted, mixed := 0, 0
	for id, leafs := range s.record.allRuns() {
		for _, l := range leafs {
			allowed := l.service == "portal"
			if paths[id] == "/query/7" {
				allowed = strings.HasPrefix(l.service, "shard")
			}
			if !allowed {
				misrouted++
				s.record.notef("ROUTE broken: request %s for %s ran at leaf %s of service %s", id, paths[id], l.id, l.service)
			}
		}
	}
	for _, r := range queries {
		if fault := s.faultOf(r, shards); fault != "" {
			mixed++
			s.record.notef("MIXED broken: answer to query %s: %s", r.id, fault)
		}
	}
	summary := fmt.Sprintf("%d answers with success, %d of them to queries; requests that ran at a service that no configuration allows: %d; answers to queries with wrong parts: %d", served, len(queries), misrouted, mixed)
	s.record.notef("%s", summary)
	fmt.Println(summary)
	if served == 0 || len(queries) == 0 {
		return fmt.Errorf("no request was served")
	}
	if misrouted+mixed > 0 {
		return fmt.Errorf("%w: %s", errBroken, summary)
	}
	return nil
}

// faultOf returns what is wrong with the answer to a query, or an empty text.
func (s *scene) faultOf(r Result, shards []string) string {
	named := map[string]bool{}
	var sources [][]byte
	for _, line := range r.header.Values("X-Mallowgap-Parts") {
		for _, part := range strings.Split(line, ",") {
			part = strings.TrimSpace(part)
			service, _, _ := strings.Cut(part, ".")
			switch {
			case part != stamp(service, r.id):
				return "the part " + part + " is no signature for this request"
			case named[service]:
				return "two parts of the service " + service
			}
			named[service] = true
			sources = append(sources, (&Leaf{service: service}).part(r.id))
		}
	}
	missing, _ := strconv.Atoi(r.header.Get("X-Mallowgap-Missing-Parts"))
	if len(named)+missing != len(shards) {
		return fmt.Sprintf("%d parts and %d missing ones are not the %d shards", len(named), missing, len(shards))
	}
	if string(greatest(foreignTop, sources)) != string(r.body) {
		return "the body isn't the greatest records of the parts named"
	}
	return ""
}

//go:build review

package standin2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["storm"] = storm }

// route returns a route with a single service.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 2000, "goal_ms": 600, "priority": 1, "max_attempts": 2}
}

// storm lets the configuration grow by many routes and then change in quick succession, while the
// store is slow.
func storm(w *world) (broken bool, err error) {
	names := []string{}
	for i := range 30 {
		names = append(names, fmt.Sprintf("boarding-console~%d", i+1))
	}
	old, err := w.addLeaf("tag-printer", "z1", 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	fresh, err := w.addLeaf("kiosk-self", "z2", 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	version := 0
	write := func(added int, service string, idle int) time.Time {
		version += 3
		routes := []any{route("bagtag", "/bagtag/", "safe", service)}
		for i := range added {
			r := route(fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%05d/", i), "safe", "")
			delete(r, "service")
			r["gather"], r["top_k"], r["min_share"] = names, 50, 0.89
			routes = append(routes, r)
		}
		services := []any{map[string]any{"name": "tag-printer", "max_conns": 100, "health_path": "/health"}, map[string]any{"name": "kiosk-self", "max_conns": 100, "health_path": "/health"}}
		for _, n := range names {
			services = append(services, map[string]any{"name": n, "max_conns": 26, "health_path": "/health"})
		}
		return w.store.put("op/config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": idle}})
	}
	write(0, "tag-printer", 30000)
	var mu sync.Mutex
	w.store.watched = func(host string, status, events, size int) {
		if events > 0 || status != 200 {
			w.record.printf("watch of %s: status %d, %d events, %d bytes", host, status, events, size)
		}
	}
	_ = &mu
	if err := w.addGateways("z1", "z2", "z3"); err != nil {
		return false, err
	}
	clients := []*client{}
	for i := range w.gateways {
		clients = append(clients, w.newClient(i+1))
	}
	added := 0
	for added < 1250 {
		added = min(added+350, 1250)
		write(added, "tag-printer", 30000)
		time.Sleep(1500 * time.Millisecond)
	}
	if w.trouble {
		w.record.printf("the store is slow")
		w.store.setSlow(60)
	}
	slowSince := time.Now()
	time.Sleep(500 * time.Millisecond)
	var last time.Time
	for i := range 25 {
		service := "tag-printer"
		if i == 24 {
			service = "kiosk-self"
		}
		last = write(added, service, 30000+i)
		time.Sleep(60 * time.Millisecond)
	}
	w.record.printf("version %d acknowledged: the route goes to kiosk-self", version)
	time.Sleep(time.Until(slowSince.Add(4500 * time.Millisecond)))
	w.store.setSlow(1)
	w.record.printf("the store is as usual")
	stale := 0
	for time.Since(last) < 32*time.Second {
		for i, g := range w.gateways {
			a := clients[i].send(g, "GET", "desk.example", "/bagtag/x", nil, 2*time.Second, nil)
			by := ""
			if a.err == nil && a.status == 200 {
				switch a.header.Get("X-Mallowgap-Stamp") {
				case stamp("tag-printer", a.id):
					by = "tag-printer"
				case stamp("kiosk-self", a.id):
					by = "kiosk-self"
				}
			}
			w.record.printf("%s to %s: %d %v, run by %s, %v after the acknowledgement", a.id, g.name, a.status, a.err, by, a.sent.Sub(last).Round(time.Millisecond))
			if by == "tag-printer" && a.sent.Sub(last) > 3*time.Second && a.sent.After(slowSince.Add(4500*time.Millisecond+4*time.Second)) {
				stale++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	_, _ = old, fresh
	w.record.printf("%d requests were run by the old service", stale)
	return stale > 0, nil
}

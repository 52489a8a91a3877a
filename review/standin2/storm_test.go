//go:build review

package standin2

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["storm"] = func(w *world) (bool, error) { return storm(w, true) }
	cases["lag"] = func(w *world) (bool, error) {
		w.store.watchBytes = pageBytes
		return storm(w, false)
	}
}

// The doses of the disruption, and the bounds of the rules in a small deployment.
const (
	grownBy      = 350 // routes a big_config adds
	grownTo      = 1250
	stormGap     = 60 * time.Millisecond
	stormChanges = 25 // 1.5 s
	slowFactor   = 60
	slowTime     = 4500 * time.Millisecond
	applyBound   = 3 * time.Second
	drainBound   = 3 * time.Second
	stableTime   = 4 * time.Second
)

// singleRoute returns a route to one service.
func singleRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 2000, "goal_ms": 600, "priority": 1, "max_attempts": 2}
}

// stormOperator writes versions of the configuration.
type stormOperator struct {
	w       *world
	version int
	shards  []string
}

// write writes a version with the number of added routes and their time-out. The route of the clients
// goes to service.
func (o *stormOperator) write(added int, service string, timeoutMs int) time.Time {
	o.version += 3
	routes := []any{singleRoute("bagtag", "/bagtag/", "safe", service)}
	for i := range added {
		r := singleRoute(fmt.Sprintf("added-%04d", i), fmt.Sprintf("/added-%04d/", i), "safe", "")
		delete(r, "service")
		r["gather"], r["top_k"], r["min_share"], r["timeout_ms"] = o.shards, 50, 0.89, timeoutMs
		routes = append(routes, r)
	}
	services := []any{map[string]any{"name": "tag-printer", "max_conns": 100, "health_path": "/health"}, map[string]any{"name": "kiosk-self", "max_conns": 100, "health_path": "/health"}}
	for _, n := range o.shards {
		services = append(services, map[string]any{"name": n, "max_conns": 26, "health_path": "/health"})
	}
	limits := map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30_000}
	return o.w.store.put("op/config", map[string]any{"version": o.version, "routes": routes, "services": services, "limits": limits})
}

// storm lets the configuration grow, and then change in quick succession, while the store is slow if slow
// is set. After that it looks which service runs the requests, and whether a server that drains still gets
// some. If the store was slow, only what is sent once the gateways are in touch again counts.
func storm(w *world, slow bool) (broken bool, err error) {
	old, err := w.addLeaf("tag-printer", "z1", 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := w.addLeaf("kiosk-self", "z2", 5*time.Millisecond); err != nil {
		return false, err
	}
	o := &stormOperator{w: w}
	for i := range 30 {
		o.shards = append(o.shards, fmt.Sprintf("boarding-console~%d", i+1))
	}
	o.write(0, "tag-printer", 2000)
	w.store.watched = func(host string, status, events, size int) {
		if size > 1000 || status != 200 {
			w.record.printf("the store answers a watch of %s: status %d, %d events, %d bytes", host, status, events, size)
		}
	}
	if err := w.addGateways("z1", "z2", "z3"); err != nil {
		return false, err
	}
	for added := 0; added < grownTo; {
		added = min(added+grownBy, grownTo)
		o.write(added, "tag-printer", 2000)
		w.record.printf("version %d acknowledged: %d routes were added", o.version, added)
		time.Sleep(1500 * time.Millisecond)
	}
	clients := []*client{}
	for i := range w.gateways {
		clients = append(clients, w.newClient(i+1))
	}
	for i, g := range w.gateways {
		if a := clients[i].send(g, "GET", "desk.example", "/bagtag/x", nil, 2*time.Second, nil); a.status != 200 || a.header.Get("X-Mallowgap-Stamp") != stamp("tag-printer", a.id) {
			return false, errSetup
		}
	}
	begun := time.Now()
	var last time.Time
	if w.trouble && slow {
		w.record.printf("the store is slow")
		w.store.setSlow(slowFactor)
		time.Sleep(500 * time.Millisecond)
	}
	if w.trouble {
		for i := range stormChanges - 1 {
			o.write(grownTo, "tag-printer", 2001+i)
			time.Sleep(stormGap)
		}
	}
	last = o.write(grownTo, "kiosk-self", 2000)
	w.record.printf("version %d acknowledged: the route goes to kiosk-self", o.version)
	inTouch := begun
	if slow {
		time.Sleep(time.Until(begun.Add(slowTime)))
		w.store.setSlow(1)
		w.record.printf("the store is as usual")
		inTouch = begun.Add(slowTime + stableTime)
		time.Sleep(time.Until(inTouch.Add(500 * time.Millisecond)))
	}
	drained := old.register("draining")
	w.record.printf("%s of tag-printer acknowledged as draining", old.id)

	stale, late := 0, 0
	for time.Since(begun) < 30*time.Second {
		for i, g := range w.gateways {
			a := clients[i].send(g, "GET", "desk.example", "/bagtag/x", nil, 2*time.Second, nil)
			ranBy := "none"
			for _, service := range []string{"tag-printer", "kiosk-self"} {
				if a.err == nil && a.header.Get("X-Mallowgap-Stamp") == stamp(service, a.id) {
					ranBy = service
				}
			}
			isStale := ranBy == "tag-printer" && a.sent.After(inTouch) && a.sent.Sub(last) > applyBound
			w.record.printf("request %s to %s: status %d, error %v, run by %s; sent %v after the version was acknowledged, stale %v", a.id, g.name, a.status, a.err, ranBy, a.sent.Sub(last).Round(time.Millisecond), isStale)
			if isStale {
				stale++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, a := range old.arrived() {
		if a.at.Sub(drained) > drainBound && strings.HasPrefix(a.path, "/bagtag/") {
			late++
			w.record.printf("request %s reached %s %v after it was acknowledged as draining", a.id, old.id, a.at.Sub(drained).Round(time.Millisecond))
		}
	}
	w.record.printf("CONFIG: %d requests were run by the old service, sent later than %v after the acknowledgement by machines in touch", stale, applyBound)
	w.record.printf("DRAIN: %d requests reached a server later than %v after it was acknowledged as draining", late, drainBound)
	return stale > 0 || late > 0, nil
}

//go:build review

package standin2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["refused"] = refused }

// refused sends requests that must not run twice to servers of which one fails part of them after it
// has worked on them.
func refused(w *world) (broken bool, err error) {
	const requests, share = 60, 0.45
	leafs := []*leaf{}
	for _, zone := range []string{"z1", "z2", "z3"} {
		l, err := w.addLeaf("payout-ledger", zone, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		leafs = append(leafs, l)
	}
	if w.trouble {
		l := leafs[0]
		l.respond = func(l *leaf, rw http.ResponseWriter, r *http.Request, _ []byte) {
			if rand.Float64() >= share {
				l.answer(rw, r, l.work)
				return
			}
			time.Sleep(l.work) // The work is done, and then fails.
			id := r.Header.Get("X-Mallowgap-Request-Id")
			rw.Header().Set("X-Mallowgap-Request-Id", id)
			rw.Header().Set("X-Mallowgap-Stamp", stamp(l.service, id))
			rw.WriteHeader(http.StatusServiceUnavailable)
			w.record.printf("request %s ran at %s and failed: 503 with the signature, without X-Mallowgap-Not-Executed", id, l.id)
		}
	}
	w.store.put("op/config", map[string]any{
		"version": 3, "routes": []any{singleRoute("payout", "/payout/", "unsafe", "payout-ledger")},
		"services": []any{map[string]any{"name": "payout-ledger", "max_conns": 42, "health_path": "/health"}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err := w.addGateways("z1", "z2", "z3"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	promised := map[string]int{}
	for i := range requests {
		g := w.gateways[i%len(w.gateways)]
		c := w.newClient(i + 1)
		a := c.send(g, "POST", "desk.example", fmt.Sprintf("/payout/%d", i), []byte("pay"), 2*time.Second, nil)
		w.record.printf("request %s to %s: status %d, error %v", a.id, g.name, a.status, a.err)
		if a.err == nil && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) {
			promised[a.id] = a.status
		}
		c.t.CloseIdleConnections()
	}
	ran := 0
	for _, l := range leafs {
		for _, a := range l.arrived() {
			if status := promised[a.id]; a.ran && status != 0 {
				ran++
				w.record.printf("request %s was answered %d, which promises that it has not run, and ran at %s", a.id, status, l.id)
			}
		}
	}
	w.record.printf("REFUSED: %d requests that must not run twice were refused, and had run", ran)
	return ran > 0, nil
}

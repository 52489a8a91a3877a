//go:build review

package standin2

import (
	"sort"
	"sync"
	"time"
)

func init() { cases["quota"] = quotaCase }

// The limit of the tenant, the bound of the rule and the length of the cut.
const (
	tenantPerS, tenantBurst    = 100, 20
	quotaWindow                = 5 * time.Second
	quotaExcess, quotaSlack    = 0.1, 20
	cutTime                    = 45 * time.Second
	offeredPerGateway          = 150 // requests a second
	clientsPerGateway          = 15
	configInterval             = 8 * time.Second
	quotaBound                 = (tenantPerS*5+tenantBurst)*(1+quotaExcess) + quotaSlack
	beforeCut, afterCut, settl = 8 * time.Second, 5 * time.Second, time.Second
)

// quotaCase offers more requests of one tenant than its limit at all gateways, and lets the regions lose each other.
func quotaCase(w *world) (broken bool, err error) {
	w.linked = true
	for _, zone := range []string{"z1", "z2", "z3"} {
		if _, err := w.addLeaf("boatyard", zone, 2*time.Millisecond); err != nil {
			return false, err
		}
	}
	version := 0
	write := func() {
		version += 2
		w.store.put("op/config", map[string]any{
			"version": version, "routes": []any{singleRoute("ledger-pull", "/ledger/", "safe", "boatyard")},
			"services": []any{map[string]any{"name": "boatyard", "max_conns": 490, "health_path": "/health"}},
			"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000 + version},
			"tenants":  []any{map[string]any{"name": "family-1", "api_keys": []string{"key-of-family-1"}, "per_s": tenantPerS, "burst": tenantBurst, "priority": 1}},
		})
	}
	write()
	if err := w.addGateways("z1", "z2", "z3"); err != nil {
		return false, err
	}
	time.Sleep(settl)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, statuses := map[string]time.Time{}, map[string]map[int]int{}
	for gi, g := range w.gateways {
		statuses[g.name] = map[int]int{}
		for n := range clientsPerGateway {
			wg.Go(func() {
				c := w.newClient(gi*100 + n + 1)
				interval := time.Second * clientsPerGateway / offeredPerGateway
				for next := time.Now().Add(interval * time.Duration(n) / clientsPerGateway); ; next = next.Add(interval) {
					select {
					case <-stop:
						return
					case <-time.After(time.Until(next)):
					}
					a := c.send(g, "GET", "desk.example", "/ledger/x", nil, 2*time.Second, map[string]string{"Authorization": "Bearer key-of-family-1"})
					w.record.printf("request %s sent to %s at %.3f: status %d, error %v", a.id, g.name, a.sent.Sub(w.record.begun).Seconds(), a.status, a.err)
					mu.Lock()
					sent[a.id] = a.sent
					statuses[g.name][a.status]++
					mu.Unlock()
				}
			})
		}
	}
	begun := time.Now()
	changes := time.NewTicker(configInterval)
	defer changes.Stop()
	length := beforeCut + cutTime + afterCut
	for cut := false; time.Since(begun) < length; {
		switch since := time.Since(begun); {
		case w.trouble && !cut && since >= beforeCut && since < beforeCut+cutTime:
			cut = true
			w.cut.set(true)
			w.record.printf("the regions lose each other; the store is in r1")
		case cut && since >= beforeCut+cutTime:
			cut = false
			w.cut.set(false)
			w.record.printf("the cut is healed")
		}
		select {
		case <-changes.C:
			write()
			w.record.printf("version %d acknowledged: only the idle limit differs", version)
		case <-time.After(100 * time.Millisecond):
		}
	}
	close(stop)
	wg.Wait()
	for _, g := range w.gateways {
		w.record.printf("answers of %s by status: %v", g.name, statuses[g.name])
	}
	type run struct{ sent, arrived time.Time }
	runs, seen := []run{}, map[string]bool{}
	for _, l := range w.leafs {
		for _, a := range l.arrived() {
			if a.ran && a.tenant == "family-1" && !seen[a.id] && !sent[a.id].IsZero() {
				seen[a.id] = true
				runs = append(runs, run{sent[a.id], a.at})
				w.record.printf("request %s sent at %.3f ran at %s at %.3f", a.id, sent[a.id].Sub(w.record.begun).Seconds(), l.id, a.at.Sub(w.record.begun).Seconds())
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	most, mostAt, nextReport := 0, time.Time{}, time.Time{}
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if r.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.sent
		}
		if first.sent.After(nextReport) {
			nextReport = first.sent.Add(2 * time.Second)
			w.record.printf("from %.1f s on, %d requests in %v", first.sent.Sub(w.record.begun).Seconds(), n, quotaWindow)
		}
	}
	w.record.printf("QUOTA: at most %d requests of the tenant in %v (from %.1f s on); the bound is %.0f", most, quotaWindow, mostAt.Sub(w.record.begun).Seconds(), float64(quotaBound))
	return float64(most) > quotaBound, nil
}

//go:build review

package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// repeatShare is the share of its answers that a faulty leaf sends once more, and spoilFor how long
	// it does so each time.
	repeatShare = 0.04
	spoilFor    = 5 * time.Second
	// repeatClients is the number of clients and repeatPause the mean pause of each between requests.
	repeatClients = 30
	repeatPause   = 60 * time.Millisecond
	repeatRuns    = 30 * time.Second
)

// spoilAt lists when the leaf is faulty, counted from the start of traffic.
var spoilAt = []time.Duration{3 * time.Second, 13 * time.Second, 23 * time.Second}

// runRepeat sends requests that may run once at most to a service whose two leafs are full at times. One
// of the leafs repeats some of its answers, each where the next answer on the connection is expected.
func runRepeat(s *scene) error {
	var began time.Time
	spoils := func(now time.Time) bool {
		for _, at := range spoilAt {
			if since := now.Sub(began); since >= at && since < at+spoilFor {
				return rand.Float64() < repeatShare
			}
		}
		return false
	}
	payout := &Leaf{id: "i-payout", service: "payout", zone: "hall-a", slots: 2, queue: 2, work: 5 * time.Millisecond}
	if s.trouble {
		payout.spoils = spoils
	}
	lookup := &Leaf{id: "i-lookup", service: "lookup", zone: "hall-a", slots: 2, queue: 2, work: 5 * time.Millisecond}
	for _, l := range []*Leaf{payout, lookup} {
		if err := s.addLeaf(l); err != nil {
			return err
		}
	}
	var routes, services []map[string]any
	for name, kind := range map[string]string{"payout": "unsafe", "lookup": "safe"} {
		routes = append(routes, map[string]any{"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 2000, "goal_ms": 300, "priority": 1, "service": name, "max_attempts": 2})
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 25, "protocol": "h1", "tls": false})
	}
	if err := s.configure(1, routes, services); err != nil {
		return err
	}
	if err := s.startGateways("hall-a", "hall-a", "hall-a", "hall-a", "hall-a", "hall-a"); err != nil {
		return err
	}
	began = time.Now()
	var mu sync.Mutex
	var results []Result
	var wg sync.WaitGroup
	for i := range repeatClients {
		wg.Go(func() {
			c := &Client{name: fmt.Sprint(i), record: s.record}
			defer c.close()
			for time.Since(began) < repeatRuns {
				g := s.gateways[i%len(s.gateways)]
				if c.target != nil && c.conn != nil {
					g = c.target
				}
				deadline := 2 * time.Second
				r := c.send(g, "POST", "desk.example", "/payout/7", []byte("amount=12.50"), deadline)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if left := deadline - r.elapsed; r.status == 503 {
					time.Sleep(min(r.retryAfter(), left/3))
					c.close()
					again := c.send(s.gateways[rand.IntN(len(s.gateways))], "POST", "desk.example", "/payout/7", []byte("amount=12.50"), left)
					mu.Lock()
					results = append(results, again)
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(repeatPause)))
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second) // What was sent may still run.
	return s.judgeOnce(results)
}

// judgeOnce checks that no request ran twice, and that none ran that was refused.
func (s *scene) judgeOnce(results []Result) error {
	served, refused, failed, twice, ranThough := 0, 0, 0, 0, 0
	for _, r := range results {
		runs := s.record.runsOf(r.id)
		switch {
		case r.status/100 == 2:
			served++
		case r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421:
			refused++
			if len(runs) > 0 {
				ranThough++
				s.record.notef("REFUSED broken: request %s was answered %d and ran %d times", r.id, r.status, len(runs))
			}
		default:
			failed++
		}
		if len(runs) > 1 {
			twice++
			s.record.notef("TWICE broken: request %s ran %d times, answered %d", r.id, len(runs), r.status)
		}
	}
	extras, answers := 0, 0
	for _, l := range s.leafs {
		extras, answers = extras+l.extras, answers+l.answers
	}
	summary := fmt.Sprintf("%d requests: %d served, %d refused, %d failed; %d answers of leafs, %d of them sent once more; ran more than once: %d; refused though they ran: %d",
		len(results), served, refused, failed, answers, extras, twice, ranThough)
	s.record.notef("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if twice+ranThough > 0 {
		return fmt.Errorf("%w: %s", errBroken, summary)
	}
	return nil
}

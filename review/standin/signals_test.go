//go:build review

package standin

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the time between SIGTERM and SIGKILL (grace_s).
	graceTime = 6 * time.Second
	// secondTermAfter is the time between the two SIGTERM of the case.
	secondTermAfter = time.Second
	// slowWork is how long a leaf works on a request.
	slowWork = 400 * time.Millisecond
)

// runSignals stops a gateway by SIGTERM while clients use their open connections to it. With trouble the
// SIGTERM comes twice.
func runSignals(s *scene) error {
	for i := range 3 {
		if err := s.addLeaf(&Leaf{id: fmt.Sprintf("i-ledger-%d", i), service: "ledger", zone: "hall-a", slots: 4, queue: 8, work: slowWork}); err != nil {
			return err
		}
	}
	route := map[string]any{"name": "ledger", "host": "desk.example", "prefix": "/ledger/", "kind": "unsafe", "timeout_ms": 4000, "goal_ms": 1000, "priority": 1, "service": "ledger", "max_attempts": 2}
	if err := s.configure(1, []map[string]any{route}, []map[string]any{{"name": "ledger", "health_path": "/health", "max_conns": 42, "protocol": "h1", "tls": false}}); err != nil {
		return err
	}
	if err := s.startGateways("hall-a", "hall-a"); err != nil {
		return err
	}
	stopped := s.gateways[0]
	var mu sync.Mutex
	var results []Result
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 6 {
		wg.Go(func() {
			c := &Client{name: strconv.Itoa(i), record: s.record}
			defer c.close()
			for time.Since(began) < 12*time.Second {
				g := s.gateways[1]
				if i%2 == 0 && (time.Since(began) < 3*time.Second || c.conn != nil) {
					g = stopped // New connections go to the other gateway once this one stops.
				}
				r := c.send(g, "POST", "desk.example", "/ledger/7", []byte("amount=12.50"), 4*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	termAt := time.Now()
	stopped.signal(syscall.SIGTERM)
	if s.trouble {
		time.AfterFunc(secondTermAfter, func() { stopped.signal(syscall.SIGTERM) })
	}
	select {
	case <-stopped.exited:
	case <-time.After(graceTime):
		stopped.signal(syscall.SIGKILL)
		<-stopped.exited
	}
	wg.Wait()
	return s.judgeLost(results, stopped, termAt)
}

// judgeLost checks LOST around the SIGTERM of a gateway: no connection ends without a whole answer once
// the request on it has been passed on to a leaf.
func (s *scene) judgeLost(results []Result, stopped *Gateway, termAt time.Time) error {
	served, lost := 0, 0
	for _, r := range results {
		if r.status == 200 {
			served++
		}
		ended := r.sent.Add(r.elapsed)
		around := r.gateway == stopped && ended.After(termAt) && ended.Before(termAt.Add(graceTime*5/6))
		if around && r.written && r.status == 0 && len(s.record.runsOf(r.id)) > 0 {
			lost++
			s.record.notef("LOST broken: request %s was passed on to a leaf, and its connection ended %v after SIGTERM without an answer: %v", r.id, ended.Sub(termAt).Round(time.Millisecond), r.err)
		}
	}
	summary := fmt.Sprintf("%d requests, %d served; requests that were passed on to a leaf and left without an answer: %d", len(results), served, lost)
	s.record.notef("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if lost > 0 {
		return fmt.Errorf("%w: %s", errBroken, summary)
	}
	return nil
}

//go:build review

package standin

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// clockAhead is how far the time of day of the leaf's machine is ahead when the leaf first starts.
	clockAhead = 2400 * time.Millisecond
	// firstStart, restart and drainAt are counted from the start of traffic. The time of day of the leaf's
	// machine is right again before the restart.
	firstStart   = 2 * time.Second
	crashAt      = 3 * time.Second
	restartAt    = 3500 * time.Millisecond
	firstDrainAt = 6 * time.Second
	drainAt      = 17 * time.Second
	// drainLimit is drain_ms. The leaf serves on for drainLimit and leafStays after it reported that it
	// drains.
	drainLimit = 3 * time.Second
	leafStays  = 4 * time.Second
	clockRuns  = 26 * time.Second
)

// runClock adds a leaf whose machine has its time of day ahead, lets the leaf crash and start again under
// its identifier once the time of day is right, and drains it some seconds later.
func runClock(s *scene) error {
	newLeaf := func(id string) *Leaf {
		return &Leaf{id: id, service: "ledger", zone: "hall-a", slots: 4, queue: 8, work: 40 * time.Millisecond}
	}
	before, leaf, after := newLeaf("i-ledger-0"), newLeaf("i-ledger-1"), newLeaf("i-ledger-2")
	if err := s.addLeaf(before); err != nil {
		return err
	}
	route := map[string]any{"name": "ledger", "host": "desk.example", "prefix": "/ledger/", "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300, "priority": 1, "service": "ledger", "max_attempts": 2}
	if err := s.configure(1, []map[string]any{route}, []map[string]any{{"name": "ledger", "health_path": "/health", "max_conns": 42, "protocol": "h1", "tls": false}}); err != nil {
		return err
	}
	if err := s.startGateways("hall-a", "hall-a"); err != nil {
		return err
	}
	var mu sync.Mutex
	var results []Result
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 6 {
		wg.Go(func() {
			c := &Client{name: strconv.Itoa(i), record: s.record}
			defer c.close()
			for time.Since(began) < clockRuns {
				r := c.send(s.gateways[i%2], "POST", "desk.example", "/ledger/7", []byte("amount=12.50"), 2*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(began.Add(firstStart)))
	if s.trouble {
		leaf.clock = clockAhead
	}
	if err := s.addLeaf(leaf); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(crashAt)))
	leaf.crash()
	time.Sleep(time.Until(began.Add(restartAt)))
	leaf.clock = 0
	if err := leaf.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(firstDrainAt)))
	s.leave(before, before.drain())
	if err := s.addLeaf(after); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(drainAt)))
	acknowledged := leaf.drain()
	s.leave(leaf, acknowledged)
	wg.Wait()
	return s.judgeDrain(results, leaf, acknowledged)
}

// leave lets a leaf that drains serve on for its time, and takes it away.
func (s *scene) leave(l *Leaf, acknowledged time.Time) {
	time.Sleep(time.Until(acknowledged.Add(drainLimit + leafStays)))
	l.crash()
	s.store.remove("servers/" + l.id)
	s.record.notef("store: the entry of leaf %s is removed", l.id)
}

// judgeDrain checks DRAIN: no request reaches a leaf later than drain_ms after the store acknowledged that
// it drains.
func (s *scene) judgeDrain(results []Result, leaf *Leaf, acknowledged time.Time) error {
	served, late, lost := 0, 0, 0
	for _, r := range results {
		if r.status == 200 {
			served++
		} else if runs := s.record.runsOf(r.id); r.sent.After(acknowledged.Add(drainLimit)) && len(runs) > 0 && runs[0] == leaf {
			lost++
			s.record.notef("request %s ran at leaf %s after it should have got no more, and was answered %d", r.id, leaf.id, r.status)
		}
	}
	for _, at := range leaf.arrivals() {
		if after := at.Sub(acknowledged); after > drainLimit {
			late++
		}
	}
	summary := fmt.Sprintf("%d requests, %d served; requests that reached the leaf later than %v after it was acknowledged to drain: %d, of these begun by the leaf and lost when it left: %d", len(results), served, drainLimit, late, lost)
	s.record.notef("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if late > 0 {
		return fmt.Errorf("%w: %s", errBroken, summary)
	}
	return nil
}

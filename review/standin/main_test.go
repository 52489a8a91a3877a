//go:build review

// Package standin holds the stand-ins for clients, leafs and the platform's store, and the cases that
// use them. It is built by review/build.sh as a program of its own.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"
)

// exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	wholeTime = 115 * time.Second
)

var errBroken = errors.New("the rule was broken")

// scene is what a case runs in.
type scene struct {
	root, dir string
	trouble   bool
	record    *Record
	store     *Store
	storeAddr string
	gateways  []*Gateway
	leafs     []*Leaf
}

// TestMain is the main function: CASE ROOT DIR RECORD.
func TestMain(*testing.M) {
	os.Exit(runCase(os.Args))
}

func runCase(args []string) int {
	cases := map[string]func(*scene) error{"repeat": runRepeat, "foreign": runForeign, "clock": runClock}
	if len(args) != 5 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT DIR RECORD")
		return couldNot
	}
	record, err := newRecord(args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.close()
	s := &scene{root: args[2], dir: args[3], trouble: os.Getenv("TROUBLE") != "0", record: record, store: newStore()}
	time.AfterFunc(wholeTime, func() {
		fmt.Println("the case took too long")
		s.stop()
		record.close()
		os.Exit(couldNot)
	})
	defer s.stop()
	err = cases[args[1]](s)
	record.notef("verdict: %v", err)
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return held
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return broken
	}
	fmt.Println("could not run:", err)
	return couldNot
}

func (s *scene) stop() {
	for _, g := range s.gateways {
		g.kill()
	}
}

// addLeaf starts a leaf.
func (s *scene) addLeaf(l *Leaf) error {
	l.record, l.store = s.record, s.store
	s.leafs = append(s.leafs, l)
	return l.start()
}

// configure writes a configuration, as the operator does.
func (s *scene) configure(version int, routes, services []map[string]any) error {
	encoded, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err == nil {
		s.store.put("op/config", encoded)
		s.record.notef("store: configuration %d acknowledged", version)
	}
	return err
}

// startGateways starts the store's server and one gateway in each of the zones given.
func (s *scene) startGateways(zones ...string) error {
	var err error
	if s.storeAddr, err = s.store.start(); err != nil {
		return err
	}
	if s.gateways, err = newGateways(s.root, s.dir, s.storeAddr, zones, s.record); err != nil {
		return err
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // The gateways learn of each other.
	return nil
}

package coordination

import (
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/replica"
)

// fakeGates has one loaded server.
type fakeGates struct {
	noGates
	changes chan replica.ServerLoad
	loaded  []replica.ServerLoad
}

func (g *fakeGates) LoadChanges(time.Time) ([]replica.ServerLoad, bool) {
	select {
	case l := <-g.changes:
		return []replica.ServerLoad{l}, true
	default:
		return nil, true
	}
}

func (g *fakeGates) CombinedLoads() []replica.ServerLoad { return g.loaded }

// fakeListener records the waiting requests of each server, and counts the messages.
type fakeListener struct {
	noListener
	mu      sync.Mutex
	waiting map[string]int
	heard   int
}

// known returns the waiting requests of each server.
func (l *fakeListener) known() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.waiting)
}

// messages returns the number of messages with loads.
func (l *fakeListener) messages() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

func (l *fakeListener) LoadsChanged(loads []replica.ServerLoad, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, load := range loads {
		l.waiting[load.Server] = load.Waiting
	}
	l.heard++
}

// Hosts learn of loads although no verdict changes, and only of changes; one that connects later is
// told what the others know.
func TestLoadsArePushed(t *testing.T) {
	gates, listener := &fakeGates{changes: make(chan replica.ServerLoad, 9), loaded: []replica.ServerLoad{{Server: "known", Waiting: 4}}}, &fakeListener{waiting: map[string]int{}}
	withFleet(t, 2, func(f *fleet) {
		f.at(0).server.post(func(time.Time) { f.at(0).server.config.Gates = gates })
		f.listen(listener)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, listener.known(), map[string]int{"known": 4})
		gates.changes <- replica.ServerLoad{Server: "s", Waiting: 8}
		f.at(1).ObserveLoad("s", 8, 0, 1)
		time.Sleep(verdictInterval + loadInterval + time.Millisecond)
		assert.DeepEqual(t, listener.known(), map[string]int{"known": 4, "s": 8})
		gates.changes <- replica.ServerLoad{Server: "s"} // Told without a further report.
		time.Sleep(loadInterval)
		assert.DeepEqual(t, listener.known(), map[string]int{"known": 4, "s": 0})
		time.Sleep(2 * time.Second)
		assert.Equal(t, listener.messages(), 3)
	})
}

// listen connects a further host that has a listener.
func (f *fleet) listen(l Listener) {
	c := New(Config{
		Host: "listener", State: f.current, Peers: &client{f}, Meter: &fakeMeter{}, Ledger: &fakeLedger{hosts: map[string]int{}}, Log: zerolog.Nop(),
		Suspected: f.isSuspected, Suspect: func(string, time.Time) {}, Listener: l,
	})
	c.Start(f.ctx)
}

// Changes of loads are not repeated, so one that waits for a slow host must not displace another.
func TestSlowReceiverLosesNoLoad(t *testing.T) {
	l := newLink("slow")
	shared := loadsToWire([]replica.ServerLoad{{Server: "a", Waiting: 3}, {Server: "b", Waiting: 5}})
	l.offer(&relaypb.CoordinateVerdict{Loads: shared})
	l.offer(&relaypb.CoordinateVerdict{Gates: []*relaypb.GateVerdict{{Service: "s"}}})
	l.offer(&relaypb.CoordinateVerdict{Loads: loadsToWire([]replica.ServerLoad{{Server: "b"}, {Server: "c", Waiting: 1}})})
	waiting := map[string]int{}
	for _, load := range loadsFromWire(l.take().GetLoads()) {
		waiting[load.Server] += load.Waiting
	}
	assert.DeepEqual(t, waiting, map[string]int{"a": 3, "b": 0, "c": 1})
	assert.Equal(t, len(shared), 2, "other links share the list")
}

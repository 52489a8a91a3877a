package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/replica"
)

// slotsInUse returns the slots that are taken at the servers of a service.
func (g *Gateway) slotsInUse(service string) int {
	servers := g.fleet.group(service)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	n := 0
	for _, b := range servers.members {
		n += b.leaf.Slots.InUse()
	}
	return n
}

// A panic between the taking of slots and the sending must release them. If it did not, the host could
// soon send nothing to these servers until it is restarted.
func TestPanicBeforeTheSendingReleasesTheSlots(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(cl *cluster) {
		g := cl.hosts["host1"]
		servers := g.fleet.group("shard1")
		servers.mu.Lock()
		window := servers.retryWindow
		servers.retryWindow = nil // Counting the first attempt panics, when the slot is taken.
		servers.mu.Unlock()
		a := cl.ask("host1", "/q/x")
		assert.Equal(t, a.Cause, CausePanic)
		servers.mu.Lock()
		servers.retryWindow = window
		servers.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, g.slotsInUse("shard0")+g.slotsInUse("shard1"), 0, "slots are taken without a call")
	})
}

// A panic while the servers of a group are listed must not leave the group locked: all requests of the
// service would wait for the lock without an answer.
func TestPanicReleasesTheLockOfAGroup(t *testing.T) {
	f := newFleet(location{}, time.Second)
	servers := f.group("single")
	servers.members = []*backend{nil}
	for name, list := range map[string]func(){
		"serverVersions": func() { serverVersions([]*group{servers}) },
		"observations":   func() { f.observations([]string{"single"}, time.Now()) },
	} {
		func() {
			defer func() { assert.Assert(t, recover() != nil, name) }()
			list()
		}()
		assert.Check(t, servers.mu.TryLock(), "%s leaves the group locked", name)
		servers.mu.Unlock()
	}
}

// A panic while a relay takes a slot for a peer must fail that call only: it happens in a goroutine of
// its own, so that it would end the process with all requests of the host.
func TestPanicOfARelayedCallIsAResult(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		g := cl.hosts["host1"]
		servers := g.fleet.group("single")
		servers.mu.Lock()
		set := servers.set
		servers.set = nil
		servers.mu.Unlock()
		var out result
		func() {
			defer func() { assert.Check(t, recover() == nil, "the panic is not recovered in the goroutine of the call") }()
			out = g.callForPeer(cl.ctx, "single@a1", cl.newRequest("/one/"), time.Second, replica.TimeBudget{Objective: time.Second, Remaining: time.Second}, false)
		}()
		servers.mu.Lock()
		servers.set = set
		servers.mu.Unlock()
		assert.Assert(t, out.outcome == relaypb.Outcome_NOT_SENT || out.outcome == relaypb.Outcome_FAILED, "%v", out.outcome)
	})
}

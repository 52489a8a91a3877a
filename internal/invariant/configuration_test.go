package invariant

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/config"
)

// inForceBound is the time within which all hosts must apply an accepted change.
const inForceBound = 8 * time.Second

// changeResult is a change that an operator applied and the result that was reported.
type changeResult struct {
	id       string
	outcome  operatorpb.ApplyOutcome
	revision uint64
}

// configHistory records the changes that concurrent operators applied.
type configHistory struct {
	cl      *cluster
	changes []changeResult
}

// An accepted configuration must be in force at all hosts within seconds and never revert, and a
// refused one must never take effect, despite outages, lost replies, late writes, concurrent
// operators, restarts, freezes and partitions.
func TestInvariantConfiguration(t *testing.T) {
	t.Parallel()
	allowed := []stepKind{repartition, repartition, repartition, killHost, freezeHost, thawHost, cutHosts, reconnectHosts, startOutage, endOutage, loseReplies, delayWrites, deliverWrites, staleReads, loseReplies}
	rapid.Check(t, func(rt *rapid.T) {
		run := drawSteps(rt, allowed...)
		failOnViolations(rt, withCluster(t, func(_ *testing.T, cl *cluster) {
			h := &configHistory{cl: cl}
			h.runSteps(run)
			h.endFaults()
			h.check()
		}))
	})
}

// runSteps runs the steps while it checks that no host reverts to an older revision.
func (h *configHistory) runSteps(run []step) {
	cl := h.cl
	stop := make(chan struct{})
	cl.background.Go(func() { cl.watchRevisions(stop) })
	for n, s := range run {
		switch s.Kind {
		case repartition:
			h.apply(n, s)
		case delayWrites:
			cl.platform.DelayWrites(config.HeadKey, 1+s.A%2)
		case deliverWrites:
			cl.platform.Deliver()
		default:
			cl.runStep(n, s)
		}
		time.Sleep(s.Pause)
	}
	close(stop)
}

// apply applies a change through one host, or different changes through two hosts at once. Some
// changes whose outcome is unknown are applied again through another host to learn it.
func (h *configHistory) apply(n int, s step) {
	cl := h.cl
	for racer := range 1 + s.B%2 {
		cl.background.Go(func() {
			i := (s.A + racer) % numHosts
			id := fmt.Sprintf("change-%d-%d", n, racer)
			next := namedConfig(id)
			expect := cl.hosts[i].daemon.View().Revision
			reply, err := cl.apply(i, expect, id, next, time.Second)
			if s.C%2 == 0 && (err != nil || reply.GetOutcome() == operatorpb.ApplyOutcome_OUTCOME_UNKNOWN) {
				time.Sleep(time.Second)
				reply, err = cl.apply((i+1)%numHosts, expect, id, next, time.Second)
				if reply.GetOutcome() == operatorpb.ApplyOutcome_STORE_UNAVAILABLE {
					// This call changed nothing, and the outcome of the first stays unknown.
					return
				}
			}
			if err != nil {
				return
			}
			cl.mu.Lock()
			defer cl.mu.Unlock()
			h.changes = append(h.changes, changeResult{id: id, outcome: reply.GetOutcome(), revision: reply.GetRevision()})
		})
	}
}

// namedConfig returns a configuration that identifies the change by the name of a desk.
func namedConfig(id string) *configpb.Config {
	c := testConfig(1, numShards)
	c.Desks = append(c.Desks, &configpb.Desk{Name: id, Class: "office"})
	return c
}

// watchRevisions checks until stop is closed that no host reverts to an older revision.
func (cl *cluster) watchRevisions(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		cl.mu.Lock()
		for i, h := range cl.hosts {
			revision := h.daemon.View().Revision
			if revision < h.lastRevision {
				cl.violations = append(cl.violations, fmt.Sprintf("configuration: host %d went from revision %d to %d", i, h.lastRevision, revision))
			}
			h.lastRevision = max(h.lastRevision, revision)
		}
		cl.mu.Unlock()
	}
}

// endFaults ends all faults except crashes of hosts and waits until changes must be in force.
func (h *configHistory) endFaults() {
	cl := h.cl
	cl.platform.SetOutage(false)
	cl.platform.LoseReplies(config.HeadKey, 0)
	cl.platform.DelayWrites(config.HeadKey, 0)
	cl.platform.StaleReads(0)
	cl.platform.Deliver()
	for i := range numHosts {
		cl.thaw(i)
		for j := range numHosts {
			cl.network.Cut(peerAddress(i), peerAddress(j), false)
		}
	}
	cl.background.Wait()
	time.Sleep(inForceBound)
}

// check compares the reported results with the changes in the store and with the hosts' revisions.
func (h *configHistory) check() {
	cl := h.cl
	head, _, err := config.ReadHead(context.Background(), cl.platform)
	if err != nil {
		cl.violationf("configuration: the store cannot be read: %v", err)
		return
	}
	position := map[string]uint64{}
	recent := head.GetRecentChanges()
	for i, id := range recent {
		if _, twice := position[id]; twice {
			cl.violationf("configuration: %s took effect twice", id)
		}
		position[id] = head.GetRevision() - uint64(len(recent)-1-i)
	}
	for _, c := range h.changes {
		h.checkChange(c, position)
	}
	for i, host := range cl.hosts {
		if got := host.daemon.View().Revision; got != head.GetRevision() {
			cl.violationf("configuration: host %d has revision %d after %v, the store has %d", i, got, inForceBound, head.GetRevision())
		}
	}
}

func (h *configHistory) checkChange(c changeResult, position map[string]uint64) {
	revision, landed := position[c.id]
	switch c.outcome {
	case operatorpb.ApplyOutcome_ACCEPTED:
		if !landed || revision != c.revision {
			h.cl.violationf("configuration: %s was accepted as revision %d and is at %d", c.id, c.revision, revision)
		}
	case operatorpb.ApplyOutcome_CONFLICT, operatorpb.ApplyOutcome_INVALID, operatorpb.ApplyOutcome_STORE_UNAVAILABLE:
		if landed {
			h.cl.violationf("configuration: %s was reported as %v and took effect as revision %d", c.id, c.outcome, revision)
		}
	}
}

// A host that starts during an outage of the platform must take the configuration from its peers,
// and must not be ready before.
func TestStartInOutage(t *testing.T) {
	t.Parallel()
	violations := withCluster(t, func(t *testing.T, cl *cluster) {
		cl.platform.SetOutage(true)
		cl.killHost(1)
		cl.start(1)
		if cl.hosts[1].daemon.Ready() {
			t.Error("ready without a configuration")
		}
		time.Sleep(3 * time.Second)
		if !cl.hosts[1].daemon.Ready() || cl.hosts[1].daemon.View().Revision != 1 {
			t.Errorf("revision %d after 3 s in an outage, want 1", cl.hosts[1].daemon.View().Revision)
		}
		for i := range numHosts {
			cl.killHost(i)
		}
		cl.start(0)
		time.Sleep(5 * time.Second)
		if cl.hosts[0].daemon.Ready() {
			t.Error("ready although neither the platform nor a peer was available")
		}
		cl.platform.SetOutage(false)
		time.Sleep(5 * time.Second)
		if !cl.hosts[0].daemon.Ready() {
			t.Error("not ready after the outage ended")
		}
	})
	for _, v := range violations {
		t.Error(v)
	}
}

// A host that starts must take the configuration from its peers; from the store it reads only the
// head and the host list.
func TestStartCostsTheStoreLittle(t *testing.T) {
	t.Parallel()
	violations := withCluster(t, func(t *testing.T, cl *cluster) {
		heads, parts := cl.platform.Reads(config.HeadKey), cl.platform.Reads(config.PartPrefix)
		cl.killHost(1)
		cl.start(1)
		time.Sleep(10 * time.Second)
		if n := cl.platform.Reads(config.PartPrefix) - parts; n > 0 {
			t.Errorf("the start of a host read %d parts from the store", n)
		}
		if n := cl.platform.Reads(config.HeadKey) - heads; n > 1 {
			t.Errorf("the start of a host read the head %d times", n)
		}
	})
	for _, v := range violations {
		t.Error(v)
	}
}

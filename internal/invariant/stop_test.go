package invariant

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
)

// drainBound is the time after which a leaving leaf must get no new requests.
const drainBound = 5 * time.Second

// steadyLoad sends search requests, and tag requests that must run at most once, through all usable
// hosts in turn until stop is closed. A tag request to which the reply contains a ticket is sent
// again with the ticket, through the next host.
func (cl *cluster) steadyLoad(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		i := n % numHosts
		if !cl.usable(i) {
			continue
		}
		cl.background.Go(func() {
			cl.send(i, &callerpb.AskRequest{Desk: "gate-1", Service: "search", RequestId: fmt.Sprintf("load-%d", n)}, 400*time.Millisecond)
		})
		cl.background.Go(func() {
			id := fmt.Sprintf("once-load-%d", n)
			reply := cl.send(i, tagRequest(id, nil), 400*time.Millisecond)
			if len(reply.GetTicket()) > 0 {
				cl.send((i+1)%numHosts, tagRequest(id, reply.GetTicket()), 400*time.Millisecond)
			}
		})
	}
}

// A leaf that leaves, by its own report or by the host list, must get no new requests from any host
// after drainBound, while homes move and the platform has an outage.
func TestInvariantDraining(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		address := anyLeaf(rapid.IntRange(0, 15).Draw(rt, "leaf"))
		listed := rapid.Bool().Draw(rt, "listed")
		killed := rapid.IntRange(-1, numHosts-1).Draw(rt, "killed")
		inOutage := !listed && rapid.Bool().Draw(rt, "outage")
		failOnViolations(rt, withCluster(t, func(_ *testing.T, cl *cluster) {
			cl.drainLeaf(address, listed, killed, inOutage)
		}))
	})
}

// drainLeaf drains a leaf under load, restarts it, and checks that it got no request later than
// drainBound after the drain began, and got requests again after the restart. If listed is set, the
// host list announces that the leaf is leaving, otherwise the leaf reports it itself. killed is the
// host that is killed and started again during the drain, or -1 for none. If inOutage is set, the
// platform has an outage during the drain.
func (cl *cluster) drainLeaf(address string, listed bool, killed int, inOutage bool) {
	stop := make(chan struct{})
	cl.background.Go(func() { cl.steadyLoad(stop) })
	time.Sleep(time.Second)
	cl.platform.SetOutage(inOutage)
	begin := time.Now()
	if listed {
		_ = cl.platform.Announce(context.Background(), leafHost(address, platformpb.HostState_HOST_LEAVING, 1))
	} else {
		cl.fleet.SetFaults(address, leaffake.Faults{Draining: true})
	}
	time.Sleep(2 * time.Second)
	if killed >= 0 {
		cl.killHost(killed)
		cl.start(killed)
	}
	time.Sleep(12 * time.Second)
	for _, at := range cl.fleet.Arrivals(address) {
		if at.After(begin.Add(drainBound)) {
			cl.violationf("draining: %s got a request %v after it began to leave", address, at.Sub(begin))
			break
		}
	}
	cl.platform.SetOutage(false)
	cl.fleet.Restart(address)
	_ = cl.platform.Announce(context.Background(), leafHost(address, platformpb.HostState_LIVE, 2))
	restarted := time.Now()
	time.Sleep(40 * time.Second)
	if arrivals := cl.fleet.Arrivals(address); len(arrivals) == 0 || !arrivals[len(arrivals)-1].After(restarted) {
		cl.violationf("draining: %s got no request after its restart", address)
	}
	close(stop)
}

// A graceful shutdown of one host, or of two at once, must not interrupt requests in flight.
func TestInvariantGracefulStop(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.IntRange(0, numHosts-1).Draw(rt, "first")
		both := rapid.Bool().Draw(rt, "both")
		inOutage := rapid.Bool().Draw(rt, "outage")
		slow := time.Duration(rapid.SampledFrom([]int{0, 50, 500, 3000, 4000}).Draw(rt, "slow ms")) * time.Millisecond
		failOnViolations(rt, withCluster(t, func(_ *testing.T, cl *cluster) {
			cl.fleet.SetFaults(leafAddress(0), leaffake.Faults{Slow: slow})
			cl.fleet.SetFaults(leafAddress(1), leaffake.Faults{Slow: slow})
			cl.runGracefulShutdown(first, both, inOutage)
		}))
	})
}

// runGracefulShutdown shuts down one or two hosts gracefully under load, and checks that no request
// failed because of it.
func (cl *cluster) runGracefulShutdown(first int, both, inOutage bool) {
	stop := make(chan struct{})
	cl.background.Go(func() { cl.steadyLoad(stop) })
	time.Sleep(time.Second)
	cl.platform.SetOutage(inOutage)
	cl.background.Go(func() { cl.stopHost(first) })
	if both {
		cl.background.Go(func() { cl.stopHost((first + 1) % numHosts) })
	}
	time.Sleep(10 * time.Second)
	close(stop)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, e := range cl.exchanges {
		if isStopFailure(e.reply.GetReason()) {
			cl.violations = append(cl.violations, fmt.Sprintf("graceful shutdown: %s got %v %v", e.ask.GetRequestId(), e.reply.GetOutcome(), e.reply.GetReason()))
		}
	}
}

// isStopFailure reports whether a reason can result from the stop of a host; refusals for lack of
// capacity cannot.
func isStopFailure(reason callerpb.Reason) bool {
	switch reason {
	case callerpb.Reason_PEER_LOST, callerpb.Reason_NOT_READY, callerpb.Reason_TICKET_HOST_GONE,
		callerpb.Reason_LEAF_LOST, callerpb.Reason_CANCELLED, callerpb.Reason_NO_REPLICA:
		return true
	default:
		return false
	}
}

// stopHost performs a graceful shutdown: the balancer stops sending after its lag, and the process
// exits once no request is in flight.
func (cl *cluster) stopHost(i int) {
	h := cl.hosts[i]
	cl.background.Go(func() {
		long := &callerpb.AskRequest{Desk: "gate-1", Service: "search", RequestId: fmt.Sprintf("long-%d", i)}
		if cl.send(i, long, 6*time.Second) == nil {
			cl.violationf("graceful shutdown: a request in flight at host %d was lost", i)
		}
	})
	stopCtx, cancelStop := context.WithCancel(context.Background())
	defer cancelStop()
	h.daemon.BeginStop(stopCtx)
	time.Sleep(time.Second)
	cl.mu.Lock()
	h.stopping = true
	cl.mu.Unlock()
	cl.checkHomesMoved(i)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if inFlight := h.daemon.WaitDrained(ctx); inFlight > 0 {
		cl.violationf("graceful shutdown: %d requests still in flight at host %d", inFlight, i)
	}
	// No request is in flight, so ending the process loses nothing.
	cl.killHost(i)
}

// checkHomesMoved checks that no other host still uses a host that is shutting down as the home of a
// service.
func (cl *cluster) checkHomesMoved(stopping int) {
	name := fmt.Sprintf("entry-%d", stopping)
	for i, h := range cl.hosts {
		if i == stopping || !cl.usable(i) {
			continue
		}
		for _, service := range []string{"search", "tags"} {
			placed, _ := h.daemon.View().Service(service)
			for _, m := range placed.Homes {
				if m.Host == name {
					cl.violationf("graceful shutdown: host %d still has %s as a home of %s", i, name, service)
				}
			}
		}
	}
}

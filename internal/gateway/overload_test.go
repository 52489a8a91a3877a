package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

const (
	// shardServiceTime is the service time of a busyServer.
	shardServiceTime = 20 * time.Millisecond
	// shardQueueLength is the number of requests that may wait at a busyServer.
	shardQueueLength = 12
)

// busyServer is a server with two slots and a queue that reports its load.
type busyServer struct {
	id string
	// serviceTime is how long a request occupies a slot.
	serviceTime time.Duration
	slots       chan struct{}
	mu          sync.Mutex
	// load is the number of requests running and waiting.
	load int
}

func newBusyServer(id string) *busyServer {
	return &busyServer{id: id, serviceTime: shardServiceTime, slots: make(chan struct{}, 2)}
}

// adjustLoad adds delta to the load and returns it as reported and as a count.
func (s *busyServer) adjustLoad(delta int) (Load, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load += delta
	return Load{Known: true, Running: min(s.load, 2), Waiting: max(s.load-2, 0)}, s.load
}

// serve implements behaviour.
func (s *busyServer) serve(ctx context.Context, r *Request) (*Reply, error) {
	load, n := s.adjustLoad(1)
	if n > 2+shardQueueLength {
		s.adjustLoad(-1)
		return nil, &NotRunError{Refused: true, Reason: "full", Load: load}
	}
	defer s.adjustLoad(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(s.serviceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	load, _ = s.adjustLoad(0)
	load.Waiting = max(load.Waiting-1, 0)
	return &Reply{Status: http.StatusOK, Body: []byte("record-000000001"), Signature: s.id + "/" + r.ID, Load: load}, nil
}

// rankedConfig adds two routes over the same shards with the ranks 1 (high) and 2 (low).
func rankedConfig(shards int) route.Config {
	c := shardedConfig(1, shards)
	high, low := c.Routes[0], c.Routes[0]
	high.Name, high.Prefix, high.Priority, high.Timeout = "high", "/high/", 1, 3*time.Second
	low.Name, low.Prefix, low.Priority, low.Timeout = "low", "/low/", 2, 3*time.Second
	c.Routes = append(c.Routes, high, low)
	return c
}

// outcomeCounts counts the requests of one route by their outcome.
type outcomeCounts struct {
	sent, inTime, late, refused, other int
	// slowRefusals counts refusals that took more than a tenth of the objective.
	slowRefusals int
}

func (s *outcomeCounts) add(a Answer, took, objective time.Duration) {
	s.sent++
	switch {
	case a.Outcome == Gathered && took <= objective:
		s.inTime++
	case a.Outcome == Gathered:
		s.late++
	case a.Outcome == NotRun:
		s.refused++
		if took > objective/10 {
			s.slowRefusals++
		}
	default:
		s.other++
	}
}

// steadyLoad sends requests to four hosts in turn, for each path at its rate per second.
func (cl *cluster) steadyLoad(duration time.Duration, perSecond map[string]int) map[string]*outcomeCounts {
	results := map[string]*outcomeCounts{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	hosts := []string{"host1", "host2", "host3", "host4"}
	for path, rate := range perSecond {
		s := &outcomeCounts{}
		results[path] = s
		for i := range int(duration.Seconds() * float64(rate)) {
			wg.Add(1)
			time.AfterFunc(time.Duration(i)*time.Second/time.Duration(rate), func() {
				defer wg.Done()
				mu.Lock()
				r := cl.newRequest(path)
				mu.Unlock()
				r.Timeout = 3 * time.Second
				a := cl.hosts[hosts[i%len(hosts)]].Serve(cl.ctx, r)
				mu.Lock()
				defer mu.Unlock()
				s.add(a, time.Since(r.Arrived), 200*time.Millisecond)
			})
		}
	}
	wg.Wait()
	return results
}

// Under three times the load that the servers can take, admission control must keep their capacity
// in use for requests that are still in time, mostly of the higher rank, and refuse the rest early.
func TestThreeTimesTheCallers(t *testing.T) {
	const shards = 6
	// capacity is the rate in requests per second of two servers with two slots for each shard.
	const capacity = 200
	withCluster(t, rankedConfig(shards), serversOf(shardNames(shards), "a1", "a2"), oneRegion, func(cl *cluster) {
		for _, s := range serversOf(shardNames(shards), "a1", "a2") {
			cl.backends.set(s.ID, newBusyServer(s.ID).serve)
		}
		cl.steadyLoad(2*time.Second, map[string]int{"/high/x": capacity / 4, "/low/x": capacity / 4})
		results := cl.steadyLoad(4*time.Second, map[string]int{"/high/x": 2 * capacity, "/low/x": capacity})
		high, low := results["/high/x"], results["/low/x"]
		t.Logf("high %+v, low %+v", *high, *low)
		assert.Assert(t, high.inTime+low.inTime > capacity*4*8/10, "in time: %d and %d", high.inTime, low.inTime)
		assert.Assert(t, high.inTime > 5*low.inTime, "in time: %d of the higher rank, %d of the lower", high.inTime, low.inTime)
		assert.Assert(t, low.inTime > 0, "the lower rank is starved")
		assert.Assert(t, high.late+low.late < (high.inTime+low.inTime)/10, "late: %d and %d", high.late, low.late)
		slow, refused := high.slowRefusals+low.slowRefusals, high.refused+low.refused
		assert.Assert(t, slow < refused/20, "%d of %d refusals took more than a tenth of the objective", slow, refused)
		assert.Equal(t, high.other+low.other, 0)
		after := cl.steadyLoad(2*time.Second, map[string]int{"/high/x": capacity / 4, "/low/x": capacity / 4})
		assert.Assert(t, after["/high/x"].inTime > after["/high/x"].sent*9/10, "after the overload: %+v", *after["/high/x"])
	})
}

// A request that is refused in an overload must not have been sent, and the refusal says when to
// retry.
func TestRefusedInAnOverloadWasNotSent(t *testing.T) {
	withCluster(t, rankedConfig(1), serversOf(shardNames(1), "a1"), oneHost, func(cl *cluster) {
		server := newBusyServer("shard0@a1")
		cl.backends.set("shard0@a1", server.serve)
		ctx, cancel := context.WithCancel(cl.ctx)
		defer cancel()
		var mu sync.Mutex
		refused := map[string]bool{}
		for range 600 {
			r := cl.newRequest("/low/x")
			go func() {
				if a := cl.hosts["host1"].Serve(ctx, r); a.Cause == CauseOverloaded {
					mu.Lock()
					defer mu.Unlock()
					refused[r.ID] = true
					assert.Check(t, a.Outcome == NotRun && a.RetryAfter > 0, "%+v", a)
				}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, len(refused) > 100, "%d of 600 refused", len(refused))
		cl.backends.mu.Lock()
		defer cl.backends.mu.Unlock()
		for _, arrival := range cl.backends.requests["shard0@a1"] {
			assert.Assert(t, !refused[arrival.request], "%s was refused and also sent", arrival.request)
		}
	})
}

// A relay must report refusals at once rather than together with the parts of slower servers.
func TestRelayTellsRefusalsAtOnce(t *testing.T) {
	hosts := []hostSpec{{"host1", "a1", "a"}, {"host2", "b1", "b"}}
	servers := append(serversOf(shardNames(3), "b1"), serversOf([]string{"shard0"}, "c1")...)
	withCluster(t, shardedConfig(1, 3), servers, hosts, func(cl *cluster) {
		cl.backends.set("shard0@b1", shed)
		cl.backends.set("shard1@b1", serve("shard1@b1", 150*time.Millisecond))
		cl.backends.set("shard2@b1", serve("shard2@b1", 150*time.Millisecond))
		start := time.Now()
		cl.backends.set("shard0@c1", func(ctx context.Context, r *Request) (*Reply, error) {
			assert.Check(t, time.Since(start) < 15*time.Millisecond, "the call to the other server began after %v", time.Since(start))
			return serve("shard0@c1", leafServiceTime)(ctx, r)
		})
		a := cl.ask("host1", "/q/x")
		assert.Equal(t, a.Outcome, Gathered, fmt.Sprint(a.Reason))
		assert.Equal(t, cl.backends.arrivals("shard0@c1"), 1)
	})
}

// BenchmarkServerWait measures the wait estimate of a query over 140 shards.
func BenchmarkServerWait(b *testing.B) {
	const shards = 140
	f := newFleet(location{domain: "a1", region: "a"}, 10*time.Second)
	now := time.Now()
	f.update(serversOf(shardNames(shards), "a1", "a2"), func(discovery.Server) control.Share { return control.Share{Conns: 3, CallerCount: 3} }, now)
	q := &query{state: fanout.New(fanout.Settings{Shards: shards, MinShare: 0.9})}
	for _, name := range shardNames(shards) {
		g := f.group(name)
		g.set.ReportQueue(0, 3, shardServiceTime, now)
		q.groups = append(q.groups, g)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.serverWait(now)
	}
}

// The wait statistics of a route must be dropped when the route is removed.
func TestCallerWaitsOfRemovedRoutesAreDropped(t *testing.T) {
	withCluster(t, rankedConfig(1), serversOf(shardNames(1), "a1"), oneHost, func(cl *cluster) {
		cl.ask("host1", "/low/x")
		cl.ask("host1", "/q/x")
		assert.Equal(t, cl.hosts["host1"].callerWaitCount(), 2)
		cl.store.PutConfig(shardedConfig(2, 1))
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.hosts["host1"].callerWaitCount(), 1)
	})
}

// callerWaitCount returns the number of routes with statistics of how long callers have waited.
func (g *Gateway) callerWaitCount() int {
	g.callerWaitsMu.Lock()
	defer g.callerWaitsMu.Unlock()
	return len(g.callerWaits)
}

// The time for which a server was idle before a call must not count as time without a reply.
func TestIdleTimeIsNoSilenceOfAServer(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"shard0"}, "a1"), oneHost, func(cl *cluster) {
		f := cl.hosts["host1"].fleet
		b, g := f.server("shard0@a1"), f.group("shard0")
		timeBudget := replica.TimeBudget{Objective: 100 * time.Millisecond, Remaining: 50 * time.Millisecond}
		first, err := g.takeSlot(b, timeBudget, time.Now())
		assert.NilError(t, err)
		first.end(callEnd{result: callServed, elapsed: shardServiceTime, atServer: shardServiceTime, load: Load{Known: true}}, time.Now())
		time.Sleep(5 * time.Second)
		_, err = g.takeSlot(b, timeBudget, time.Now())
		assert.NilError(t, err)
		_, run := g.earliestCompletion(nil, time.Now())
		assert.Equal(t, run, shardServiceTime)
	})
}

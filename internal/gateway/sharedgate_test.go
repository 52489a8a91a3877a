package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mallowgap/mallowgap/internal/control/fakestore"
)

// manyHosts is the number of hosts of the tests of shared gates.
const manyHosts = 40

// withManyHosts runs a test on hosts that decide on admission together, with busy servers of six shards
// that take up to 200 queries a second.
func withManyHosts(t *testing.T, minHosts uint32, run func(cl *cluster, names []string)) {
	const shards = 6
	var specs []hostSpec
	var names []string
	for i := range manyHosts {
		specs = append(specs, hostSpec{fmt.Sprintf("h%02d", i), []string{"a1", "a2"}[i%2], "a"})
		names = append(names, specs[i].name)
	}
	config := rankedConfig(shards)
	withCluster(t, config, serversOf(shardNames(shards), "a1", "a2"), nil, func(cl *cluster) {
		for _, s := range serversOf(shardNames(shards), "a1", "a2") {
			cl.backends.set(s.ID, newBusyServer(s.ID).serve)
		}
		for i, spec := range specs {
			file := settingsOf(cl.t, spec)
			file.Listen.Peers = fmt.Sprintf("127.0.0.1:%d", 2000+i)
			file.Coordination.MinHosts = minHosts
			cl.startOn(file, &fakestore.Partitioned{Store: cl.store})
		}
		time.Sleep(3 * time.Second)
		run(cl, names)
	})
}

// offer sends requests to the hosts in turn at a rate per second, and returns the answers.
func (cl *cluster) offer(hosts []string, perSecond int, duration time.Duration) []Answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []Answer
	for i := range int(duration.Seconds() * float64(perSecond)) {
		wg.Add(1)
		time.AfterFunc(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			defer wg.Done()
			r := cl.newRequest("/high/x")
			r.Timeout = 3 * time.Second
			a := cl.hosts[hosts[i%len(hosts)]].Serve(cl.ctx, r)
			mu.Lock()
			defer mu.Unlock()
			if a.Outcome == Gathered && time.Since(r.Arrived) > 200*time.Millisecond {
				a.Reason = "late"
			}
			answers = append(answers, a)
		})
	}
	wg.Wait()
	return answers
}

// countOf returns how many answers a condition holds for.
func countOf(answers []Answer, holds func(Answer) bool) int {
	n := 0
	for _, a := range answers {
		if holds(a) {
			n++
		}
	}
	return n
}

func inTime(a Answer) bool { return a.Outcome == Gathered && a.Reason != "late" }

func bySharedGate(a Answer) bool { return strings.Contains(a.Reason, "gate of all hosts") }

func overloaded(a Answer) bool { return a.Cause == CauseOverloaded }

// Hosts with few requests each refuse by the verdict of the coordinator, and the servers stay useful.
func TestHostsRefuseByTheSharedGate(t *testing.T) {
	withManyHosts(t, manyHosts, func(cl *cluster, names []string) {
		calm := cl.offer(names, 40, 3*time.Second)
		assert.Equal(t, countOf(calm, inTime), len(calm), "%+v", calm)
		burst := cl.offer(names, 600, 4*time.Second)
		refused, shared := countOf(burst, overloaded), countOf(burst, bySharedGate)
		t.Logf("%d of %d in time, %d refused, %d of them by the shared gate", countOf(burst, inTime), len(burst), refused, shared)
		assert.Assert(t, shared > refused*9/10, "%d refused, %d of them by the shared gate", refused, shared)
		assert.Assert(t, countOf(burst, inTime) > 200*4*7/10, "%d in time", countOf(burst, inTime))
	})
}

// A smaller fleet decides as before: every host alone.
func TestFewHostsDecideAlone(t *testing.T) {
	withManyHosts(t, manyHosts+1, func(cl *cluster, names []string) {
		burst := cl.offer(names, 600, 2*time.Second)
		assert.Assert(t, countOf(burst, overloaded) > 0)
		assert.Equal(t, countOf(burst, bySharedGate), 0)
	})
}

// The text format of metrics has fewer escapes than Go.
func TestServicesAreEscapedInMetrics(t *testing.T) {
	assert.Equal(t, gateMetric("refused_share", "a\t\"b"), "mallowgap_shared_gate_refused_share{service=\"a\t\\\"b\"}")
}

// loadedServers returns how many servers a host was told to be loaded.
func (cl *cluster) loadedServers(host string) int {
	n := 0
	for _, s := range cl.hosts[host].fleet.servers() {
		g := cl.hosts[host].fleet.group(s.Service)
		g.mu.Lock()
		for i, b := range g.members {
			if b.ID == s.ID && g.set.ToldWait(i, time.Now()) > 0 {
				n++
			}
		}
		g.mu.Unlock()
	}
	return n
}

// A host without requests learns from the calls of others which servers are loaded, and that they no
// longer are; in calm, and in a smaller fleet, nobody is told anything.
func TestIdleHostsLearnLoads(t *testing.T) {
	for minHosts, shared := range map[uint32]bool{manyHosts: true, manyHosts + 1: false} {
		withManyHosts(t, minHosts, func(cl *cluster, names []string) {
			busy, idle := names[:manyHosts/2], names[manyHosts-1]
			cl.offer(busy, 40, 2*time.Second)
			assert.Equal(t, cl.loadedServers(idle), 0)
			time.AfterFunc(900*time.Millisecond, func() {
				assert.Check(t, (cl.loadedServers(idle) >= 6) == shared, "%d", cl.loadedServers(idle))
			})
			cl.offer(busy, 300, time.Second)
			time.Sleep(time.Second)
			assert.Equal(t, cl.loadedServers(idle), 0)
		})
	}
}

// Where requests run long, a host without requests learns from the starts of others which server is full
// before anything ends there, and requests that must not be repeated run once.
func TestIdleHostsLearnStarts(t *testing.T) {
	withManyHosts(t, manyHosts, func(cl *cluster, names []string) {
		busy, idle := names[:manyHosts/2], names[manyHosts-1]
		servers := serversOf([]string{"single"}, "a1", "a2", "b1")
		for _, s := range servers {
			b := newBusyServer(s.ID)
			b.serviceTime = 300 * time.Millisecond
			cl.backends.set(s.ID, b.serve)
			cl.store.PutServer(s)
		}
		time.Sleep(2 * time.Second)
		ask := func(n int, interval time.Duration) {
			for i := range n {
				r := cl.newRequest("/once/x")
				go func() { assert.Check(t, is.Equal(cl.hosts[busy[i]].Serve(cl.ctx, r).Outcome, Forwarded)) }()
				time.Sleep(interval)
			}
		}
		ask(12, 500*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, cl.loadedServers(idle), 0)
		assert.Assert(t, cl.hosts[idle].fleet.group("single").set.LongRuns())
		ask(6, 10*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, cl.loadedServers(idle) > 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.loadedServers(idle), 0)
		assert.Equal(t, cl.backends.arrivals("single"), 18)
	})
}

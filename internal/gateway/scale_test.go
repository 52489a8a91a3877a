package gateway

import (
	"context"
	"fmt"
	"math/bits"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/internal/explain"
)

// hostsIn returns n hosts of one failure domain.
func hostsIn(prefix string, n int, domain, region string) []hostSpec {
	var hosts []hostSpec
	for i := range n {
		hosts = append(hosts, hostSpec{fmt.Sprint(prefix, i), domain, region})
	}
	return hosts
}

// askMany sends n requests at the same moment and returns their answers and latencies.
func (cl *cluster) askMany(n int, host, path string) (answers []Answer, took []time.Duration) {
	answers, took = make([]Answer, n), make([]time.Duration, n)
	var wg sync.WaitGroup
	for i := range n {
		r := cl.newRequest(path)
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = cl.hosts[host].Serve(cl.ctx, r)
			took[i] = time.Since(r.Arrived)
		}()
	}
	wg.Wait()
	return answers, took
}

// Hosts must soon avoid relays that were lost, even if half of a region's are.
func TestHalfOfTheRelaysLostAtOnce(t *testing.T) {
	hosts := append(hostsIn("b", 4, "b1", "b"), hostSpec{"host1", "a1", "a"})
	withCluster(t, shardedConfig(1, 6), serversOf(shardNames(6), "b1"), hosts, func(cl *cluster) {
		cl.peers.cutOff(cl.hosts["b0"])
		cl.peers.cutOff(cl.hosts["b1"])
		failed := 0
		for range 20 {
			if a := cl.ask("host1", "/q/x"); a.Outcome != Gathered {
				failed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, failed <= 4, "%d of 20 queries failed before the lost relays were avoided", failed)
		assert.Equal(t, cl.ask("host1", "/q/x").Gathered.Missing, 0)
	})
}

// The loss of a region must cost no part if another region has servers of all shards.
func TestRegionCutOff(t *testing.T) {
	withCluster(t, shardedConfig(1, 6), serversOf(shardNames(6), "b1", "c1"), threeRegions, func(cl *cluster) {
		cl.peers.cutOff(cl.hosts["host2"])
		for _, shard := range shardNames(6) {
			cl.backends.set(shard+"@b1", silent)
		}
		for range 20 {
			a := cl.ask("host1", "/q/x")
			assert.Equal(t, a.Outcome, Gathered)
			assert.Equal(t, a.Gathered.Missing, 0)
		}
	})
}

// A host that gets far more requests than its servers can take must serve or refuse each of them in
// time, and recover afterwards.
func TestFloodedHost(t *testing.T) {
	servers := serversOf([]string{"single"}, "a1")
	withCluster(t, shardedConfig(1, 1), servers, oneHost, func(cl *cluster) {
		answers, took := cl.askMany(500, "host1", "/once/x")
		served := 0
		for i, a := range answers {
			switch a.Outcome {
			case Forwarded:
				served++
			case NotRun:
				assert.Assert(t, took[i] <= 50*time.Millisecond, "refused after %v", took[i])
				assert.Assert(t, a.RetryAfter > 0)
			default:
				t.Errorf("%v: %s", a.Outcome, a.Reason)
			}
		}
		assert.Assert(t, served > 0)
		assert.Equal(t, cl.backends.arrivals("single"), served, "refused requests must not have been sent")
		assert.Equal(t, cl.ask("host1", "/once/x").Outcome, Forwarded)
	})
}

// The strongest host of a region reads the store for the others. If it is lost, requests must still
// be served, and servers that drain meanwhile must get no new requests.
func TestStrongestHostLost(t *testing.T) {
	servers := serversOf([]string{"single"}, "a1", "a2")
	withCluster(t, shardedConfig(1, 1), servers, oneRegion, func(cl *cluster) {
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(cl.ctx)
		defer cancel()
		cl.hosts["host1"].adapters.Store.(*fakestore.Partitioned).Cut.Store(true)
		cl.peers.cutOff(cl.hosts["host1"])
		drained := discovery.Server{ID: servers[0].ID, Service: "single", Address: servers[0].Address, Domain: "a1", Slots: 2, Draining: true}
		cl.store.PutServer(drained)
		time.Sleep(3 * time.Second)
		before := cl.backends.arrivals(drained.ID)
		for range 10 {
			assert.Equal(t, cl.askCtx(ctx, "host4", "/one/x").Outcome, Forwarded)
		}
		assert.Equal(t, cl.backends.arrivals(drained.ID), before)
	})
}

// putHosts registers n more hosts of a domain that exist only as store entries.
func (cl *cluster) putHosts(n int, domain, region string) {
	for i := range n {
		name := fmt.Sprint(domain, "-other", i)
		value, err := proto.Marshal(&relaypb.Host{Name: name, Address: "192.0.2.1:1", Domain: domain, Region: region})
		assert.NilError(cl.t, err)
		cl.store.Apply(control.Entry{Kind: relaypb.EntryKind_HOST, Name: name, Value: value})
	}
	time.Sleep(time.Second)
}

// The rate of probes of a slow server must be shared by all hosts: if each host probed on its own,
// a large fleet would send most queries to slow servers.
func TestSlowServerIsProbedByTheWholeFleetTogether(t *testing.T) {
	withCluster(t, shardedConfig(1, 4), serversOf(shardNames(4), "a1", "a2"), oneHost, func(cl *cluster) {
		cl.putHosts(59, "c1", "c")
		cl.backends.set("shard0@a1", serve("shard0@a1", 150*time.Millisecond))
		for range 10 {
			cl.ask("host1", "/q/x")
			time.Sleep(100 * time.Millisecond)
		}
		before := cl.backends.arrivals("shard0@a1")
		for range 20 {
			cl.ask("host1", "/q/x")
			time.Sleep(1500 * time.Millisecond)
		}
		probes := cl.backends.arrivals("shard0@a1") - before
		assert.Assert(t, probes >= 1 && probes <= 4, "%d probes in 30 s", probes)
	})
}

// A host must learn from a relay which servers are slow, without calling them itself: with few
// queries on each of many hosts, learning alone takes too long.
func TestHostsLearnOfSlowServersFromTheRelay(t *testing.T) {
	hosts := append(hostsIn("a", 2, "a1", "a"), hostSpec{"relay", "b1", "b"})
	config := shardedConfig(1, 6)
	others := *config.Routes[0].Query
	others.Shards = others.Shards[1:]
	config.Routes = append(config.Routes, config.Routes[0])
	config.Routes[3].Name, config.Routes[3].Prefix, config.Routes[3].Query = "others", "/others/", &others
	withCluster(t, config, serversOf(shardNames(6), "b1", "c1"), hosts, func(cl *cluster) {
		time.Sleep(reportWarmup)
		cl.backends.set("shard0@b1", serve("shard0@b1", 150*time.Millisecond))
		for range 30 {
			cl.ask("a0", "/q/x")
			cl.ask("relay", "/q/x")
			time.Sleep(100 * time.Millisecond)
		}
		for range 10 {
			cl.ask("a1", "/others/x")
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, cl.hosts["a1"].fleet.expected("shard0", "b1") > 100*time.Millisecond, "a1 must know the latency without having called the server")
		before := cl.backends.arrivals("shard0@b1")
		for range 3 {
			cl.ask("a1", "/q/x")
			time.Sleep(300 * time.Millisecond)
		}
		assert.Assert(t, cl.backends.arrivals("shard0@b1") <= before+1, "%d requests reached the slow server, at most one probe expected", cl.backends.arrivals("shard0@b1")-before)

		cl.backends.set("shard0@b1", nil)
		for range 30 {
			cl.ask("relay", "/q/x")
			time.Sleep(time.Second)
		}
		for range 5 {
			cl.ask("a1", "/q/x")
			time.Sleep(time.Second)
		}
		assert.Equal(t, cl.hosts["a1"].fleet.avoided("shard0"), 0, "a server that has recovered must not be avoided")
	})
}

// "mallowgap explain" must show the report of a slow server for later requests, not only for the
// request that carried it.
func TestReportOfASlowServerExplainsLaterRequests(t *testing.T) {
	hosts := append(hostsIn("a", 1, "a1", "a"), hostSpec{"relay", "b1", "b"})
	late := settingsOf(t, hostSpec{"late", "a1", "a"})
	withCluster(t, shardedConfig(1, 6), serversOf(shardNames(6), "b1"), hosts, func(cl *cluster) {
		var log strings.Builder
		cl.log = zerolog.New(zerolog.SyncWriter(&log)).With().Timestamp().Str("host", "late").Logger()
		cl.startOn(late, cl.store)
		time.Sleep(reportWarmup)
		cl.backends.set("shard0@b1", serve("shard0@b1", 300*time.Millisecond))
		for range 20 {
			cl.ask("a0", "/q/x")
			cl.ask("late", "/q/x")
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		lines, _, err := explain.Read(strings.NewReader(log.String()))
		assert.NilError(t, err)
		var explanation strings.Builder
		assert.NilError(t, explain.HistoryOf(lines, fmt.Sprint("r", cl.nextID.Load())).Write(&explanation))
		assert.Assert(t, strings.Contains(explanation.String(), "servers are slow, as a peer near them reports"), explanation.String())
	})
}

// expected returns the expected latency of the server of a service in a domain.
func (f *fleet) expected(service, domain string) time.Duration {
	g := f.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, b := range g.members {
		if b.Domain == domain {
			return g.set.Expected(i, time.Now())
		}
	}
	return 0
}

// avoided returns the number of servers of a service that are avoided now.
func (f *fleet) avoided(service string) int {
	g := f.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	return bits.OnesCount64(g.set.AvoidedMask(time.Now()))
}

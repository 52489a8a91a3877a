package gateway

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

// coldConfig returns a configuration that limits cold servers to a rate of requests.
func coldConfig(perSecond float64) route.Config {
	c := shardedConfig(1, 4)
	for i := range c.Services {
		c.Services[i].ColdPerSecond, c.Services[i].ColdDuration = perSecond, 3*time.Second
	}
	return c
}

// coldServers returns the servers with those of one domain cold for a time.
func coldServers(servers []discovery.Server, domain string, cold time.Duration) []discovery.Server {
	servers = slices.Clone(servers)
	for i := range servers {
		if servers[i].Domain == domain {
			servers[i].ColdDuration = cold
		}
	}
	return servers
}

var twoRegions = append(hostsIn("a", 4, "a1", "a"), hostsIn("b", 4, "b1", "b")...)

// peakPerSecond returns the largest number of requests that reached any one server of a domain
// within one second, between two times.
func (cl *cluster) peakPerSecond(domain string, from, to time.Time) int {
	cl.backends.mu.Lock()
	defer cl.backends.mu.Unlock()
	most := 0
	for id, arrivals := range cl.backends.requests {
		if !strings.HasSuffix(id, "@"+domain) {
			continue
		}
		for i, a := range arrivals {
			n := 0
			for _, later := range arrivals[i:] {
				if a.at.After(from) && later.at.Before(to) && later.at.Sub(a.at) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// maxColdPerSecond is the limit per server with coldSettings and a service that permits 10 requests
// a second.
const maxColdPerSecond = 10*1.5 + 5

// coldSettings returns settings of hosts with a fixed tolerance for the limit of cold servers.
func coldSettings(t *testing.T, hosts []hostSpec) []*settingspb.Gateway {
	var files []*settingspb.Gateway
	for _, h := range hosts {
		file := settingsOf(t, h)
		file.Cold = &settingspb.ColdSection{Excess: 1.5, Slack: 5}
		files = append(files, file)
	}
	return files
}

// The limit of a cold server must hold for all hosts together while the load is several times that;
// warm servers serve the rest.
func TestColdServersGetNoMoreThanTheyTake(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := serversOf(shardNames(4), "a1", "b1")
	withCluster(t, coldConfig(10), coldServers(servers, "a1", 30*time.Second), nil, func(cl *cluster) {
		names := cl.startAll(files)
		from := time.Now()
		s := cl.steadyQueries(names, 5*time.Second, 100)
		assert.Assert(t, s.inTime > s.sent*95/100, "%d of %d in time", s.inTime, s.sent)
		assert.Assert(t, cl.peakPerSecond("a1", from, time.Now()) <= maxColdPerSecond)
	})
}

// startAll starts gateways, waits until they know each other and returns their names.
func (cl *cluster) startAll(files []*settingspb.Gateway) []string {
	var names []string
	for _, file := range files {
		cl.start(file)
		names = append(names, file.GetHost().GetName())
	}
	time.Sleep(3 * time.Second)
	return names
}

// The limit must hold also if all servers are cold and the hosts have just started, and the
// permitted requests must be used.
func TestOnlyColdServersAreLeft(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := coldServers(coldServers(serversOf(shardNames(4), "a1", "b1"), "a1", 30*time.Second), "b1", 30*time.Second)
	withCluster(t, coldConfig(10), servers, nil, func(cl *cluster) {
		from := time.Now()
		var names []string
		for _, file := range files {
			cl.start(file)
			names = append(names, file.GetHost().GetName())
		}
		cl.steadyQueries(names, 8*time.Second, 100)
		for _, domain := range []string{"a1", "b1"} {
			assert.Assert(t, cl.peakPerSecond(domain, from, time.Now()) <= maxColdPerSecond, "%s: up to %d requests within a second", domain, cl.peakPerSecond(domain, from, time.Now()))
		}
		assert.Assert(t, cl.backends.arrivals("shard0@a1") > 20, "shard0@a1 got %d requests", cl.backends.arrivals("shard0@a1"))
	})
}

// Only a few hosts may call a cold server of a service that every host calls while it is warm.
func TestFewHostsCallAColdServer(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := coldServers(serversOf([]string{"single"}, "a1"), "a1", 30*time.Second)
	withCluster(t, coldConfig(10), servers, nil, func(cl *cluster) {
		cl.startAll(files)
		from := time.Now()
		answered := map[Outcome]int{}
		for range 50 {
			for _, h := range twoRegions {
				answered[cl.ask(h.name, "/one/x").Outcome]++
			}
		}
		assert.Assert(t, answered[Forwarded] > 0 && answered[Forwarded]+answered[NotRun] == 400, "%v", answered)
		assert.Assert(t, cl.peakPerSecond("a1", from, time.Now()) <= maxColdPerSecond)
	})
}

// Servers that have become warm, and cold servers without a configured rate, must not be limited.
func TestWarmServersAreNotLimited(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		cold      time.Duration
	}{"warm": {10, 10 * time.Millisecond}, "no rate configured": {0, time.Minute}} {
		t.Run(name, func(t *testing.T) {
			servers := coldServers(serversOf(shardNames(4), "a1"), "a1", c.cold)
			withCluster(t, coldConfig(c.perSecond), servers, hostsIn("a", 2, "a1", "a"), func(cl *cluster) {
				time.Sleep(2 * time.Second)
				s := cl.steadyQueries([]string{"a0", "a1"}, 2*time.Second, 60)
				assert.Equal(t, s.inTime, s.sent)
			})
		})
	}
}

// The limit must apply as soon as a cold server is added, before the share of each host is computed
// anew.
func TestColdServerIsLimitedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet(location{name: "h", domain: "a1", region: "a"}, time.Second)
	bound := limit.ColdBound{PerSecond: 1, Factor: 1, Slack: 1}
	shares := func(discovery.Server) control.Share { return control.Share{Conns: 5, CallerCount: 1, ColdBound: bound} }
	f.update([]discovery.Server{{ID: "i", Service: "s", Domain: "a1", Slots: 2, ColdUntil: now.Add(time.Minute)}}, shares, now)
	_, err := f.group("s").takeSlot(f.server("i"), replica.TimeBudget{Objective: time.Second, Remaining: time.Second}, now)
	var cold *coldError
	assert.Assert(t, errors.As(err, &cold), "%v", err)
}

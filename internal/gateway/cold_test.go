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

// coldConfig has servers that take little while they are cold.
func coldConfig(perSecond float64) route.Config {
	c := shardedConfig(1, 4)
	for i := range c.Services {
		c.Services[i].ColdPerSecond, c.Services[i].ColdFor = perSecond, 3*time.Second
	}
	return c
}

// coldServers makes the servers of a domain cold for a time.
func coldServers(servers []discovery.Server, domain string, cold time.Duration) []discovery.Server {
	servers = slices.Clone(servers)
	for i := range servers {
		if servers[i].Domain == domain {
			servers[i].Cold = cold
		}
	}
	return servers
}

var twoRegions = append(hostsIn("a", 4, "a1", "a"), hostsIn("b", 4, "b1", "b")...)

// busiestSecond returns the most requests that reached one server of a domain in any second
// of a time.
func (w *world) busiestSecond(domain string, from, to time.Time) int {
	w.leafs.mu.Lock()
	defer w.leafs.mu.Unlock()
	most := 0
	for id, arrivals := range w.leafs.requests {
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

// coldMost is the bound that the settings of these tests and a service with 10 a second give.
const coldMost = 10*1.5 + 5

// coldSettings sets the bound of the pages on the hosts' settings.
func coldSettings(t *testing.T, hosts []hostSpec) []*settingspb.Gateway {
	var files []*settingspb.Gateway
	for _, h := range hosts {
		file := settingsOf(t, h)
		file.Cold = &settingspb.ColdSection{Excess: 1.5, Slack: 5}
		files = append(files, file)
	}
	return files
}

// All servers of a domain are cold under a load of which each would get 50 a second: no
// server gets more than it takes, from all hosts together, and callers are served by the
// others.
func TestColdServersGetNoMoreThanTheyTake(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := serversOf(shardNames(4), "a1", "b1")
	inWorld(t, coldConfig(10), coldServers(servers, "a1", 30*time.Second), nil, func(w *world) {
		names := w.startAll(files)
		from := time.Now()
		s := w.crowdAt(names, 5*time.Second, 100)
		assert.Assert(t, s.inTime > s.asked*95/100, "%d of %d in time", s.inTime, s.asked)
		assert.Assert(t, w.busiestSecond("a1", from, time.Now()) <= coldMost)
	})
}

// startAll starts hosts and waits until they know each other.
func (w *world) startAll(files []*settingspb.Gateway) []string {
	var names []string
	for _, file := range files {
		w.start(file)
		names = append(names, file.GetHost().GetName())
	}
	time.Sleep(3 * time.Second)
	return names
}

// Where every server of the shards is cold the bound holds all the same, also right after
// all hosts started; what they take is used.
func TestOnlyColdServersAreLeft(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := coldServers(coldServers(serversOf(shardNames(4), "a1", "b1"), "a1", 30*time.Second), "b1", 30*time.Second)
	inWorld(t, coldConfig(10), servers, nil, func(w *world) {
		from := time.Now()
		var names []string
		for _, file := range files {
			w.start(file)
			names = append(names, file.GetHost().GetName())
		}
		w.crowdAt(names, 8*time.Second, 100)
		for _, domain := range []string{"a1", "b1"} {
			assert.Assert(t, w.busiestSecond(domain, from, time.Now()) <= coldMost, "%s: %d", domain, w.busiestSecond(domain, from, time.Now()))
		}
		assert.Assert(t, w.leafs.arrivals("shard0@a1") > 20, "%d", w.leafs.arrivals("shard0@a1"))
	})
}

// A single service that every host calls itself when it is warm: few do while it is cold.
func TestFewHostsCallAColdServer(t *testing.T) {
	files := coldSettings(t, twoRegions)
	servers := coldServers(serversOf([]string{"single"}, "a1"), "a1", 30*time.Second)
	inWorld(t, coldConfig(10), servers, nil, func(w *world) {
		w.startAll(files)
		from := time.Now()
		answered := map[Outcome]int{}
		for range 50 {
			for _, h := range twoRegions {
				answered[w.ask(h.name, "/one/x").Outcome]++
			}
		}
		assert.Assert(t, answered[Forwarded] > 0 && answered[Forwarded]+answered[NotRun] == 400, "%v", answered)
		assert.Assert(t, w.busiestSecond("a1", from, time.Now()) <= coldMost)
	})
}

// A server that turns warm is used as before; one of which no bound is known always.
func TestWarmServersAreNotBound(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		cold      time.Duration
	}{"warm": {10, 10 * time.Millisecond}, "no bound known": {0, time.Minute}} {
		t.Run(name, func(t *testing.T) {
			servers := coldServers(serversOf(shardNames(4), "a1"), "a1", c.cold)
			inWorld(t, coldConfig(c.perSecond), servers, hostsIn("a", 2, "a1", "a"), func(w *world) {
				time.Sleep(2 * time.Second)
				s := w.crowdAt([]string{"a0", "a1"}, 2*time.Second, 60)
				assert.Equal(t, s.inTime, s.asked)
			})
		})
	}
}

// A cold server is bound from the moment at which it is known, not only once the parts of all
// servers were worked out anew.
func TestColdServerIsBoundAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet(location{name: "h", domain: "a1", region: "a"}, time.Second)
	bound := limit.ColdBound{PerSecond: 1, Excess: 1, Slack: 1}
	shares := func(discovery.Server) control.Share { return control.Share{Conns: 5, Hosts: 1, Cold: bound} }
	f.update([]discovery.Server{{ID: "i", Service: "s", Domain: "a1", Slots: 2, ColdUntil: now.Add(time.Minute)}}, shares, now)
	_, err := f.group("s").takeSlot(f.server("i"), replica.Due{Objective: time.Second, Left: time.Second}, now)
	var cold *coldError
	assert.Assert(t, errors.As(err, &cold), "%v", err)
}

package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// viewOf returns a view of the hosts from a first to a last in six failure domains, with a
// service of a number of connections that is no shard and one that is.
func viewOf(t *testing.T, first, last, limit int) *View {
	t.Helper()
	hosts := map[string]Host{}
	for i := first; i < last; i++ {
		name := fmt.Sprint("host", i)
		hosts[name] = Host{Name: name, Domain: fmt.Sprint("d", i%6), Strength: 1, Whole: true}
	}
	config := route.Config{
		Version:  1,
		Services: []route.Service{{Name: "single", MaxConns: limit}, {Name: "shard", MaxConns: limit}},
		Routes: []route.Route{
			{Name: "one", Host: "h", Prefix: "/one/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "single", Weight: 1}}},
			{Name: "q", Host: "h", Prefix: "/q/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Idempotent: true,
				Query: &route.Query{Shards: []string{"shard"}, Top: 1, MinShare: 1}},
		},
	}
	return &View{Table: route.NewTable(config), Hosts: byDomain(hosts), chooser: newChooser(byDomain(hosts)), Count: len(hosts)}
}

// callers returns the names of the hosts that call a server, by their own view.
func (v *View) callers(s discovery.Server) map[string]bool {
	own := v.Share(s, 3)
	names := map[string]bool{}
	for _, group := range v.Hosts {
		for _, h := range group {
			if own.Calls(h.Name, h.Domain) {
				names[h.Name] = true
			}
		}
	}
	return names
}

// A service that every host called had 195 connections where 120 are accepted. A server
// still counts the connections of hosts that lost power, so that they must fit twice; and
// hosts that have not heard of each other yet choose differently.
func TestConnectionsStayBelowTheLimitAtAnySize(t *testing.T) {
	for _, hosts := range []int{1, 7, 60, 195, 1000} {
		for _, limit := range []int{1, 2, 5, 26, 60, 120, 1200} {
			for _, service := range []string{"single", "shard"} {
				s := discovery.Server{ID: "i-1", Service: service, Domain: "d0"}
				fresh, stale := viewOf(t, 0, hosts, limit), viewOf(t, hosts/10, hosts+hosts/10, limit)
				own := fresh.Share(s, 3)
				calm := len(fresh.callers(s)) * own.Conns
				assert.Assert(t, calm <= limit, "%d hosts, limit %d, %s: %d connections", hosts, limit, service, calm)
				if limit == 1 {
					continue // One connection cannot be kept for a restart as well.
				}
				assert.Assert(t, 2*calm <= limit, "%d hosts, limit %d, %s: %d connections in a restart", hosts, limit, service, 2*calm)
				union := fresh.callers(s)
				for name := range stale.callers(s) {
					union[name] = true
				}
				conns := max(own.Conns, stale.Share(s, 3).Conns)
				assert.Assert(t, len(union)*conns <= limit, "%d hosts, limit %d, %s: %d connections with two views", hosts, limit, service, len(union)*conns)
			}
		}
	}
}

// A server that only some hosts call is called from all failure domains, and by the same
// hosts when others come and go.
func TestCallersOfAServer(t *testing.T) {
	s := discovery.Server{ID: "i-1", Service: "single", Domain: "d3"}
	v := viewOf(t, 0, 195, 120)
	own := v.Share(s, 3)
	assert.Equal(t, len(own.Callers()), 54)
	domains := map[string]int{}
	for _, h := range own.Callers() {
		domains[h.Domain]++
	}
	assert.Equal(t, len(domains), 6)
	assert.Equal(t, own.Callers()[0].Domain, "d3", "the nearest come first")
	moved := 0
	after := viewOf(t, 10, 195, 120).callers(s)
	for name := range v.callers(s) {
		if !after[name] {
			moved++
		}
	}
	assert.Assert(t, moved <= 10, "%d of 54 changed when 10 of 195 hosts went", moved)
	assert.Assert(t, viewOf(t, 0, 54, 120).Share(s, 3).Callers() == nil, "where all fit, all call it")
	assert.Assert(t, viewOf(t, 0, 195, 0).Share(s, 3).Callers() == nil, "without a limit, all call it")
}

// The entries of a region of hosts lapse and come back within seconds: the parts of the
// retry budget that the others took for theirs were larger meanwhile.
func TestHostsThatWentShareTheBudgetForAWhile(t *testing.T) {
	s := newState(jsonDecoder{}, noListener{}, Host{Name: "host0", Domain: "d0", Region: "r"}, 3, zerolog.Nop())
	now := time.Unix(1000, 0)
	all := fleetEntries(60, 1, 1)
	s.applyReading(Reading{Revision: 1, Entries: all}, now)
	assert.Equal(t, s.view().Sharers, 60)
	now = now.Add(time.Second)
	s.applyReading(Reading{Revision: 2, Entries: all[:20]}, now)
	assert.Equal(t, s.view().Count, 20)
	assert.Equal(t, s.view().Sharers, 60)
	now = now.Add(sharerLife + time.Second)
	s.publish(now)
	assert.Equal(t, s.view().Sharers, 20)
	s.applyReading(Reading{Revision: 3, Entries: fleetEntries(60, 1, 3)}, now)
	assert.Equal(t, s.view().Sharers, 60)
}

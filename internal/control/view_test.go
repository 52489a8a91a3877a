package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// newTestView returns a view of the hosts numbered from first up to, but excluding, last, in
// six failure domains. It has a shard and a service that is not one, both with the given
// connection limit.
func newTestView(t *testing.T, first, last, limit int) *View {
	t.Helper()
	hosts := map[string]Host{}
	for i := first; i < last; i++ {
		name := fmt.Sprint("host", i)
		hosts[name] = Host{Name: name, Domain: fmt.Sprint("d", i%6), Strength: 1, RelaysWhole: true}
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
	return &View{Table: route.NewTable(config), Hosts: groupByDomain(hosts), subsetter: newSubsetter(groupByDomain(hosts)), HostCount: len(hosts)}
}

// callers returns the names of the hosts that call a server according to this view.
func (v *View) callers(s discovery.Server) map[string]bool {
	share := v.Share(s, 3)
	names := map[string]bool{}
	for _, group := range v.Hosts {
		for _, h := range group {
			if share.Calls(h.Name, h.Domain) {
				names[h.Name] = true
			}
		}
	}
	return names
}

// Checks that the connections of all callers stay within a server's limit, also when the
// server still counts those of hosts that lost power, and when two sets of hosts choose
// callers from different views.
func TestConnectionsStayBelowTheLimitAtAnySize(t *testing.T) {
	for _, hosts := range []int{1, 7, 60, 195, 1000} {
		for _, limit := range []int{1, 2, 5, 26, 60, 120, 1200} {
			for _, service := range []string{"single", "shard"} {
				s := discovery.Server{ID: "i-1", Service: service, Domain: "d0"}
				fresh, stale := newTestView(t, 0, hosts, limit), newTestView(t, hosts/10, hosts+hosts/10, limit)
				share := fresh.Share(s, 3)
				total := len(fresh.callers(s)) * share.Conns
				assert.Assert(t, total <= limit, "%d hosts, limit %d, %s: %d connections", hosts, limit, service, total)
				if limit == 1 {
					continue // A limit of one leaves no room for restarts.
				}
				assert.Assert(t, 2*total <= limit, "%d hosts, limit %d, %s: %d connections in a restart", hosts, limit, service, 2*total)
				union := fresh.callers(s)
				for name := range stale.callers(s) {
					union[name] = true
				}
				conns := max(share.Conns, stale.Share(s, 3).Conns)
				assert.Assert(t, len(union)*conns <= limit, "%d hosts, limit %d, %s: %d connections with two views", hosts, limit, service, len(union)*conns)
			}
		}
	}
}

// Checks that the callers of a server are spread over all failure domains and change little
// when hosts come and go.
func TestSubsetIsSpreadAndStable(t *testing.T) {
	s := discovery.Server{ID: "i-1", Service: "single", Domain: "d3"}
	v := newTestView(t, 0, 195, 120)
	share := v.Share(s, 3)
	assert.Equal(t, len(share.Callers()), 54)
	domains := map[string]int{}
	for _, h := range share.Callers() {
		domains[h.Domain]++
	}
	assert.Equal(t, len(domains), 6)
	assert.Equal(t, share.Callers()[0].Domain, "d3", "expected the nearest hosts first")
	replaced := 0
	after := newTestView(t, 10, 195, 120).callers(s)
	for name := range v.callers(s) {
		if !after[name] {
			replaced++
		}
	}
	assert.Assert(t, replaced <= 10, "%d of 54 changed when 10 of 195 hosts went", replaced)
	assert.Assert(t, newTestView(t, 0, 54, 120).Share(s, 3).Callers() == nil, "expected all hosts to call a server that accepts enough connections")
	assert.Assert(t, newTestView(t, 0, 195, 0).Share(s, 3).Callers() == nil, "expected all hosts to call a server without a limit")
}

// Guards against hosts enlarging their shares of the retry budget when the entries of a
// region disappear for a few seconds.
func TestHostsThatWentShareTheBudgetForAWhile(t *testing.T) {
	s := newState(jsonDecoder{}, noopListener{}, Host{Name: "host0", Domain: "d0", Region: "r"}, testHeartbeat, 3, zerolog.Nop())
	now := time.Unix(1000, 0)
	all := fleetEntries(60, 1, 1)
	s.registry.Contact.Heard(now, time.Minute)
	s.applyBatch(Batch{Revision: 1, Entries: all}, now)
	assert.Equal(t, s.view().BudgetSharers, 60)
	now = now.Add(time.Second)
	s.registry.Contact.Heard(now, 0)
	s.applyBatch(Batch{Revision: 2, Entries: all[:20]}, now)
	assert.Equal(t, s.view().HostCount, 20)
	assert.Equal(t, s.view().BudgetSharers, 60)
	now = now.Add(sharerGrace + time.Second)
	s.publish(now)
	assert.Equal(t, s.view().BudgetSharers, 20)
	s.applyBatch(Batch{Revision: 3, Entries: fleetEntries(60, 1, 3)}, now)
	assert.Equal(t, s.view().BudgetSharers, 60)
}

// panickingListener panics at a change of servers, like a fault in the request path.
type panickingListener struct{ noopListener }

func (panickingListener) ServersChanged([]discovery.Server, func(discovery.Server) Share, time.Time) {
	panic("injected by the test")
}

// A panic while a state is published must not end the process, and must not keep followers and waiting
// requests from hearing of the state.
func TestPanicOfAListenerDoesNotEndTheControlState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newState(jsonDecoder{}, panickingListener{}, Host{Name: "host0", Domain: "d0", Region: "r"}, testHeartbeat, 3, zerolog.Nop())
		go s.run(ctx)
		changed := s.changed
		s.do(ctx, func() { s.applyBatch(Batch{Revision: 1, Entries: fleetEntries(60, 1, 1)}, time.Now()) })
		select {
		case <-changed:
		default:
			t.Error("followers were not told")
		}
		assert.Equal(t, s.view().HostCount, 60)
		s.do(ctx, func() { panic("injected by the test") })
		s.do(ctx, func() {
			s.registry.Contact.Heard(time.Now(), 0)
			s.applyBatch(Batch{Revision: 2, Entries: fleetEntries(20, 1, 2)}, time.Now())
		})
		assert.Equal(t, s.view().HostCount, 20)
		cancel()
		synctest.Wait()
	})
}

package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
)

var start = time.Unix(1000, 0)

func ids(r *discovery.Registry) []string {
	var ids []string
	for _, s := range r.Servers() {
		ids = append(ids, s.ID)
	}
	return ids
}

func put(r *discovery.Registry, ids ...string) {
	for _, id := range ids {
		r.Put(discovery.Server{ID: id}, start)
	}
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	r := discovery.NewRegistry()
	put(r, "a", "b")
	r.Remove("a", start)
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestLapsedServerIsKeptForReturnGrace(t *testing.T) {
	r := discovery.NewRegistry()
	put(r, "a", "b", "c")
	r.StoreLost()
	regained := start.Add(10 * time.Second)
	assert.Assert(t, r.StoreRecovered(regained))
	r.Remove("a", regained)
	r.Remove("b", regained)
	assert.DeepEqual(t, ids(r), []string{"a", "b", "c"})
	r.Put(discovery.Server{ID: "a"}, regained)
	assert.Equal(t, len(r.Expire(regained.Add(time.Second))), 0)
	expired := r.Expire(regained.Add(discovery.ReregistrationGrace))
	assert.Equal(t, len(expired), 1)
	assert.DeepEqual(t, ids(r), []string{"a", "c"})
	r.Remove("c", regained.Add(discovery.ReregistrationGrace))
	assert.DeepEqual(t, ids(r), []string{"a"})
}

// Guards against a delayed registration of an earlier process replacing that of its
// successor under the same identifier.
func TestLaterProcessUnderTheSameIdentifier(t *testing.T) {
	r := discovery.NewRegistry()
	first := discovery.Server{ID: "a", Service: "old", StartedAtMillis: 1000}
	second := discovery.Server{ID: "a", Service: "new", StartedAtMillis: 2000}
	assert.Assert(t, r.Put(first, start) && r.Put(second, start))
	assert.Assert(t, second.Replaces(first) && !first.Replaces(second) && !second.Replaces(second))
	assert.Assert(t, !r.Put(first, start), "registration of an earlier process")
	s, _ := r.Server("a")
	assert.Equal(t, s.Service, "new")
	assert.Assert(t, r.Put(discovery.Server{ID: "a", Service: "newer"}, start), "registration without a start time")
	s, _ = r.Server("a")
	assert.Assert(t, s.Service == "newer" && s.StartedAtMillis == 2000)
	assert.Assert(t, !s.Replaces(discovery.Server{ID: "a"}), "unknown start time of the other process")
}

func TestDropRemovesServerUntilItRegistersAgain(t *testing.T) {
	r := discovery.NewRegistry()
	put(r, "a", "b")
	assert.Assert(t, r.Drop("a") && !r.Drop("x"))
	assert.DeepEqual(t, ids(r), []string{"b"})
	put(r, "a")
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

func TestEvacuateAndRestore(t *testing.T) {
	r := discovery.NewRegistry()
	r.Put(discovery.Server{ID: "a", Service: "s", Domain: "x"}, start)
	r.Put(discovery.Server{ID: "b", Service: "s", Domain: "y"}, start)
	coldDuration := func(string) time.Duration { return 3 * time.Second }
	assert.Assert(t, !r.Restore("x", coldDuration, start), "not evacuated")
	assert.Assert(t, r.Evacuate("x") && !r.Evacuate("x") && r.Evacuate("nowhere"))
	assert.Assert(t, r.Servers()[0].Evacuated && !r.Servers()[1].Evacuated)
	r.Put(discovery.Server{ID: "c", Service: "s", Domain: "x"}, start)
	assert.Assert(t, r.Servers()[2].Evacuated, "server registered during the evacuation")
	assert.Assert(t, r.Restore("x", coldDuration, start) && !r.Restore("x", coldDuration, start))
	assert.Assert(t, !r.Servers()[0].Evacuated)
	assert.Equal(t, r.Servers()[0].ColdUntil, start.Add(3*time.Second))
	assert.Assert(t, r.Servers()[1].ColdUntil.IsZero())
}

func TestColdTimeCountsFromTheRegistration(t *testing.T) {
	r := discovery.NewRegistry()
	r.Put(discovery.Server{ID: "a", ColdDuration: 2 * time.Second}, start)
	assert.Equal(t, r.Servers()[0].ColdUntil, start.Add(2*time.Second))
	r.Put(discovery.Server{ID: "a"}, start.Add(time.Second))
	assert.Assert(t, r.Servers()[0].ColdUntil.IsZero())
}

func ExampleRegistry() {
	r := discovery.NewRegistry()
	r.Put(discovery.Server{ID: "i-1", Service: "tags", Address: "10.0.0.1:80"}, time.Now())
	fmt.Println(discovery.ByService(r.Servers())["tags"][0].Address)
	// Output: 10.0.0.1:80
}

func BenchmarkServers(b *testing.B) {
	r := discovery.NewRegistry()
	for i := range 1000 {
		r.Put(discovery.Server{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%100)}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		discovery.ByService(r.Servers())
	}
}

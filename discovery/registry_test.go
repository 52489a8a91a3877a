package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
)

var start = time.Unix(1000, 0)

// heartbeat is the interval of the servers of the tests.
const heartbeat = time.Second

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
	r := discovery.NewRegistry(heartbeat)
	put(r, "a", "b")
	r.Contact.Heard(start, time.Minute)
	r.Remove("a", start)
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestLapsedServerIsKeptForReturnGrace(t *testing.T) {
	r := discovery.NewRegistry(heartbeat)
	put(r, "a", "b", "c")
	r.Contact.Heard(start, time.Minute)
	regained := start.Add(10 * time.Second)
	r.Contact.Heard(regained, 0)
	r.Remove("a", regained)
	r.Remove("b", regained)
	assert.DeepEqual(t, ids(r), []string{"a", "b", "c"})
	assert.Assert(t, r.Servers()[1].Unregistered && !r.Servers()[2].Unregistered)
	r.Put(discovery.Server{ID: "a"}, regained)
	r.Contact.Heard(regained.Add(time.Second), 0)
	assert.Equal(t, len(r.Expire(regained.Add(time.Second))), 0)
	returned := regained.Add(discovery.ReregistrationGrace)
	r.Contact.Heard(returned, 0)
	expired := r.Expire(returned)
	assert.Equal(t, len(expired), 1)
	assert.DeepEqual(t, ids(r), []string{"a", "c"})
	r.Remove("c", returned)
	assert.DeepEqual(t, ids(r), []string{"a"})
}

// Guards both promises: a server that left is not kept because of what one host cannot see, and one whose
// registration lapsed in an outage is not dropped.
func TestEvidenceThatAServerIsGone(t *testing.T) {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	type report struct{ at, inService float64 }
	for name, c := range map[string]struct {
		heard []report
		at    float64
		gone  bool
	}{
		"never heard the store":                                       {nil, 0, false},
		"heard it for long":                                           {[]report{{0, 60}}, 0.8, true},
		"has just heard it for the first time":                        {[]report{{0, 0}}, 0.8, true},
		"one failed call":                                             {[]report{{0, 60}, {1.4, 0}}, 1.4, true},
		"outage, just returned":                                       {[]report{{0, 60}, {4, 0}}, 4, false},
		"outage, returned for as long as servers may take":            {[]report{{0, 60}, {4, 0}, {5.1, 0}, {6.2, 0}}, 6.2, true},
		"not heard for long":                                          {[]report{{0, 60}}, 2.1, false},
		"a host that lost it hears from one that did not":             {[]report{{0, 60}, {9, 70}}, 9, true},
		"a host that lost it hears from one that regained it":         {[]report{{0, 60}, {9, 1}}, 9, false},
		"hears from one that regained it long ago":                    {[]report{{0, 60}, {9, 3}}, 9, true},
		"hears from one that lost it as well":                         {[]report{{0, 60}, {0.5, 60}}, 9, false},
		"the report of one that lost it does not count after its end": {[]report{{0, 60}, {9, 0}, {0.5, 60}}, 9, false},
	} {
		r := discovery.NewRegistry(heartbeat)
		put(r, "a")
		for _, h := range c.heard {
			r.Contact.Heard(start.Add(second(h.at)), second(h.inService))
		}
		now := start.Add(second(c.at))
		assert.Equal(t, r.Remove("a", now), c.gone, "%s", name)
		put(r, "b")
		assert.Equal(t, r.Remove("b", now), c.gone, "%s: a second one", name)
	}
}

// Guards against a suspension of the machine that is taken for an outage of the store.
func TestSuspensionIsNoOutage(t *testing.T) {
	r := discovery.NewRegistry(heartbeat)
	put(r, "a", "b")
	r.Contact.Heard(start, time.Minute)
	r.AddSuspension(10 * time.Second)
	resumed := start.Add(time.Second)
	r.Contact.Heard(resumed, 0)
	assert.Assert(t, r.Remove("a", resumed))
	r.Contact.Heard(resumed.Add(2*heartbeat+time.Millisecond), 0)
	assert.Assert(t, !r.Remove("b", resumed.Add(2*heartbeat+time.Millisecond)), "a suspension excuses one gap")
}

// Guards against a delayed registration of an earlier process replacing that of its
// successor under the same identifier.
func TestLaterProcessUnderTheSameIdentifier(t *testing.T) {
	r := discovery.NewRegistry(heartbeat)
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
	r := discovery.NewRegistry(heartbeat)
	put(r, "a", "b")
	assert.Assert(t, r.Drop("a") && !r.Drop("x"))
	assert.DeepEqual(t, ids(r), []string{"b"})
	put(r, "a")
	assert.DeepEqual(t, ids(r), []string{"a", "b"})
}

func TestEvacuateAndRestore(t *testing.T) {
	r := discovery.NewRegistry(heartbeat)
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
	r := discovery.NewRegistry(heartbeat)
	r.Put(discovery.Server{ID: "a", ColdDuration: 2 * time.Second}, start)
	assert.Equal(t, r.Servers()[0].ColdUntil, start.Add(2*time.Second))
	r.Put(discovery.Server{ID: "a"}, start.Add(time.Second))
	assert.Assert(t, r.Servers()[0].ColdUntil.IsZero())
}

func ExampleRegistry() {
	r := discovery.NewRegistry(heartbeat)
	r.Put(discovery.Server{ID: "i-1", Service: "tags", Address: "10.0.0.1:80"}, time.Now())
	fmt.Println(discovery.ByService(r.Servers())["tags"][0].Address)
	// Output: 10.0.0.1:80
}

func BenchmarkServers(b *testing.B) {
	r := discovery.NewRegistry(heartbeat)
	for i := range 1000 {
		r.Put(discovery.Server{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%100)}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		discovery.ByService(r.Servers())
	}
}

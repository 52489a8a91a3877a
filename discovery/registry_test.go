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
		r.Put(discovery.Server{ID: id})
	}
}

func TestRemovedServerIsGoneAtOnce(t *testing.T) {
	r := discovery.NewRegistry()
	put(r, "a", "b")
	r.Remove("a", start)
	assert.DeepEqual(t, ids(r), []string{"b"})
}

func TestLapsedServerCountsUntilTheStoreIsBack(t *testing.T) {
	r := discovery.NewRegistry()
	put(r, "a", "b", "c")
	r.StoreLost()
	back := start.Add(10 * time.Second)
	assert.Assert(t, r.StoreRegained(back))
	r.Remove("a", back)
	r.Remove("b", back)
	assert.DeepEqual(t, ids(r), []string{"a", "b", "c"})
	r.Put(discovery.Server{ID: "a"})
	assert.Equal(t, len(r.Expire(back.Add(time.Second))), 0)
	gone := r.Expire(back.Add(discovery.ReturnGrace))
	assert.Equal(t, len(gone), 1)
	assert.DeepEqual(t, ids(r), []string{"a", "c"})
	r.Remove("c", back.Add(discovery.ReturnGrace))
	assert.DeepEqual(t, ids(r), []string{"a"})
}

func ExampleRegistry() {
	r := discovery.NewRegistry()
	r.Put(discovery.Server{ID: "i-1", Service: "tags", Address: "10.0.0.1:80"})
	fmt.Println(discovery.ByService(r.Servers())["tags"][0].Address)
	// Output: 10.0.0.1:80
}

func BenchmarkServers(b *testing.B) {
	r := discovery.NewRegistry()
	for i := range 1000 {
		r.Put(discovery.Server{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%100)})
	}
	b.ReportAllocs()
	for b.Loop() {
		discovery.ByService(r.Servers())
	}
}

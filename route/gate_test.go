package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

// Routes that share a gate but not the servers or homes have no common wait, so there is no gate for
// all hosts.
func TestGateOfATable(t *testing.T) {
	query := func(minShare float64, shards ...string) *route.Query {
		return &route.Query{Shards: shards, MinShare: minShare, Top: 1}
	}
	table := route.NewTable(route.Config{Routes: []route.Route{
		{Name: "first", Prefix: "/1/", Query: query(0.5, "s0", "s1", "s2", "s3")},
		{Name: "strict", Prefix: "/2/", Query: query(0.9, "s0", "s1", "s2", "s3")},
		{Name: "one", Prefix: "/3/", Targets: []route.Target{{Service: "single", Weight: 1}}},
		{Name: "wide", Prefix: "/4/", Query: query(1, "p0", "p1")},
		{Name: "home", Prefix: "/5/", Query: query(1, "p0", "p1"), HomeRegions: route.HomeRegions{"a"}},
		{Name: "again", Prefix: "/6/", Query: query(1, "p0", "p1")},
	}})
	shards, ok := table.Gate("s0")
	assert.Assert(t, ok)
	assert.Equal(t, shards.Needed, 4)
	assert.Equal(t, len(shards.Services), 4)
	single, ok := table.Gate("single")
	assert.Assert(t, ok && single.Needed == 1)
	for _, name := range []string{"p0", "s1", "unknown"} {
		_, ok = table.Gate(name)
		assert.Assert(t, !ok, name)
	}
}

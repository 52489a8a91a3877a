package route_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

func singleRoute(version uint64, prefix, service string) route.Config {
	return route.Config{Version: version, Routes: []route.Route{{
		Name: "r", Host: "a.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
		Targets: []route.Target{{Service: service, Weight: 1}},
	}}}
}

func TestLongestPrefixServes(t *testing.T) {
	config := singleRoute(1, "/a/", "short")
	long := config.Routes[0]
	long.Prefix = "/a/b/"
	long.Targets = []route.Target{{Service: "long", Weight: 1}}
	config.Routes = append(config.Routes, long)
	table := route.NewTable(config)
	assert.Equal(t, table.Match("a.example", "/a/x").Choose(), "short")
	assert.Equal(t, table.Match("A.example:80", "/a/b/x").Choose(), "long")
	assert.Assert(t, table.Match("b.example", "/a/x") == nil)
	assert.Assert(t, table.Match("a.example", "/a") == nil)
}

func TestHolderNeverGoesBack(t *testing.T) {
	var h route.Holder
	for _, step := range []struct {
		version uint64
		adopted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {6, false}} {
		adopted, err := h.Adopt(singleRoute(step.version, "/a/", "s"))
		assert.NilError(t, err)
		assert.Equal(t, adopted, step.adopted, "version %d", step.version)
	}
	assert.Equal(t, h.Table().Version(), uint64(9))
}

func TestInvalidConfigurationIsNotAdopted(t *testing.T) {
	var h route.Holder
	bad := singleRoute(7, "/a", "s")
	adopted, err := h.Adopt(bad)
	var invalid *route.InvalidError
	assert.Assert(t, !adopted && errors.As(err, &invalid), "%v", err)
	assert.Equal(t, invalid.Field, "prefix")
	duplicate := singleRoute(7, "/a/", "s")
	duplicate.Routes[0].Query = &route.Query{Shards: []string{"x", "x"}, Top: 1}
	_, err = h.Adopt(duplicate)
	assert.ErrorContains(t, err, "each shard once")
}

func TestSplitFollowsWeights(t *testing.T) {
	config := singleRoute(1, "/a/", "s")
	config.Routes[0].Targets = []route.Target{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}
	entry := route.NewTable(config).Match("a.example", "/a/")
	counts := map[string]int{}
	for range 100 {
		counts[entry.Choose()]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 70, "b": 20, "c": 10})
}

func ExampleTable() {
	table := route.NewTable(singleRoute(3, "/tags/", "printer"))
	fmt.Println(table.Version(), table.Match("a.example", "/tags/17").Choose())
	// Output: 3 printer
}

// Values out of range cause a warning and a default, not the rejection of the
// configuration.
func TestValuesOutOfRangeCauseWarnings(t *testing.T) {
	config := singleRoute(7, "/a/", "s")
	config.Routes[0].Objective = 200 * time.Millisecond
	config.Routes = append(config.Routes, config.Routes[0], config.Routes[0], config.Routes[0])
	config.Routes[1].Priority = -3
	config.Routes[2].Objective = 0
	config.Routes[3].Objective = 2 * config.Routes[3].Timeout
	var h route.Holder
	adopted, err := h.Adopt(config)
	assert.NilError(t, err)
	assert.Assert(t, adopted)
	assert.Equal(t, len(h.Table().Warnings()), 3)
	assert.Equal(t, config.Routes[1].Rank(), uint32(0))
	assert.Equal(t, config.Routes[2].EffectiveObjective(), config.Routes[2].Timeout/2)
	assert.Equal(t, config.Routes[3].EffectiveObjective(), config.Routes[3].Timeout)
}

package route_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// Guards against a table that is built faster but decides differently: routes by prefix, lists of
// shards, missing shards and gates are what the routes say one by one.
func TestTableFollowsFromItsRoutes(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(rt *rapid.T) {
		var config route.Config
		for i := range rapid.IntRange(1, 12).Draw(rt, "routes") {
			r := route.Route{Name: fmt.Sprint("r", i), Host: names.Draw(rt, "host"), Prefix: "/" + strings.Repeat("x/", rapid.IntRange(0, 3).Draw(rt, "prefix"))}
			r.HomeRegions = rapid.SliceOfN(names, 0, 1).Draw(rt, "homes")
			services := rapid.SliceOfNDistinct(names, 1, 3, rapid.ID[string]).Draw(rt, "services")
			if rapid.Bool().Draw(rt, "query") {
				r.Query = &route.Query{Shards: services, MinShare: rapid.Float64Range(0, 1).Draw(rt, "share")}
			} else {
				for _, service := range services {
					r.Targets = append(r.Targets, route.Target{Service: service, Weight: 1})
				}
			}
			config.Routes = append(config.Routes, r)
		}
		table := route.NewTable(config)
		gates, sets := map[string][]route.GateServers{}, [][]string{}
		for _, r := range config.Routes {
			for _, target := range r.Targets {
				gates[target.Service] = append(gates[target.Service], route.GateServers{Services: []string{target.Service}, Needed: 1, Homes: r.HomeRegions})
			}
			var matched *route.Route
			for j := range config.Routes {
				other := &config.Routes[j]
				if other.Host == r.Host && strings.HasPrefix(r.Prefix, other.Prefix) && (matched == nil || len(other.Prefix) > len(matched.Prefix)) {
					matched = other
				}
			}
			entry := table.Match(r.Host, r.Prefix)
			assert.Equal(rt, entry.Name, matched.Name)
			if q := r.Query; q != nil {
				needed := max(1, int(math.Ceil(q.MinShare*float64(len(q.Shards)))))
				gates[q.Shards[0]] = append(gates[q.Shards[0]], route.GateServers{Services: q.Shards, Needed: needed, Homes: r.HomeRegions})
				if !slices.ContainsFunc(sets, func(set []string) bool { return slices.Equal(set, q.Shards) }) {
					sets = append(sets, q.Shards)
				}
			}
			if matched.Query != nil {
				n, strictest := len(matched.Query.Shards), 0.0
				for _, other := range config.Routes {
					if other.Query != nil && slices.Equal(other.Query.Shards, matched.Query.Shards) {
						strictest = max(strictest, other.Query.MinShare)
					}
				}
				assert.Equal(rt, entry.MaxMissing, n-int(math.Ceil(strictest*float64(n))))
			}
		}
		assert.Assert(rt, slices.EqualFunc(table.ShardSets(), sets, slices.Equal[[]string]), "%v, want %v", table.ShardSets(), sets)
		for _, name := range []string{"a", "b", "c", "d"} {
			want, same := route.GateServers{}, len(gates[name]) > 0
			for _, g := range gates[name] {
				same = same && slices.Equal(g.Services, gates[name][0].Services) && slices.Equal(g.Homes, gates[name][0].Homes)
				want = route.GateServers{Services: g.Services, Homes: g.Homes, Needed: max(want.Needed, g.Needed)}
			}
			got, ok := table.Gate(name)
			assert.Equal(rt, ok, same, name)
			if ok {
				assert.Assert(rt, slices.Equal(got.Services, want.Services) && slices.Equal(got.Homes, want.Homes) && got.Needed == want.Needed, "%s: %+v, want %+v", name, got, want)
			}
		}
	})
}

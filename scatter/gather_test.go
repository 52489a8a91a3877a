package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/scatter"
)

var start = time.Unix(1000, 0)

func part(shard string, epoch, version uint64) scatter.Part {
	return scatter.Part{Shard: shard, Snapshot: scatter.Snapshot{Epoch: epoch, Version: version}, Rows: [][]byte{[]byte(shard)}, RowCount: 1}
}

func TestVerdicts(t *testing.T) {
	g := scatter.New([]string{"a", "b"}, scatter.Snapshot{Epoch: 3, Version: 7}, scatter.EarlyStop{}, start)
	for i := range 6 {
		g.Started(0, fmt.Sprint(i))
	}
	truncated := part("a", 3, 7)
	truncated.RowCount = 2
	assert.Equal(t, g.Reply(0, "none", part("a", 3, 7)), scatter.UnknownAttempt)
	assert.Equal(t, g.Reply(0, "0", part("a", 3, 8)), scatter.OtherSnapshot)
	assert.Equal(t, g.Reply(0, "1", part("a", 4, 7)), scatter.OtherSnapshot)
	assert.Equal(t, g.Reply(0, "2", part("b", 3, 7)), scatter.OtherSnapshot)
	assert.Equal(t, g.Reply(0, "3", truncated), scatter.Truncated)
	assert.Equal(t, g.Reply(0, "4", part("a", 3, 7)), scatter.Merged)
	assert.Equal(t, g.Reply(0, "5", part("a", 3, 7)), scatter.Late)
	assert.Equal(t, g.Reply(0, "5", part("a", 3, 7)), scatter.UnknownAttempt, "one reply per attempt")
	g.Started(1, "late")
	result := g.Close()
	assert.Equal(t, g.Reply(1, "late", part("b", 3, 7)), scatter.Late)
	assert.DeepEqual(t, result.Contributed, []string{"a"})
	assert.DeepEqual(t, result.Missing, []scatter.MissingShard{{Name: "b", Reason: scatter.TooLate}})
}

// A shard with an empty part contributes; a shard that was given up does not.
func TestEmptyPartContributes(t *testing.T) {
	g := scatter.New([]string{"a", "b"}, scatter.Snapshot{Epoch: 1}, scatter.EarlyStop{}, start)
	g.Started(0, "x")
	empty := scatter.Part{Shard: "a", Snapshot: scatter.Snapshot{Epoch: 1, Version: 2}}
	assert.Equal(t, g.Reply(0, "x", empty), scatter.Merged)
	g.GiveUp(1, scatter.NoReplica)
	assert.Assert(t, g.Finished(start))
	result := g.Close()
	assert.DeepEqual(t, result.Contributed, []string{"a"})
	assert.Equal(t, result.Missing[0].Reason, scatter.NoReplica)
	assert.Equal(t, result.Snapshot.Version, uint64(2), "the first part pins the version")
}

func TestFinishesEarly(t *testing.T) {
	g := scatter.New([]string{"a", "b"}, scatter.Snapshot{Epoch: 1, Version: 1}, scatter.EarlyStop{Share: 0.5, After: time.Second}, start)
	assert.Assert(t, !g.Finished(start.Add(time.Hour)))
	g.Started(0, "x")
	g.Reply(0, "x", part("a", 1, 1))
	assert.Assert(t, !g.Finished(start))
	assert.Assert(t, g.Finished(start.Add(time.Second)))
}

// For any sequence of events, the result is of one version, contains each shard at
// most once and names exactly the merged shards.
func TestGatherAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		pinned := scatter.Snapshot{Epoch: 1, Version: uint64(rapid.IntRange(0, 2).Draw(rt, "pinned"))}
		g := scatter.New(names, pinned, scatter.EarlyStop{}, start)
		merged := map[string]uint64{}
		attempts := 0
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			shard := rapid.IntRange(0, 2).Draw(rt, "shard")
			id := fmt.Sprint(rapid.IntRange(0, attempts+1).Draw(rt, "attempt"))
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				attempts++
				g.Started(shard, fmt.Sprint(attempts))
			case 1:
				g.Ended(shard, id, scatter.Failed)
			default:
				version := uint64(rapid.IntRange(0, 2).Draw(rt, "version"))
				if g.Reply(shard, id, part(names[shard], 1, version)) == scatter.Merged {
					if _, twice := merged[names[shard]]; twice {
						rt.Fatalf("%s merged twice", names[shard])
					}
					merged[names[shard]] = version
				}
			}
		}
		result := g.Close()
		if len(result.Contributed) != len(merged) || len(result.Contributed)+len(result.Missing) != len(names) {
			rt.Fatalf("contributed %v, missing %v, merged %v", result.Contributed, result.Missing, merged)
		}
		for _, name := range result.Contributed {
			if merged[name] != result.Snapshot.Version {
				rt.Fatalf("%s has version %d in an answer of version %d", name, merged[name], result.Snapshot.Version)
			}
		}
	})
}

func ExampleGather() {
	g := scatter.New([]string{"north", "south"}, scatter.Snapshot{Epoch: 1, Version: 9}, scatter.EarlyStop{}, time.Unix(0, 0))
	g.Started(0, "attempt-1")
	g.Reply(0, "attempt-1", part("north", 1, 9))
	g.GiveUp(1, scatter.NoReplica)
	result := g.Close()
	fmt.Println(result.Contributed, "missing", result.Missing[0].Name)
	// Output: [north] missing south
}

func BenchmarkGather(b *testing.B) {
	for _, n := range []int{20, 140, 1000} {
		names := make([]string, n)
		ids := make([]string, n)
		for i := range names {
			names[i], ids[i] = fmt.Sprint("s", i), fmt.Sprint("a", i)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g := scatter.New(names, scatter.Snapshot{Epoch: 1, Version: 1}, scatter.EarlyStop{}, start)
				for i := range names {
					g.Started(i, ids[i])
					g.Reply(i, ids[i], part(names[i], 1, 1))
				}
				g.Close()
			}
		})
	}
}

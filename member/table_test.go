package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/member"
)

var start = time.Unix(1000, 0)

func fact(i int) member.Fact {
	return member.Fact{Host: fmt.Sprint("host-", i), Address: fmt.Sprint("10.0.0.", i), Incarnation: 10}
}

func table(i int) *member.Table {
	return member.NewTable(fact(i), member.Settings{SuspicionTimeout: 2 * time.Second}, rand.New(rand.NewPCG(uint64(i), 1)))
}

func stateOf(t *member.Table, host string) string {
	for _, f := range t.All() {
		if f.Host == host {
			return f.State.String()
		}
	}
	return "unknown"
}

func TestSilentMemberIsSuspectThenDead(t *testing.T) {
	a := table(0)
	a.Merge([]member.Fact{fact(1)}, start)
	a.ProbeFailed("host-1", start)
	assert.Equal(t, stateOf(a, "host-1"), "suspect")
	assert.Equal(t, len(a.Tick(start.Add(time.Second))), 0)
	assert.Equal(t, len(a.Tick(start.Add(2*time.Second))), 1)
	assert.Equal(t, len(a.Members()), 1)
	a.Merge([]member.Fact{fact(1)}, start.Add(3*time.Second))
	assert.Equal(t, stateOf(a, "host-1"), "dead", "an old fact must not revive a dead member")
	again := fact(1)
	again.Incarnation++
	a.Merge([]member.Fact{again}, start.Add(3*time.Second))
	assert.Equal(t, stateOf(a, "host-1"), "alive")
}

func TestRefutation(t *testing.T) {
	a := table(0)
	claim := fact(0)
	claim.State = member.Dead
	a.Merge([]member.Fact{claim}, start)
	assert.Equal(t, a.Self().State, member.Alive)
	assert.Assert(t, a.Self().Incarnation > claim.Incarnation)
	assert.Assert(t, len(a.PendingFacts()) > 0, "the refutation must be broadcast")
}

func TestLeavingMemberIsDeadAfterFailedProbe(t *testing.T) {
	a := table(0)
	leaving := fact(1)
	leaving.State = member.Leaving
	a.Merge([]member.Fact{leaving}, start)
	a.ProbeFailed("host-1", start)
	assert.Equal(t, stateOf(a, "host-1"), "dead")
}

// The resulting table does not depend on the order of the facts.
func TestMergeCommutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		generator := rapid.Custom(func(rt *rapid.T) member.Fact {
			f := fact(rapid.IntRange(1, 3).Draw(rt, "host"))
			f.Incarnation = uint64(rapid.IntRange(1, 3).Draw(rt, "incarnation"))
			f.State = member.State(rapid.IntRange(0, 3).Draw(rt, "state"))
			return f
		})
		all := rapid.SliceOfN(generator, 1, 20).Draw(rt, "facts")
		a, b := table(0), table(0)
		a.Merge(all, start)
		for _, i := range rapid.Permutation(indices(len(all))).Draw(rt, "order") {
			b.Merge([]member.Fact{all[i]}, start)
		}
		assert.DeepEqual(rt, a.All(), b.All())
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Each round probes every member exactly once.
func TestProbesVisitAll(t *testing.T) {
	a := table(0)
	for i := 1; i < 20; i++ {
		a.Merge([]member.Fact{fact(i)}, start)
	}
	seen := map[string]bool{}
	for range 19 {
		f, ok := a.Probe()
		assert.Assert(t, ok)
		seen[f.Host] = true
	}
	assert.Equal(t, len(seen), 19)
}

// Facts received when joining are not broadcast, since the other hosts have them.
func TestLoadedFactsAreNotBroadcast(t *testing.T) {
	a := table(0)
	for range 100 {
		a.PendingFacts()
	}
	a.LoadFacts([]member.Fact{fact(1), fact(2)}, start)
	assert.Equal(t, len(a.PendingFacts()), 0)
	assert.Equal(t, len(a.Members()), 3)
}

func TestDeadMemberExpires(t *testing.T) {
	a := table(0)
	dead := fact(1)
	dead.State = member.Dead
	a.Merge([]member.Fact{dead}, start)
	a.Tick(start.Add(time.Hour))
	assert.Equal(t, len(a.All()), 1)
}

func ExampleTable() {
	now := time.Unix(0, 0)
	t := member.NewTable(member.Fact{Host: "a"}, member.Settings{SuspicionTimeout: time.Second}, rand.New(rand.NewPCG(1, 1)))
	t.Merge([]member.Fact{{Host: "b", Incarnation: 1}}, now)
	t.ProbeFailed("b", now)
	for _, dead := range t.Tick(now.Add(time.Second)) {
		fmt.Println(dead.Host, "is", dead.State)
	}
	// Output: b is dead
}

func BenchmarkInterval(b *testing.B) {
	for _, n := range []int{7, 70, 700, 4300} {
		t := table(0)
		for i := 1; i < n; i++ {
			t.LoadFacts([]member.Fact{fact(i)}, start)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Probe()
				t.PendingFacts()
				t.Tick(start)
			}
		})
	}
}

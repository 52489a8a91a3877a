package rendezvous_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/rendezvous"
)

func members(n int) []rendezvous.Member {
	all := make([]rendezvous.Member, n)
	for i := range all {
		all[i] = rendezvous.Member{ID: fmt.Sprint("host-", i), Domain: fmt.Sprint("domain-", i%3)}
	}
	return all
}

// A member that leaves changes the assignment only of the keys that it held.
func TestLeavingMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 50).Draw(rt, "n")
		removed := rapid.IntRange(0, n-1).Draw(rt, "gone")
		all := members(n)
		remaining := append(append([]rendezvous.Member{}, all[:removed]...), all[removed+1:]...)
		for key := range 50 {
			before := rendezvous.Rank(fmt.Sprint(key), all, 1)[0]
			after := rendezvous.Rank(fmt.Sprint(key), remaining, 1)[0]
			if before != all[removed] && before != after {
				rt.Fatalf("key %d moved from %v to %v when %v left", key, before, after, all[removed])
			}
		}
	})
}

// The first members of a rank belong to different failure domains.
func TestSpreadsOverDomains(t *testing.T) {
	for key := range 100 {
		seen := map[string]bool{}
		for _, m := range rendezvous.Rank(fmt.Sprint(key), members(9), 3) {
			seen[m.Domain] = true
		}
		assert.Equal(t, len(seen), 3)
	}
}

func TestRankWithFewerMembersThanRequested(t *testing.T) {
	assert.Equal(t, len(rendezvous.Rank("k", nil, 3)), 0)
	assert.Equal(t, len(rendezvous.Rank("k", members(2), 3)), 2)
}

func ExampleRank() {
	hosts := []rendezvous.Member{{ID: "a", Domain: "1"}, {ID: "b", Domain: "1"}, {ID: "c", Domain: "2"}}
	for _, m := range rendezvous.Rank("tags", hosts, 2) {
		fmt.Println(m.ID, m.Domain)
	}
	// Output:
	// b 1
	// c 2
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{7, 70, 700, 4300} {
		all := members(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rendezvous.Rank("service", all, 43)
			}
		})
	}
}

package fanout_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/fanout"
)

// Guards against wrong answers of queries without records, as for requests to one server: each shard
// is named at most once, by a block that covers it, and later blocks and floors take nothing away.
func TestAnswersWithoutRecordsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 4).Draw(rt, "shards")
		q := fanout.New(fanout.Settings{Shards: shards, MinShare: 1, MaxAttempts: 2, AnswerAt: after(80), Deadline: after(1000)})
		for i := range rapid.IntRange(1, 12).Draw(rt, "blocks") {
			members := rapid.SliceOfNDistinct(rapid.IntRange(0, shards-1), 1, shards, rapid.ID[int]).Draw(rt, "members")
			block := fanout.Block{Shards: members, Records: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "records"), Floor: rapid.SliceOfN(rapid.Byte(), 0, fanout.RecordSize).Draw(rt, "floor")}
			for _, n := range members {
				block.Signatures = append(block.Signatures, fmt.Sprintf("%d/%d", n, i))
			}
			before := q.CoveredCount()
			if added := q.Offer(block); added != (q.CoveredCount() > before) || q.CoveredCount() < before {
				rt.Fatalf("Offer returned %t, and coverage went from %d to %d", added, before, q.CoveredCount())
			}
		}
		a := q.Answer()
		named := map[int]bool{}
		for _, s := range a.Signatures {
			var n, i int
			_, _ = fmt.Sscanf(s, "%d/%d", &n, &i)
			if named[n] || !q.Covered(n) {
				rt.Fatalf("shard %d is named wrongly in %v", n, a.Signatures)
			}
			named[n] = true
		}
		if len(a.Records) > 0 || a.Missing != shards-len(named) || q.CoveredCount() != len(named) {
			rt.Fatalf("answer %+v covers %d of %d shards", a, q.CoveredCount(), shards)
		}
	})
}

package fanout_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/fanout"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const testTop = 2

func newQuery(shards int) *fanout.Query {
	return fanout.New(fanout.Settings{
		Shards: shards, Top: testTop, MinShare: 0.5, MaxAttempts: 2, AnswerAt: after(80), Deadline: after(1000),
	})
}

func singleShardBlock(n int, records string) fanout.Block {
	return fanout.Block{Shards: []int{n}, Signatures: []string{fmt.Sprint("s", n)}, Records: []byte(records)}
}

func TestFinishesWhenAllShardsAreCovered(t *testing.T) {
	q := newQuery(2)
	for n := range 2 {
		q.Sent(n, after(30))
		assert.Assert(t, !q.Finished(after(1)))
		assert.Assert(t, q.Offer(singleShardBlock(n, "0123456789abcdef")))
		q.Ended(n)
	}
	assert.Assert(t, q.Finished(after(2)))
	a := q.Answer()
	assert.Equal(t, a.Missing, 0)
	assert.DeepEqual(t, a.Signatures, []string{"s0", "s1"})
	assert.Equal(t, string(a.Records), "0123456789abcdef0123456789abcdef")
}

// A query without records, for a request to one server, may get two replies to its one shard: the second
// must change nothing, and used to panic.
func TestSecondReplyWithoutRecordsChangesNothing(t *testing.T) {
	q := fanout.New(fanout.Settings{Shards: 1, MinShare: 1, MaxAttempts: 2, AnswerAt: after(1000), Deadline: after(1000)})
	q.Sent(0, after(30))
	q.Sent(0, time.Time{})
	for i, added := range []bool{true, false} {
		q.Ended(0)
		assert.Equal(t, q.Offer(fanout.Block{Shards: []int{0}, Signatures: []string{fmt.Sprint("reply", i)}}), added)
		assert.Assert(t, q.Finished(after(50)))
	}
	assert.DeepEqual(t, q.Answer().Signatures, []string{"reply0"})
}

// A floor says nothing about a query without records.
func TestFloorWithoutRecordsIsIgnored(t *testing.T) {
	q := fanout.New(fanout.Settings{Shards: 2, MinShare: 1, MaxAttempts: 1, AnswerAt: after(1000), Deadline: after(1000)})
	floor := []byte("0123456789abcdef")
	assert.Assert(t, q.Offer(fanout.Block{Shards: []int{0}, Signatures: []string{"s0"}, Floor: floor}))
	assert.Assert(t, !q.Offer(fanout.Block{Shards: []int{0}, Signatures: []string{"again"}, Floor: floor}))
	assert.Assert(t, q.Offer(fanout.Block{Shards: []int{0, 1}, Signatures: []string{"t0", "t1"}, Floor: floor}))
	assert.Equal(t, q.Answer().Missing, 0)
}

func TestPartialAnswerFinishesAtAnswerAt(t *testing.T) {
	q := newQuery(2)
	q.Sent(0, time.Time{})
	q.Sent(1, time.Time{})
	q.Offer(singleShardBlock(0, ""))
	q.Ended(0)
	assert.Assert(t, !q.Finished(after(79)))
	assert.Equal(t, q.NextWakeup(after(1)), after(80))
	assert.Assert(t, q.Finished(after(80)))
	assert.Equal(t, q.Answer().Missing, 1)
	assert.DeepEqual(t, q.MissingShards(), []int{1})
}

func TestWaitsForMinShareAfterAnswerAt(t *testing.T) {
	q := newQuery(4)
	for n := range 4 {
		q.Sent(n, time.Time{})
	}
	q.Offer(singleShardBlock(0, ""))
	assert.Assert(t, !q.Finished(after(900)))
	q.Offer(singleShardBlock(1, ""))
	assert.Assert(t, q.Finished(after(900)), "MinShare reached after AnswerAt")
}

func TestRetriesAndHedges(t *testing.T) {
	q := newQuery(2)
	q.Sent(0, after(30))
	q.Sent(1, after(40))
	assert.Equal(t, len(q.DueAttempts(after(29))), 0)
	assert.DeepEqual(t, q.DueAttempts(after(30)), []fanout.DueAttempt{{Shard: 0, Hedge: true}})
	q.Ended(1)
	assert.DeepEqual(t, q.DueAttempts(after(20)), []fanout.DueAttempt{{Shard: 1}})
	q.Sent(1, time.Time{})
	q.Ended(1)
	assert.Equal(t, len(q.DueAttempts(after(20))), 0, "MaxAttempts used up")
	q.NotSent(0)
	assert.DeepEqual(t, q.DueAttempts(after(20)), []fanout.DueAttempt{{Shard: 0, First: true}})
	q.Postpone(0, after(25))
	assert.Equal(t, len(q.DueAttempts(after(20))), 0)
	assert.Equal(t, q.NextWakeup(after(20)), after(25))
	q.GiveUp(0)
	assert.Assert(t, q.Finished(after(20)))
}

func TestMergedBlockReplacesOverlappingBlock(t *testing.T) {
	q := newQuery(3)
	q.Offer(singleShardBlock(0, ""))
	assert.Assert(t, q.Offer(fanout.Block{Shards: []int{0, 1}, Signatures: []string{"t0", "t1"}}))
	assert.Assert(t, !q.Offer(singleShardBlock(1, "")), "shard already covered")
	assert.Assert(t, q.Offer(singleShardBlock(2, "")))
	assert.DeepEqual(t, q.Answer().Signatures, []string{"t0", "t1", "s2"})
}

func TestFloorLeavesOutWhatCannotCount(t *testing.T) {
	q := newQuery(3)
	low, high := []byte("record-000000001"), []byte("record-000000009")
	q.Offer(fanout.Block{Shards: []int{0}, Signatures: []string{"a"}, Records: slices.Concat(high, low)})
	assert.DeepEqual(t, q.Floor(), low)
	assert.Assert(t, newQuery(1).Floor() == nil, "no floor with fewer than Top records")
	assert.Equal(t, string(fanout.AtLeast(high, slices.Concat(low, high))), string(high))
	q.Offer(fanout.Block{Shards: []int{1}, Signatures: []string{"b"}, Floor: low})
	assert.Equal(t, q.Answer().Missing, 1)
	// The block that set the floor is replaced by one with fewer records, so that
	// the records dropped below the floor would count.
	q.Offer(fanout.Block{Shards: []int{0, 2}, Signatures: []string{"c", "d"}, Records: high})
	a := q.Answer()
	assert.Equal(t, q.CoveredCount(), 3-a.Missing, "coverage matches the answer")
	assert.Equal(t, a.Missing, 1)
}

// For any blocks, the answer contains each shard at most once, coverage never
// decreases, and the records are the greatest of the shards named.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(rt, "shards")
		q := newQuery(shards)
		offered := map[string][]byte{}
		covered := 0
		floors := [][]byte{nil}
		for i := range rapid.IntRange(1, 20).Draw(rt, "blocks") {
			members := rapid.SliceOfNDistinct(rapid.IntRange(0, shards-1), 1, shards, rapid.ID[int]).Draw(rt, "members")
			block := fanout.Block{Shards: members}
			for _, n := range members {
				block.Signatures = append(block.Signatures, fmt.Sprintf("%d/%d", n, i))
			}
			records := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(rt, "records")
			offered[block.Signatures[0]] = records
			block.Records = records
			if rapid.Bool().Draw(rt, "floored") {
				block.Floor = floors[rapid.IntRange(0, len(floors)-1).Draw(rt, "floor")]
				block.Records = fanout.AtLeast(block.Floor, records)
			}
			q.Offer(block)
			if q.CoveredCount() < covered {
				rt.Fatalf("coverage decreased from %d to %d", covered, q.CoveredCount())
			}
			covered = q.CoveredCount()
			floors = append(floors, q.Floor())
		}
		a := q.Answer()
		seen := map[string]bool{}
		var all [][]byte
		for _, s := range a.Signatures {
			var n, i int
			_, _ = fmt.Sscanf(s, "%d/%d", &n, &i)
			if seen[fmt.Sprint(n)] {
				rt.Fatalf("shard %d is in the answer twice", n)
			}
			seen[fmt.Sprint(n)] = true
			for r := offered[s]; len(r) >= fanout.RecordSize; r = r[fanout.RecordSize:] {
				all = append(all, r[:fanout.RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(testTop, len(all))]...)
		if !bytes.Equal(want, a.Records) || a.Missing != shards-len(seen) || covered != len(seen) {
			rt.Fatalf("answer %v, want records %x", a, want)
		}
	})
}

func ExampleTop() {
	fmt.Printf("%s\n", fanout.Top(2, []byte("record-000000001record-000000003"), []byte("record-000000002rest")))
	// Output: record-000000003record-000000002
}

func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 90, 140, 1000} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			records := bytes.Repeat([]byte("0123456789abcdef"), 6)
			b.ReportAllocs()
			for b.Loop() {
				q := newQuery(shards)
				for n := range shards {
					q.Sent(n, after(30))
				}
				for n := range shards {
					q.Offer(fanout.Block{Shards: []int{n}, Signatures: []string{"s"}, Records: records})
					q.Ended(n)
				}
				q.Answer()
			}
		})
	}
}

func ExampleQuery() {
	q := fanout.New(fanout.Settings{Shards: 2, Top: 1, MinShare: 0.5, MaxAttempts: 2, AnswerAt: after(80), Deadline: after(1000)})
	q.Sent(0, after(30))
	q.Sent(1, after(30))
	q.Ended(0)
	q.Offer(fanout.Block{Shards: []int{0}, Signatures: []string{"part-0"}, Records: []byte("record-000000001")})
	fmt.Println(q.Finished(after(10)), len(q.DueAttempts(after(10))))
	fmt.Println(len(q.DueAttempts(after(30))), "shard may get a second attempt")
	a := q.Answer()
	fmt.Println(q.Finished(after(80)), a.Signatures, a.Missing)
	// Output:
	// false 0
	// 1 shard may get a second attempt
	// true [part-0] 1
}

// Guards against queries sharing the retry budget equally in an overload, which
// leaves most of them just below MinShare.
func TestBudgetGoesFirstToQueriesThatLackLittle(t *testing.T) {
	extra := func(covered, running int, now time.Time) float64 {
		q := fanout.New(fanout.Settings{Shards: 20, Top: 1, MinShare: 0.9, MaxAttempts: 2, AnswerAt: start.Add(time.Second), Deadline: start.Add(time.Minute)})
		for n := range covered + running {
			q.Sent(n, time.Time{})
			if n < covered {
				q.Ended(n)
				q.Offer(fanout.Block{Shards: []int{n}, Signatures: []string{fmt.Sprint(n)}})
			}
		}
		return q.RetryBudgetShare(now)
	}
	assert.Equal(t, extra(10, 6, start), 1.0, "two shards lacking")
	assert.Equal(t, extra(15, 0, start), 1.0, "three shards lacking")
	assert.Assert(t, extra(12, 0, start) < extra(15, 0, start))
	assert.Assert(t, extra(0, 0, start) >= 0.5, "minimum share")
	assert.Assert(t, extra(18, 0, start) < 1, "MinShare covered")
	late := extra(17, 0, start.Add(2*time.Second))
	assert.Assert(t, late < extra(17, 0, start), "queries before AnswerAt go first")
	assert.Assert(t, late > extra(18, 0, start), "an overdue answer goes before more coverage")
}

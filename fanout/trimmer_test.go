package fanout_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/fanout"
)

// The top records of all batches must equal the top records of all parts.
func TestTrimmedBatchesHoldTheGreatest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		top := rapid.IntRange(1, 6).Draw(rt, "top")
		trimmer := fanout.NewTrimmer(top, nil)
		var all, sent [][]byte
		for range rapid.IntRange(1, 5).Draw(rt, "batches") {
			var parts [][]byte
			for range rapid.IntRange(0, 4).Draw(rt, "parts") {
				var part []byte
				for range rapid.IntRange(0, 5).Draw(rt, "records") {
					part = fmt.Appendf(part, "%016d", rapid.IntRange(0, 30).Draw(rt, "record"))
				}
				parts = append(parts, part)
			}
			all = append(all, parts...)
			records, floor := trimmer.Batch(parts...)
			sent = append(sent, records)
			if smallest := fanout.Top(top, sent...); len(floor) > 0 {
				assert.Equal(rt, len(smallest), top*fanout.RecordSize)
				assert.Assert(rt, string(smallest[len(smallest)-fanout.RecordSize:]) >= string(floor))
			}
		}
		assert.DeepEqual(rt, fanout.Top(top, sent...), fanout.Top(top, all...))
	})
}

func TestTrimmerDropsRecordsBelowFloor(t *testing.T) {
	trimmer := fanout.NewTrimmer(2, nil)
	records, floor := trimmer.Batch([]byte("record-000000005record-000000004record-000000001"))
	assert.Equal(t, string(records), "record-000000005record-000000004")
	assert.Equal(t, len(floor), 0)
	records, floor = trimmer.Batch([]byte("record-000000003record-000000009"))
	assert.Equal(t, string(records), "record-000000009")
	assert.Equal(t, string(floor), "record-000000004")
}

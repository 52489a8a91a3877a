package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/explain"
)

const quarantineLogs = `
{"host":"h1","request":"r1","fingerprint":"aa","server":"s1","time":"2026-12-02T10:00:00.000Z","message":"server ended with a request: nothing listens at its address"}
{"host":"h1","request":"r9","fingerprint":"bb","server":"s1","time":"2026-12-02T10:00:00.001Z","message":"server ended with a request: nothing listens at its address"}
{"host":"h2","request":"r2","fingerprint":"aa","server":"s2","time":"2026-12-02T10:00:01.000Z","message":"server ended with a request: nothing listens at its address"}
{"host":"h2","fingerprint":"aa","standing":"barred","what":"GET x/y (route q)","servers":["s1","s2"],"time":"2026-12-02T10:00:01.100Z","message":"standing of a request under which servers ended has changed"}
{"host":"h1","fingerprint":"aa","standing":"barred","what":"GET x/y (route q)","time":"2026-12-02T10:00:01.500Z","message":"standing of a request under which servers ended has changed"}
{"host":"h1","request":"r3","fingerprint":"aa","cause":"barred","outcome":"not_run","time":"2026-12-02T10:00:05.000Z","message":"request"}
`

// The summary counts ends, hosts, refusals and collateral requests of a fingerprint, and the
// history of a refused request includes the ends that led to the refusal.
func TestQuarantineSummary(t *testing.T) {
	lines, _, err := explain.Read(strings.NewReader(quarantineLogs))
	assert.NilError(t, err)
	var table strings.Builder
	assert.NilError(t, explain.NewQuarantineSummary(lines).Write(&table))
	rows := strings.Split(table.String(), "\n")
	assert.DeepEqual(t, strings.Fields(rows[1]), strings.Fields("aa barred 2 2 2 10:00:00.000 10:00:01.000 10:00:01.100 to 10:00:01.500 (2) 1 1 GET x/y (route q)"))
	assert.Assert(t, strings.HasPrefix(rows[2], "bb"), table.String())

	var story strings.Builder
	assert.NilError(t, explain.HistoryOf(lines, "r3").Write(&story))
	assert.Equal(t, strings.Count(story.String(), "server ended with a request"), 2, story.String())
	assert.Equal(t, strings.Count(story.String(), "has changed"), 2, story.String())
}

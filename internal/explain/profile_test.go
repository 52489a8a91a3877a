package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/explain"
)

func TestProfileOfQueries(t *testing.T) {
	log := `{"host":"h1","request":"r1","route":"q","outcome":"gathered","elapsed":60,"parts":10,"missing":0,"hedges":2,"retries":0,"denied":1,"time":"2026-12-02T10:00:00.000Z","message":"request"}
{"host":"h1","request":"r2","route":"q","outcome":"gathered","elapsed":90,"parts":7,"missing":3,"missing_shards":["s1: not asked: all servers of the service are busy","s2: i-1","s3: i-1 i-2"],"hedges":4,"retries":1,"denied":0,"time":"2026-12-02T10:00:00.000Z","message":"request"}
{"host":"h1","request":"r3","route":"one","outcome":"forwarded","elapsed":5,"time":"2026-12-02T10:00:00.000Z","message":"request"}
`
	lines, _, err := explain.Read(strings.NewReader(log))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, explain.NewProfile(lines).Write(&out))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(rows), 2, out.String())
	// queries, route, ms p50, p90, p99, lack parts, parts lacking, not asked, asked once, more,
	// hedges, retries, denied
	assert.DeepEqual(t, strings.Fields(rows[1]), []string{"2", "q", "90.0", "90.0", "90.0", "0.50", "1.50", "1", "1", "1", "3.0", "0.5", "0.5"})
}

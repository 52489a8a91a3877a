package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/explain"
)

func TestSummaryCountsRequestsByResult(t *testing.T) {
	log := `
{"message":"request","request":"1","route":"q","rank":1,"outcome":"gathered","elapsed":50,"objective":200,"missing":0,"time":"2026-01-01T00:00:00.1Z"}
{"message":"request","request":"2","route":"q","rank":1,"outcome":"gathered","elapsed":170,"objective":200,"missing":2,"cause":"slow","time":"2026-01-01T00:00:00.2Z"}
{"message":"request","request":"3","route":"q","rank":1,"outcome":"gathered","elapsed":900,"objective":200,"missing":2,"cause":"busy","time":"2026-01-01T00:00:02.2Z"}
{"message":"request","request":"4","route":"q","rank":1,"outcome":"gathered","elapsed":901,"objective":200,"missing":0,"cause":"busy","time":"2026-01-01T00:00:02.3Z"}
{"message":"request","request":"5","route":"q","rank":1,"outcome":"not_run","elapsed":1,"objective":200,"cause":"overloaded","time":"2026-01-01T00:00:02.3Z"}
{"message":"request","request":"6","route":"one","rank":2,"outcome":"forwarded","status":500,"elapsed":20,"objective":200,"cause":"server_failed","time":"2026-01-01T00:00:02.3Z"}
{"message":"relayed calls","request":"6"}
`
	lines, _, err := explain.Read(strings.NewReader(log))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, explain.Summarize(lines).Write(&out))
	assert.Equal(t, out.String(), `requests  route  rank  what became of them  cause
2         q      1     late                 busy
1         one    2     failed               server_failed
1         q      1     in time              
1         q      1     partial              slow
1         q      1     refused              overloaded

from      in time  partial  late  refused  failed  caller left
00:00:00  1        1        0     0        0       0
00:00:02  0        0        2     1        1       0
`)
}

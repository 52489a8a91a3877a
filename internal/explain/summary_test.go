package explain_test

import (
	"fmt"
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

// The summary must show what became of the requests of each team, and how many had no valid key.
func TestSummaryShowsTeams(t *testing.T) {
	var log strings.Builder
	for i := range 25 {
		for range 30 - i {
			fmt.Fprintf(&log, `{"message":"request","request":"1","route":"q","rank":1,"team":"team%d","outcome":"gathered","elapsed":50,"objective":200}`+"\n", i)
		}
	}
	log.WriteString(`{"message":"request","request":"2","route":"q","rank":1,"team":"team0","outcome":"not_run","objective":200,"cause":"overloaded"}
{"message":"request","request":"3","route":"q","rank":1,"outcome":"unauthorized","objective":200,"cause":"unknown_key"}
{"message":"request","request":"4","route":"q","rank":1,"outcome":"unauthorized","objective":200,"cause":"missing_key"}
{"message":"request","request":"5","route":"open","rank":1,"outcome":"forwarded","status":200,"elapsed":50,"objective":200}
`)
	lines, _, err := explain.Read(strings.NewReader(log.String()))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, explain.Summarize(lines).Write(&out))
	for _, row := range []string{
		"1         q      1     refused              missing_key\n", "1         q      1     refused              unknown_key\n",
		"\nteam    in time  partial  late  refused  failed  caller left\n",
		"team0   30       0        0     1        0       0\nteam1   29       0        0     0        0       0\n",
		"(none)  1        0        0     2        0       0\n",
		"team18  12       0        0     0        0       0\n6 more teams\n",
	} {
		assert.Assert(t, strings.Contains(out.String(), row), "%q is not in\n%s", row, out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), "team19"))
}

// Panics and answers that were not written must not hide behind the results of requests.
func TestSummaryShowsFaults(t *testing.T) {
	log := `
{"message":"request","request":"1","route":"q","rank":1,"outcome":"caller_left","cause":"caller_left","elapsed":50,"objective":200}
{"message":"answer could not be written","request":"1","route":"q","outcome":"caller_left","cause":"caller_left"}
{"message":"request","request":"2","route":"q","rank":1,"outcome":"failed","cause":"panic","elapsed":50,"objective":200}
{"message":"recovered from a panic: the operation fails, the gateway continues","request":"2","work":"request of a caller"}
{"message":"recovered from a panic: the operation fails, the gateway continues","request":"3","work":"request of a caller"}
{"message":"recovered from a panic: the operation fails, the gateway continues","request":"4","work":"response to a caller","answered":false}
{"message":"error of an HTTP server","error":"http: Accept error"}
`
	lines, _, err := explain.Read(strings.NewReader(log))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, explain.Summarize(lines).Write(&out))
	for _, want := range []string{
		"1         q      1     caller left          caller_left\n1         q      1     failed               panic\n",
		`
lines  fault                    cause
2      panic                    request of a caller
1      answer not written       caller_left
1      error of an HTTP server  
1      response cut by a panic  response to a caller
`} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is not in\n%s", want, out.String())
	}
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// What net/http logs must be a line of the log, not text on standard error that no tool reads.
func TestErrorsOfHTTPServersAreLogged(t *testing.T) {
	var log strings.Builder
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	server.Config.ErrorLog = newHTTPErrorLog(zerolog.New(zerolog.SyncWriter(&log)))
	server.Start()
	_, err := http.Get(server.URL)
	assert.Assert(t, err != nil)
	server.Close()
	assert.Assert(t, strings.HasPrefix(log.String(), `{"level":"error","error":"http: panic serving `), log.String())
}

// Errors of HTTP servers must all be counted, and their lines be limited.
func TestErrorsOfHTTPServersAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		errors, before := newHTTPErrorLog(zerolog.New(&log)), httpServerErrors.Get()
		for range 2 * httpErrorLinesPerSecond {
			errors.Print("broken")
		}
		assert.Equal(t, httpServerErrors.Get(), before+2*httpErrorLinesPerSecond)
		assert.Equal(t, strings.Count(log.String(), "\n"), httpErrorLinesPerSecond)
	})
}

// Each HTTP server of a gateway must log its errors so.
func TestHTTPServersHaveAnErrorLog(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), nil, oneHost, func(cl *cluster) {
		g := cl.hosts["host1"]
		l := g.settings.GetListen()
		l.Callers, l.Ready, l.Peers, l.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s, err := g.listen(Handlers{})
		assert.NilError(t, err)
		for key, server := range map[string]*http.Server{"callers": s.callers, "ready": s.ready, "metrics": s.metrics} {
			assert.Check(t, server.ErrorLog != nil, key)
			assert.NilError(t, s.listeners[key].Close())
		}
		assert.NilError(t, s.listeners["peers"].Close())
	})
}

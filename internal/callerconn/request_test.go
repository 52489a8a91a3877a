package callerconn

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

// headLimit is the limit of a head in the tests, in bytes.
const headLimit = 8 << 10

// serveLimited runs a test with a server in fake time whose connections have limits.
func serveLimited(t *testing.T, limits Limits, handler http.HandlerFunc, run func(t *testing.T, l *callertest.Listener, conns *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		l, conns := callertest.NewListener(), NewTracker()
		conns.Limit(limits)
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: time.Minute, IdleTimeout: time.Hour}
		conns.Configure(server)
		go func() { _ = server.Serve(conns.Listen(l)) }()
		defer func() { _ = server.Close() }()
		run(t, l, conns)
	})
}

// A head without end must be refused at its limit, whatever it consists of, and its connection be closed.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	for name, form := range map[string]struct{ prefix, unit string }{
		"target": {"GET /", "x"}, "field": {"GET / HTTP/1.1\r\nA: ", "x"}, "fields": {"GET / HTTP/1.1\r\n", "a: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var refusals []Refusal
			limits := Limits{HeadBytes: func() int { return headLimit }, OnRefusal: func(r Refusal) { refusals = append(refusals, r) }}
			before := ended[HeadTooLarge].Get()
			serveLimited(t, limits, answerAtOnce, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
				c := l.Dial()
				go func() { _ = c.Send(form.prefix + strings.Repeat(form.unit, 2*refusalBytes)) }()
				status, err := c.Receive()
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
				_, err = c.Receive()
				assert.Assert(t, err != nil, "the connection stays open")
				synctest.Wait()
			})
			assert.Equal(t, len(refusals), 1)
			assert.Assert(t, refusals[0].HeadBytes <= headLimit+2*readAhead, "%d bytes read", refusals[0].HeadBytes)
			assert.Equal(t, ended[HeadTooLarge].Get(), before+1)
		})
	}
}

// The limit is that of one head: bodies and further requests on the connection must not count.
func TestLimitOfAHeadIsThatOfOneRequest(t *testing.T) {
	serveLimited(t, Limits{HeadBytes: func() int { return headLimit }}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 100))
	}, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		c := l.Dial()
		post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)
		long := "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", headLimit-100) + "\r\n\r\n"
		for range 4 {
			assert.NilError(t, c.Exchange(post))
			assert.NilError(t, c.Exchange(long))
		}
		go func() { _ = c.Send(strings.Repeat(callertest.Get, 1000)) }()
		for range 1000 {
			status, err := c.Receive()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
	})
}

// A limit that a configuration lowers while a head is read must not refuse a request that was sent by the former one.
func TestLowerLimitOfAHeadCountsFromTheNextRequest(t *testing.T) {
	limit := headLimit
	serveLimited(t, Limits{HeadBytes: func() int { return limit }}, answerAtOnce, func(t *testing.T, l *callertest.Listener, _ *Tracker) {
		c := l.Dial()
		assert.NilError(t, c.Send("GET / HTTP/1.1\r\nHost: a\r\n"))
		synctest.Wait()
		limit = 1
		assert.NilError(t, c.Exchange("A: "+strings.Repeat("x", headLimit-100)+"\r\n\r\n"))
		go func() { _ = c.Send("GET / HTTP/1.1\r\nA: " + strings.Repeat("x", headLimit-100)) }()
		status, err := c.Receive()
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	})
}

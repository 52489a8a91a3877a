package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

// serveCallers serves callers over in-memory connections by a handler.
func serveCallers(h http.HandlerFunc) (*endpoints, *callertest.Listener) {
	l, conns := callertest.NewListener(), callerconn.NewTracker()
	s := &endpoints{conns: conns, listeners: map[string]net.Listener{"callers": conns.Listen(l)}, ready: &http.Server{}}
	s.callers = newCallerServer(h, 10*time.Second, conns)
	go func() { _ = s.callers.Serve(s.listeners["callers"]) }()
	return s, l
}

// A graceful shutdown must answer a request that was partly read when it began, on a new and on a
// kept connection, and must not wait for connections without one.
func TestShutdownAnswersARequestThatIsBeingRead(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), nil, oneHost, func(cl *cluster) {
		s, l := serveCallers(func(http.ResponseWriter, *http.Request) {})
		callers := []*callertest.Caller{l.Dial(), l.Dial()}
		assert.NilError(cl.t, callers[0].Exchange(callertest.Get))
		for _, c := range callers {
			assert.NilError(cl.t, c.Send(callertest.Get[:10]))
		}
		assert.NilError(cl.t, l.Dial().Exchange(callertest.Get))
		l.Dial()
		ended := make(chan error)
		began := time.Now()
		go func() { ended <- cl.hosts["host1"].shutDown(s) }()
		time.Sleep(time.Second)
		for _, c := range callers {
			assert.NilError(cl.t, c.Exchange(callertest.Get[10:]))
		}
		assert.NilError(cl.t, <-ended)
		assert.Assert(cl.t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
		synctest.Wait()
	})
}

// Requests that are in flight when the time of a graceful shutdown is over must be answered: with the
// parts that have arrived if they suffice, otherwise as failed if a server may have run them, and as
// not run if none was sent them.
func TestRequestsThatAShutdownAbortsAreAnswered(t *testing.T) {
	config := shardedConfig(1, 2)
	for i := range config.Routes {
		config.Routes[i].Timeout, config.Routes[i].Objective = 100*time.Second, 90*time.Second
	}
	file := settingsOf(t, oneHost[0])
	file.GetShutdown().DrainTimeout = durationpb.New(3 * time.Second)
	withCluster(t, config, serversOf([]string{"shard0", "shard1", "single"}, "a1"), nil, func(cl *cluster) {
		g := cl.start(file)
		time.Sleep(time.Second)
		cl.backends.set("shard1", silent)
		s, l := serveCallers(func(w http.ResponseWriter, r *http.Request) {
			request := cl.newRequest(r.URL.Path)
			request.Timeout = 0
			w.WriteHeader(http.StatusOK + int(g.Serve(r.Context(), request).Outcome))
		})
		var callers []*callertest.Caller
		send := func(path string, single behaviour) {
			cl.backends.set("single", single)
			callers = append(callers, l.Dial())
			assert.NilError(cl.t, callers[len(callers)-1].Send("GET "+path+" HTTP/1.1\r\nHost: desk.example\r\n\r\n"))
			time.Sleep(100 * time.Millisecond)
		}
		send("/q/", nil)
		send("/once/", silent)
		send("/once/", unreachable)
		late := l.Dial()
		assert.NilError(cl.t, late.Send(callertest.Get[:10]))
		ended := make(chan error, 1)
		go func() { ended <- g.shutDown(s) }()
		for n, want := range []Outcome{Gathered, Failed, NotRun} {
			status, err := callers[n].Receive()
			assert.NilError(cl.t, err)
			assert.Equal(cl.t, Outcome(status-http.StatusOK), want)
		}
		err := <-ended
		assert.ErrorIs(cl.t, err, ErrRequestsAborted)
		assert.ErrorContains(cl.t, err, "(2)")
		assert.NilError(cl.t, late.Send(callertest.Get[10:])) // Before the process exits.
		status, err := late.Receive()
		assert.NilError(cl.t, err)
		assert.Equal(cl.t, Outcome(status-http.StatusOK), NotRun)
		_ = late.Close()
	})
}

// The time limit for reading a request must not end its context while it is served: the caller
// would count as having left.
func TestReadTimeoutEndsWithTheBody(t *testing.T) {
	requests := map[string]string{
		"no body":      callertest.Get,
		"body":         "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\n{}",
		"chunked body": "POST / HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := serveCallers(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-r.Context().Done():
						w.WriteHeader(http.StatusGone)
					case <-time.After(2 * bodyTimeout):
					}
				})
				defer func() { _ = s.callers.Close() }()
				assert.NilError(t, l.Dial().Exchange(request))
			})
		})
	}
}

// A caller that does not read its response must not hold its request for longer than writeTimeout. The
// limit must not include the time to serve, nor reach the next request of a kept connection.
func TestTimeToWriteAResponseIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make(chan error, 1)
		s, l := serveCallers(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * writeTimeout)
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				errs <- fmt.Errorf("%v: %w", callerconn.FromContext(r.Context()), err)
			}
		})
		defer func() { _ = s.callers.Close() }()
		c := l.Dial()
		for range 2 {
			assert.NilError(t, c.Exchange(callertest.Get))
			time.Sleep(2 * writeTimeout)
		}
		assert.NilError(t, c.Send(callertest.Get))
		time.Sleep(3*writeTimeout + 1)
		assert.Equal(t, len(errs), 1, "the response is still written")
		err := <-errs
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.ErrorContains(t, err, callerconn.Deadline.String()+": ")
	})
}

// A graceful shutdown must end the responses that callers do not read, so that they are reported, and no
// response that is just being written.
func TestShutdownEndsResponsesThatAreNotRead(t *testing.T) {
	file := settingsOf(t, oneHost[0])
	file.GetShutdown().DrainTimeout = durationpb.New(3 * time.Second)
	withCluster(t, shardedConfig(1, 1), nil, nil, func(cl *cluster) {
		errs := make(chan error, 1)
		s, l := serveCallers(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			errs <- err
		})
		g := cl.start(file)
		stalled, late := l.Dial(), l.Dial()
		assert.NilError(cl.t, late.Send(callertest.Get[:10]))
		assert.NilError(cl.t, stalled.Send(callertest.Get))
		time.AfterFunc(2990*time.Millisecond, func() { assert.Check(cl.t, late.Send(callertest.Get[10:])) })
		_ = g.shutDown(s)
		assert.Equal(cl.t, len(errs), 1, "one response is stalled")
		assert.ErrorIs(cl.t, <-errs, os.ErrDeadlineExceeded)
		status, err := late.Receive()
		assert.NilError(cl.t, err)
		assert.Equal(cl.t, status, http.StatusOK)
		_ = late.Close()
	})
}

// A configuration that lowers the idle limit must not close connections at once that callers reuse by
// the former limit.
func TestLowerIdleLimitSparesConnectionsInUseByTheFormer(t *testing.T) {
	config := shardedConfig(1, 1)
	config.Limits.IdleTimeout = 10 * time.Second
	withCluster(t, config, nil, oneHost, func(cl *cluster) {
		s, l := serveCallers(func(http.ResponseWriter, *http.Request) {})
		defer func() { _ = s.callers.Close() }()
		go cl.hosts["host1"].sweepIdle(cl.ctx, s, func(time.Time) {})
		time.Sleep(20 * time.Second)
		c := l.Dial()
		assert.NilError(cl.t, c.Exchange(callertest.Get))
		time.Sleep(6 * time.Second)
		config.Version, config.Limits.IdleTimeout = 2, 5*time.Second
		cl.store.PutConfig(config)
		time.Sleep(2 * time.Second)
		assert.NilError(cl.t, c.Exchange(callertest.Get))
		began := time.Now()
		_, err := c.Receive()
		assert.ErrorIs(cl.t, err, io.ErrUnexpectedEOF)
		idle := time.Since(began)
		assert.Assert(cl.t, idle >= 5*time.Second && idle <= 5*time.Second+2*idleSweepInterval, "%v", idle)
	})
}

// The line of a request whose caller has gone must tell how its connection ended.
func TestEndOfATrackedConnectionIsDescribed(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), nil, oneHost, func(cl *cluster) {
		ends := make(chan string, 2)
		s, l := serveCallers(func(_ http.ResponseWriter, r *http.Request) {
			ends <- describeEnd(r.Context())
			<-r.Context().Done()
			ends <- describeEnd(r.Context())
		})
		caller := l.Dial()
		assert.NilError(cl.t, caller.Send(callertest.Get))
		assert.Equal(cl.t, <-ends, "")
		assert.NilError(cl.t, caller.Close())
		assert.Equal(cl.t, <-ends, "end_of_file")
		assert.NilError(cl.t, cl.hosts["host1"].shutDown(s))
	})
}

package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/callerconn/callertest"
)

// A handler whose context is done must learn what ended the connection: only a reset proves that
// nobody reads the response.
func TestEndIsKnownByItsError(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for _, test := range []struct {
		errs []error
		want End
	}{
		{nil, Open}, {[]error{io.EOF}, EndOfFile}, {[]error{reset}, Reset}, {[]error{io.EOF, reset}, Reset}, {[]error{reset, io.EOF}, Reset},
		{[]error{os.ErrDeadlineExceeded}, Deadline}, {[]error{errors.New("no route to host")}, Broken},
	} {
		raw := &scriptedConn{}
		c := newConn(raw, NewTracker())
		c.readDeadline = time.Now()
		for _, err := range test.errs {
			raw.reads = append(raw.reads, func() (int, error) { return 0, err })
			_, got := c.Read(nil)
			assert.Equal(t, got, err)
		}
		assert.Equal(t, c.end, test.want, "%v", test.errs)
		assert.NilError(t, c.SetReadDeadline(interrupt))
		raw.reads = append(raw.reads, func() (int, error) { return 0, os.ErrDeadlineExceeded })
		_, _ = c.Read(nil)
		assert.Equal(t, c.end, test.want, "an interruption by net/http is no end")
	}
	c := newConn(&scriptedConn{writeErr: syscall.EPIPE}, NewTracker())
	_, _ = c.Write(nil)
	assert.Equal(t, c.end, Reset)
}

// Each connection must be counted once, by what ended it, and its handlers must learn the same.
func TestEndsAreCounted(t *testing.T) {
	before := map[End]uint64{}
	for e, counter := range ended {
		before[e] = counter.Get()
	}
	var seen []End
	serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch seen = append(seen, FromContext(r.Context())); len(seen) {
		case 1:
			w.Header().Set("Connection", "close")
		case 2:
			<-r.Context().Done()
			seen = append(seen, FromContext(r.Context()))
		}
	}, func(t *testing.T, l *callertest.Listener, conns *Tracker) {
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
		left := l.Dial()
		assert.NilError(t, left.Send(callertest.Get))
		assert.NilError(t, left.Close())
		time.Sleep(time.Second)
		assert.NilError(t, l.Dial().Exchange(callertest.Get))
		synctest.Wait()
		conns.CloseIdle(time.Now(), func(_ time.Duration, fresh bool) bool { return !fresh })
		time.Sleep(time.Second)
		l.Dial()
		_ = l.Close()
		assert.Equal(t, conns.Drain(t.Context()), 0)
	})
	assert.DeepEqual(t, seen, []End{Open, Open, EndOfFile, Open})
	for e, counter := range ended {
		want := before[e]
		if e == Closed || e == EndOfFile || e == Idle || e == Stopping {
			want++
		}
		assert.Check(t, counter.Get() == want, "%v", e)
	}
	assert.Equal(t, FromContext(t.Context()), Unknown)
}

package callerconn

import (
	"io"
	"net/http"

	"github.com/mallowgap/mallowgap/internal/memlimit"
)

// bodyBuffer is the size of the first buffer for a body, in bytes.
const bodyBuffer = 4 << 10

// ReadBody reads the body of a request within the limit of all requests. It returns a *http.MaxBytesError if the body
// is larger than limit, at once if its length is announced, and ErrEvicted if the request was ended to make room for others.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		c = newConn(nil, NewTracker()) // The connection is not tracked, and has no limit.
		c.begin()
	}
	memory, s := c.tracker.memory, c.currentShare()
	body, err := readBody(http.MaxBytesReader(nil, r.Body, limit), r.ContentLength, limit, func(n int64) error { return memory.grow(s, n) })
	if evicted := memory.noteWhole(s, err == nil); evicted != nil {
		err = evicted
	}
	if err == nil {
		err = c.noteWhole()
	}
	if err != nil {
		c.releaseShare() // Others must not wait until the caller has read the refusal.
		return nil, err
	}
	return body, nil
}

// readBody reads a body. The memory for an announced length is taken at once: requests that get it piece by piece would
// come to wait for each other. The buffer grows with what has arrived.
func readBody(body io.Reader, length, limit int64, grow func(n int64) error) ([]byte, error) {
	if length < 0 {
		return memlimit.ReadUpTo(body, limit+1, bodyBuffer, grow) // MaxBytesReader reports a body over the limit.
	}
	if err := grow(length); err != nil {
		return nil, err
	}
	return memlimit.ReadUpTo(body, length, min(length, bodyBuffer), func(int64) error { return nil })
}

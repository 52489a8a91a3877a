package httppool

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"

	"github.com/mallowgap/mallowgap/internal/memlimit"
)

// limitedReader reads from a connection. It limits the bytes of response heads, which http.ReadResponse
// does not, and counts them in the memory of the response.
type limitedReader struct {
	conn net.Conn
	// left is the number of bytes that may still be read.
	left int64
	// memory is set while a head is read.
	memory *memlimit.Share
}

// beginHead limits the bytes that are read until endHead.
func (l *limitedReader) beginHead(limit int64, memory *memlimit.Share) {
	l.left, l.memory = limit, memory
}

// endHead removes the limit.
func (l *limitedReader) endHead() { l.left, l.memory = math.MaxInt64, nil }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.memory != nil && err == nil {
		err = l.memory.Grow(int64(n) * headCost)
	}
	return n, err
}

// receive reads responses until the one that belongs to the request. It also returns
// whether the connection can be reused.
func (c *conn) receive(r *Request) (*Response, bool, error) {
	memory := memlimit.Share{Budget: c.limits.budget, Allowance: allowance}
	defer memory.Release()
	request := &http.Request{Method: r.Method}
	first := !c.reused
	c.source.beginHead(c.limits.maxHead, &memory)
	for range maxResponses {
		head, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, readError(r.Address, err)
		}
		if head.StatusCode < 100 { // http.ReadResponse accepts it, and it cannot be forwarded.
			return nil, false, readError(r.Address, errStatus)
		}
		if head.StatusCode < 200 {
			continue // Informational responses share the limit of the head that follows.
		}
		c.source.endHead()
		match := r.match(head)
		if match == Foreign {
			foreignResponses.Inc()
			first = false
			if err := discardBody(head, c.limits.maxBody); err != nil {
				return nil, false, readError(r.Address, err)
			}
			c.source.beginHead(c.limits.maxHead, &memory)
			continue
		}
		if match == Unidentified && !first {
			return nil, false, readError(r.Address, errUnidentified)
		}
		body, err := readBody(head, c.limits.maxBody, &memory)
		if err != nil {
			return nil, false, readError(r.Address, err)
		}
		reusable := !head.Close && c.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, reusable, nil
	}
	return nil, false, readError(r.Address, errMismatched)
}

func (r *Request) match(response *http.Response) Match {
	if r.Match == nil {
		return Own
	}
	return r.Match(response)
}

// discardBody reads a body to its end. It does not close the body, which would read an endless one on.
func discardBody(head *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, limit+1))
	if err == nil && n > limit {
		return errBodyTooLarge
	}
	return err
}

const (
	// allowance is the memory, in bytes, that a response may take without a share of the budget, so that
	// servers with endless responses do not fail ordinary ones.
	allowance = 128 << 10
	// headCost is the memory that a byte of a response head takes at most once it is parsed, in bytes.
	headCost = 16
	// minBuffer is the size in bytes of the first buffer for a body of unknown length.
	minBuffer = 512
	// maxFirstBuffer limits the first buffer for a body whose length the server announces, in bytes.
	maxFirstBuffer = 64 << 10
)

// readBody reads a body to its end.
func readBody(head *http.Response, limit int64, memory *memlimit.Share) ([]byte, error) {
	if head.Request.Method == http.MethodHead {
		return nil, nil // The length is that of the body that a GET would get.
	}
	length := head.ContentLength
	if length < 0 {
		body, err := memlimit.ReadUpTo(head.Body, limit+1, minBuffer, memory.Grow)
		if err == nil && int64(len(body)) > limit {
			return nil, errBodyTooLarge
		}
		return body, err
	}
	if length > limit {
		return nil, errBodyTooLarge
	}
	body, err := memlimit.ReadUpTo(head.Body, length, min(length, maxFirstBuffer), memory.Grow)
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return body, nil
}

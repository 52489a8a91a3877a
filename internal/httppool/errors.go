package httppool

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/internal/memlimit"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// foreignResponses counts the responses to other requests that were skipped.
var foreignResponses = metrics.GetOrCreateCounter("mallowgap_server_foreign_responses_total")

// Reason tells why the bytes that a server sent are no response to the request.
type Reason string

const (
	// ReasonMalformed: the bytes are not HTTP/1.1.
	ReasonMalformed Reason = "malformed"
	// ReasonForeign: all responses belong to other requests.
	ReasonForeign Reason = "foreign"
	// ReasonUnidentified: the response names no request and the connection carried others.
	ReasonUnidentified Reason = "unidentified"
	// ReasonHeadTooLarge: the head exceeds Settings.MaxHead.
	ReasonHeadTooLarge Reason = "head_too_large"
	// ReasonBodyTooLarge: the body exceeds Settings.MaxBody.
	ReasonBodyTooLarge Reason = "body_too_large"
	// ReasonMemory: all responses that are being read would exceed Settings.MaxMemory.
	ReasonMemory Reason = "memory"
)

// InvalidResponseError reports that a server sent bytes that are no response to the request. The
// server may have run the request.
type InvalidResponseError struct {
	Address string
	Reason  Reason
	Err     error
}

// Error returns the address and the cause.
func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("invalid response from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Err }

// NotSentError reports that no byte of the request was sent, so that the server cannot
// run it.
type NotSentError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

var (
	errMismatched   = errors.New("the responses on this connection belong to other requests")
	errUnidentified = errors.New("the response names no request, on a connection that carried others: it may belong to one of them")
	errHeadTooLarge = errors.New("the head of the response exceeds the limit")
	errBodyTooLarge = errors.New("the body exceeds the limit")
	errTruncated    = errors.New("the body ended before its Content-Length")
	errStatus       = errors.New("the status code is below 100")
)

// invalidReasons maps errors to the reason why a response is invalid.
var invalidReasons = map[error]Reason{
	errMismatched: ReasonForeign, errUnidentified: ReasonUnidentified, errHeadTooLarge: ReasonHeadTooLarge,
	errBodyTooLarge: ReasonBodyTooLarge, memlimit.ErrExhausted: ReasonMemory,
}

// readError returns the error of a call whose response could not be read: the connection ended, or
// its bytes are invalid.
func readError(address string, err error) error {
	for cause, reason := range invalidReasons {
		if errors.Is(err, cause) {
			return &InvalidResponseError{Address: address, Reason: reason, Err: err}
		}
	}
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("read response from %s: %w", address, err)
	}
	return &InvalidResponseError{Address: address, Reason: ReasonMalformed, Err: obs.Shorten(err)}
}

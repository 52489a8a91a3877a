package home

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// panicRetryAfter is the retry delay suggested after a panic.
const panicRetryAfter = 200 * time.Millisecond

// PanicError reports a panic while a request or a peer's message was processed.
type PanicError struct {
	// Operation names the operation that panicked.
	Operation string
	// Value is the value passed to panic.
	Value any
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%s: panic, a fault of the program: %v (the log has the stack trace)", e.Operation, e.Value)
}

// isPanic reports whether an error is a *PanicError.
func isPanic(err error) bool {
	var e *PanicError
	return errors.As(err, &e)
}

// RecoverPanic runs fn for a request and converts a panic into a *PanicError. Without it a panic
// would end the process and with it all requests in flight. Locks must be released by deferred calls
// within fn.
func RecoverPanic(log *zerolog.Logger, work, request string, fn func()) (err error) {
	defer recoverTo(&err, log, work, request)
	fn()
	return nil
}

// recoverTo must be deferred. It converts a panic into a *PanicError in err.
func recoverTo(err *error, log *zerolog.Logger, work, request string) {
	if value := recover(); value != nil {
		obs.LogPanic(log, work, value, "recovered from a panic: the operation fails, the entry host continues", func(e *zerolog.Event) *zerolog.Event {
			return e.Str("request", request)
		})
		*err = &PanicError{Operation: work, Value: value}
	}
}

// PanicNotRun returns the reply to a request that no leaf executed because of a panic.
func PanicNotRun(req *callerpb.AskRequest) *callerpb.AskReply {
	return NotRun(req, callerpb.Reason_REASON_UNSPECIFIED, panicMessage+": retry later", panicRetryAfter)
}

// PanicUnknown returns the reply to a request that may have been executed before a panic.
func PanicUnknown(req *callerpb.AskRequest) *callerpb.AskReply {
	return OutcomeUnknown(req, callerpb.Reason_REASON_UNSPECIFIED, panicMessage+", and the request may have been executed: repeat it if it is repeatable, otherwise resend it with the same ticket", panicRetryAfter)
}

const panicMessage = "the entry host met a fault of its program, which it logged"

// recoverPanic is RecoverPanic with the log of the service.
func (s *Service) recoverPanic(work, request string, fn func()) error {
	return RecoverPanic(&s.options.PanicLog, work, request, fn)
}

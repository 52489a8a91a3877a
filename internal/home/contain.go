package home

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/callerpb"
)

const (
	// maxStackBytes limits the stack trace in a log line, in bytes.
	maxStackBytes = 2000
	// panicRetryAfter is the retry delay suggested after a panic.
	panicRetryAfter = 200 * time.Millisecond
)

var panicsRecovered = metrics.GetOrCreateCounter("mallowgap_faults_contained_total")

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
		logPanic(log, work, request, value)
		*err = &PanicError{Operation: work, Value: value}
	}
}

// logPanic logs and counts a panic. It must be called by the deferred function that recovers, so that
// the stack is that of the panic.
func logPanic(log *zerolog.Logger, work, request string, value any) {
	panicsRecovered.Inc()
	defer func() {
		if recover() != nil {
			panicsRecovered.Inc() // The log itself panicked, so it can't be told.
		}
	}()
	stack := debug.Stack()
	log.Error().Str("request", request).Str("work", work).Str("fault", fmt.Sprint(value)).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).
		Msg("recovered from a panic: the operation fails, the entry host continues")
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

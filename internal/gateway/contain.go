package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// maxStackBytes limits the stack trace in a log line, in bytes.
const maxStackBytes = 2000

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

// recoverPanic runs fn for a request or a peer and converts a panic into a *PanicError. Without it
// a panic would end the process, and the caller would retry the same request at the next host.
func (g *Gateway) recoverPanic(work, request string, fn func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panicsRecovered.Inc()
			stack := debug.Stack()
			g.log.Error().Str("request", request).Str("work", work).Interface("fault", value).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("recovered from a panic: the operation fails, the gateway continues")
			err = &PanicError{Operation: work, Value: value}
		}
	}()
	return fn()
}

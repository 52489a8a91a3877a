package coordination

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// maxStackBytes limits the stack trace in a log line, in bytes.
const maxStackBytes = 2000

// recoverPanic runs f and recovers from a panic: hosts get the same messages, and would all end.
func recoverPanic(log zerolog.Logger, work string, f func()) {
	defer func() {
		if value := recover(); value != nil {
			faultsContained.Inc()
			stack := debug.Stack()
			log.Error().Str("work", work).Str("fault", fmt.Sprint(value)).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("recovered from a panic: skipping the message")
		}
	}()
	f()
}

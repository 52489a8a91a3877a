package coordination

import (
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/internal/obs"
)

// recoverPanic runs f and recovers from a panic: hosts get the same messages, and would all end.
func recoverPanic(log zerolog.Logger, work string, f func()) {
	defer func() {
		if value := recover(); value != nil {
			obs.LogPanic(&log, work, value, "recovered from a panic: skipping the message", func(e *zerolog.Event) *zerolog.Event { return e })
		}
	}()
	f()
}

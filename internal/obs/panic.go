package obs

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// maxStackBytes limits the stack trace in a log line, in bytes.
const maxStackBytes = 2000

// PanicsRecovered counts the panics that were recovered.
var PanicsRecovered = metrics.GetOrCreateCounter("mallowgap_faults_contained_total")

// LogPanic counts a recovered panic and logs it with its stack. It must be called by the deferred
// function that recovers, so that the stack is that of the panic. A panic of the log itself, or of
// addFields, is only counted.
func LogPanic(log *zerolog.Logger, work string, value any, message string, addFields func(*zerolog.Event) *zerolog.Event) {
	PanicsRecovered.Inc()
	defer func() {
		if recover() != nil {
			PanicsRecovered.Inc()
		}
	}()
	stack := debug.Stack()
	e := log.Error().Str("work", work).Str("fault", fmt.Sprint(value)).Bytes("stack", stack[:min(len(stack), maxStackBytes)])
	addFields(e).Msg(message)
}

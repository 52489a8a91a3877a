package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// maxStack bounds what a line says of where a fault of the program is, in bytes.
const maxStack = 2000

var contained = metrics.GetOrCreateCounter("mallowgap_faults_contained_total")

// PanicError is a fault of this program that work on one request or message met.
type PanicError struct {
	// Work names what was done.
	Work string
	// Value is what the fault said.
	Value any
}

// Error names the work and the fault.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%s met a fault of the program: %v: see the line about it", e.Work, e.Value)
}

// contain does work for a request or a peer, and returns a *PanicError where it panics. A panic
// on a goroutine of its own ends the host with all that it serves, and its caller goes on to the
// next host with the same: it is a request under which hosts end, instead of servers.
func (g *Gateway) contain(work, request string, do func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			contained.Inc()
			stack := debug.Stack()
			g.log.Error().Str("request", request).Str("work", work).Interface("fault", value).Bytes("stack", stack[:min(len(stack), maxStack)]).Msg("fault of the program: this work ends, the host goes on")
			err = &PanicError{Work: work, Value: value}
		}
	}()
	return do()
}

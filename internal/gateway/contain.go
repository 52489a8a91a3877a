package gateway

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/internal/obs"
)

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
func (g *Gateway) recoverPanic(work, request string, fn func() error) error {
	return g.recoverPanicWith(work, request, func(e *zerolog.Event) *zerolog.Event { return e }, fn)
}

// recoverPanicWith is recoverPanic with a function that adds fields to the log line of a panic.
func (g *Gateway) recoverPanicWith(work, request string, addFields func(*zerolog.Event) *zerolog.Event, fn func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.logPanic(work, request, value, addFields)
			err = &PanicError{Operation: work, Value: value}
		}
	}()
	return fn()
}

// logPanic logs and counts a panic. It must be called by the deferred function that recovers, so that
// the stack is that of the panic.
func (g *Gateway) logPanic(work, request string, value any, addFields func(*zerolog.Event) *zerolog.Event) {
	obs.LogPanic(&g.requestLog.faults, work, value, "recovered from a panic: the operation fails, the gateway continues", func(e *zerolog.Event) *zerolog.Event {
		return addFields(e.Str("request", request))
	})
}

// ReportPanic logs and counts a panic outside Serve, while a request was decoded or its answer
// encoded. It must be called by the deferred function that recovers. answered is false if the caller
// got no whole answer.
func (g *Gateway) ReportPanic(ctx context.Context, request string, value any, answered bool) {
	if !answered {
		countUnanswered(unansweredPanic)
	}
	g.logPanic("response to a caller", request, value, func(e *zerolog.Event) *zerolog.Event {
		return e.Bool("answered", answered).Uint64("version", (&requestState{view: g.control.View()}).version()).Str("end", describeEnd(ctx))
	})
}

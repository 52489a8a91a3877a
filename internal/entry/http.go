package entry

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// httpHandler serves liveness, readiness and metrics.
func (d *Daemon) httpHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if d.Ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready: no configuration in force yet, or stopping\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}

// callWatcher counts gRPC calls that end with an error, such as messages that are too large or cannot be
// decoded, and tells which messages are being read.
type callWatcher struct{ messages *callerconn.Messages }

// messageEnd is the key of the function that ends the reading of a call's message in its context.
type messageEnd struct{}

// TagRPC implements stats.Handler.
func (w callWatcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, messageEnd{}, w.messages.Reading(ctx))
}

// HandleRPC implements stats.Handler.
func (callWatcher) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		endMessage(ctx)
	case *stats.End:
		endMessage(ctx)
		countRefused(event)
	}
}

func endMessage(ctx context.Context) {
	if end, ok := ctx.Value(messageEnd{}).(func()); ok {
		end()
	}
}

func countRefused(end *stats.End) {
	if end.Error == nil {
		return
	}
	code := status.Code(end.Error)
	if code == codes.OK {
		code = codes.Unknown
	}
	obs.Counter("mallowgap_calls_refused_total", "code", code.String()).Inc()
}

// TagConn implements stats.Handler.
func (w callWatcher) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	return w.messages.TagConn(ctx, info.RemoteAddr)
}

// HandleConn implements stats.Handler.
func (callWatcher) HandleConn(context.Context, stats.ConnStats) {}

package entry

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

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

// refusedCallCounter counts gRPC calls that end with an error, such as messages that
// are too large or cannot be decoded.
type refusedCallCounter struct{}

// TagRPC implements stats.Handler.
func (refusedCallCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler.
func (refusedCallCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	end, ok := event.(*stats.End)
	if !ok || end.Error == nil {
		return
	}
	code := status.Code(end.Error)
	if code == codes.OK {
		code = codes.Unknown
	}
	obs.Counter("mallowgap_calls_refused_total", "code", code.String()).Inc()
}

// TagConn implements stats.Handler.
func (refusedCallCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (refusedCallCounter) HandleConn(context.Context, stats.ConnStats) {}

package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/pause"
	"github.com/mallowgap/mallowgap/internal/peer"
)

const (
	// bodyTimeout limits the time to read one request, including its body.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits the time for which a caller may keep a response from being written. It is as
	// generous as bodyTimeout: a caller that waits for a response reads it.
	writeTimeout = 30 * time.Second
	// maxIdleTime limits the idle time of a caller's connection if the configuration sets no limit.
	maxIdleTime = 5 * time.Minute
	// idleSweepInterval is the interval between checks for idle connections.
	idleSweepInterval = time.Second
	// answerTime is the time before the end of a graceful shutdown at which requests in flight are
	// ended, so that their answers are written. answerShare limits it, as a share of the time to drain.
	answerTime  = 250 * time.Millisecond
	answerShare = 0.25
	// maxProbeHead limits the head of a request for readiness or metrics, in bytes.
	maxProbeHead = 8 << 10
	// closeTimeout limits the time to close the remaining listeners at the end of a graceful shutdown.
	closeTimeout = 300 * time.Millisecond
)

// ErrRequestsAborted is returned by Run if a graceful shutdown aborted requests that were in
// flight.
var ErrRequestsAborted = errors.New("requests were cut off: raise drain_timeout in [shutdown]")

// Handlers are the HTTP handlers and the periodic task of the platform adapter.
type Handlers struct {
	Callers, Ready http.Handler
	// Sweep is called every second to close connections that have been idle for too long.
	Sweep func(now time.Time)
}

// endpoints holds the servers and listeners of a gateway.
type endpoints struct {
	callers, ready, metrics *http.Server
	peers                   *drpcserver.Server
	listeners               map[string]net.Listener
	conns                   *callerconn.Tracker
}

// Run serves until stop is closed and then performs a graceful shutdown. It returns
// ErrRequestsAborted if that aborted requests in flight.
func (g *Gateway) Run(stop <-chan struct{}, h Handlers) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := g.listen(h)
	if err != nil {
		return err
	}
	g.Start(ctx)
	peerCtx, stopPeers := context.WithCancel(ctx)
	defer stopPeers()
	s.serve(peerCtx)
	go g.sweepIdle(ctx, s, h.Sweep)
	g.log.Info().Str("domain", g.self.GetDomain()).Str("callers", g.settings.GetListen().GetCallers()).Int("processors", runtime.GOMAXPROCS(0)).Msg("gateway started")
	<-stop
	g.log.Info().Int("in_flight", g.InFlight()).Msg("planned stop begins")
	g.BeginStop(ctx)
	pause.Sleep(ctx, g.settings.GetShutdown().GetBalancerLag().AsDuration())
	return g.shutDown(s)
}

// shutDown stops accepting connections, waits for the requests in flight and closes the gateway.
func (g *Gateway) shutDown(s *endpoints) error {
	shutdown := g.settings.GetShutdown()
	drain := shutdown.GetDrainTimeout().AsDuration()
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	abort := time.AfterFunc(drain-min(answerTime, time.Duration(answerShare*float64(drain))), g.abortRequests)
	defer abort.Stop()
	// http.Server.Shutdown is not used, as it drops requests whose header was just read.
	s.conns.StopAccepting(s.listeners["callers"])
	if open := s.conns.Drain(ctx); open > 0 {
		g.log.Warn().Int("connections", open).Msg("connections of callers are still in use after drain_timeout")
	}
	cut := g.WaitDrained(ctx) + int(g.aborted.Load())
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	_ = s.ready.Shutdown(closeCtx)
	g.Close()
	g.log.Info().Int("cut", cut).Msg("planned stop ended")
	if cut > 0 {
		return fmt.Errorf("%w (%d)", ErrRequestsAborted, cut)
	}
	return nil
}

func (g *Gateway) listen(h Handlers) (*endpoints, error) {
	l := g.settings.GetListen()
	s := &endpoints{listeners: map[string]net.Listener{}, conns: callerconn.NewTracker()}
	for key, address := range map[string]string{"callers": l.GetCallers(), "ready": l.GetReady(), "peers": l.GetPeers(), "metrics": l.GetMetrics()} {
		if address == "" {
			continue
		}
		listen := net.Listen
		if key == "callers" {
			listen = listenCallers
		}
		listener, err := listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("[listen] %s: %w: choose a free address of this host", key, err)
		}
		s.listeners[key] = listener
	}
	s.conns.Limit(g.callerLimits())
	s.listeners["callers"] = s.conns.Listen(s.listeners["callers"])
	s.callers = newCallerServer(h.Callers, l.GetHeaderTimeout().AsDuration(), s.conns)
	s.ready = newProbeServer(h.Ready, l.GetHeaderTimeout().AsDuration())
	s.metrics = newProbeServer(metricsHandler(), l.GetHeaderTimeout().AsDuration())
	errorLog := newHTTPErrorLog(g.log)
	s.callers.ErrorLog, s.ready.ErrorLog, s.metrics.ErrorLog = errorLog, errorLog, errorLog
	mux := drpcmux.New()
	if err := relaypb.DRPCRegisterRelay(mux, g); err != nil {
		return nil, fmt.Errorf("register the relay protocol: %w", err)
	}
	s.peers = peer.NewServer(mux)
	return s, nil
}

// listenCallers has the form of net.Listen.
func listenCallers(_, address string) (net.Listener, error) {
	return callerconn.ListenTCP(context.Background(), address)
}

// newCallerServer returns the server for the requests of callers.
func newCallerServer(h http.Handler, headerTimeout time.Duration, conns *callerconn.Tracker) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: writeTimeout, IdleTimeout: maxIdleTime}
	conns.Configure(s)
	return s
}

// newProbeServer returns a server for readiness checks or metrics, whose requests are short.
func newProbeServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, MaxHeaderBytes: maxProbeHead}
}

func metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}

func (s *endpoints) serve(ctx context.Context) {
	for key, server := range map[string]*http.Server{"callers": s.callers, "ready": s.ready, "metrics": s.metrics} {
		if listener := s.listeners[key]; listener != nil {
			go func() { _ = server.Serve(listener) }()
		}
	}
	go func() { _ = s.peers.Serve(ctx, s.listeners["peers"]) }()
}

// sweepIdle closes connections that have been idle for too long until ctx is done.
// http.Server.IdleTimeout cannot be used because the limit changes with the configuration.
func (g *Gateway) sweepIdle(ctx context.Context, s *endpoints, sweepEdges func(now time.Time)) {
	var limit callerconn.IdleLimit
	for ctx.Err() == nil {
		pause.Sleep(ctx, idleSweepInterval)
		now := time.Now()
		sweepEdges(now)
		observeCallers(s.conns)
		idleTimeout := g.Limits().IdleTimeout
		if idleTimeout <= 0 {
			idleTimeout = maxIdleTime
		}
		limit.Set(idleTimeout, now)
		s.conns.CloseIdle(now, func(idle time.Duration, fresh bool) bool { return !fresh && limit.Expired(idle, now) })
	}
}

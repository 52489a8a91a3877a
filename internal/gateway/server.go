package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// bodyTimeout bounds the reading of one request with its body.
	bodyTimeout = 30 * time.Second
	// idleLongest bounds the idle time of a caller's connection where the
	// configuration gives none.
	idleLongest = 5 * time.Minute
	// sweepEvery is the interval at which idle connections are looked at.
	sweepEvery = time.Second
	// closeTime is kept at the end of a planned stop for closing.
	closeTime = 300 * time.Millisecond
)

// ErrCut is returned by Run when a planned stop cut requests off.
var ErrCut = errors.New("requests were cut off: raise drain_timeout in [shutdown]")

// Handlers are the HTTP handlers of the platform's adapter.
type Handlers struct {
	Callers, Ready http.Handler
	// Sweep is called every second, to close what is idle for too long.
	Sweep func(now time.Time)
}

// servers are the listeners of a gateway.
type servers struct {
	callers, ready, metrics *http.Server
	peers                   *drpcserver.Server
	listeners               map[string]net.Listener
	idle                    *idleConns
}

// Run serves until stop is closed, then stops as planned. It returns ErrCut
// where requests were cut off.
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
	go g.sweep(ctx, s, h.Sweep)
	g.log.Info().Str("domain", g.self.GetDomain()).Str("callers", g.settings.GetListen().GetCallers()).Msg("gateway started")
	<-stop
	g.log.Info().Int("in_flight", g.InFlight()).Msg("planned stop begins")
	g.Leave(ctx)
	pause.For(ctx, g.settings.GetShutdown().GetBalancerLag().AsDuration())
	return g.finish(s)
}

// finish takes no more connections, waits for the requests in flight and
// closes.
func (g *Gateway) finish(s *servers) error {
	shutdown := g.settings.GetShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), shutdown.GetDrainTimeout().AsDuration())
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Msg("connections of callers are still in use at the end of the planned stop")
	}
	cut := g.Drained(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTime)
	defer cancelClose()
	_ = s.ready.Shutdown(closeCtx)
	g.Close()
	g.log.Info().Int("cut", cut).Msg("planned stop ended")
	if cut > 0 {
		return fmt.Errorf("%w (%d)", ErrCut, cut)
	}
	return nil
}

func (g *Gateway) listen(h Handlers) (*servers, error) {
	l := g.settings.GetListen()
	s := &servers{listeners: map[string]net.Listener{}, idle: &idleConns{since: map[net.Conn]time.Time{}}}
	for key, address := range map[string]string{"callers": l.GetCallers(), "ready": l.GetReady(), "peers": l.GetPeers(), "metrics": l.GetMetrics()} {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("[listen] %s: %w: choose a free address of this host", key, err)
		}
		s.listeners[key] = listener
	}
	s.callers = &http.Server{
		Handler: h.Callers, ReadHeaderTimeout: l.GetHeaderTimeout().AsDuration(), ReadTimeout: bodyTimeout,
		IdleTimeout: idleLongest, ConnState: s.idle.changed,
	}
	s.ready = &http.Server{Handler: h.Ready, ReadHeaderTimeout: l.GetHeaderTimeout().AsDuration()}
	s.metrics = &http.Server{Handler: metricsHandler(), ReadHeaderTimeout: l.GetHeaderTimeout().AsDuration()}
	mux := drpcmux.New()
	if err := relaypb.DRPCRegisterRelay(mux, g); err != nil {
		return nil, fmt.Errorf("register the relay protocol: %w", err)
	}
	s.peers = drpcserver.New(mux)
	return s, nil
}

func metricsHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}

func (s *servers) serve(ctx context.Context) {
	for key, server := range map[string]*http.Server{"callers": s.callers, "ready": s.ready, "metrics": s.metrics} {
		if listener := s.listeners[key]; listener != nil {
			go func() { _ = server.Serve(listener) }()
		}
	}
	go func() { _ = s.peers.Serve(ctx, s.listeners["peers"]) }()
}

// sweep closes connections that were idle for too long.
func (g *Gateway) sweep(ctx context.Context, s *servers, edges func(now time.Time)) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepEvery)
		now := time.Now()
		edges(now)
		if table := g.control.View().Table; table != nil && table.Limits().IdleTimeout > 0 {
			s.idle.closeOlder(now.Add(-table.Limits().IdleTimeout))
		}
	}
}

// idleConns knows which connections of callers are idle. The limit comes from
// the configuration and changes with it, so that http.Server's own cannot be
// used.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

func (i *idleConns) closeOlder(than time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if since.Before(than) {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}

package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// suspensionCheckInterval is how often a host checks whether it was suspended.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension to handle. All timeouts between hosts tolerate
	// shorter ones.
	minSuspension = 250 * time.Millisecond
	// maxUnconfirmed is how long a resumed host is not ready if neither the store nor a
	// leader responds. After it, the last known state is used, as in any outage.
	maxUnconfirmed = time.Second
)

var suspensions = metrics.GetOrCreateCounter("mallowgap_suspensions_total")

// detectSuspensions handles suspensions of the machine. The monotonic clock, and with it all
// timers, leases and ages, stands still during a suspension, while the other hosts and the
// store go on.
func (c *Control) detectSuspensions(ctx context.Context) {
	previous := c.suspended()
	for pause.Sleep(ctx, suspensionCheckInterval); ctx.Err() == nil; pause.Sleep(ctx, suspensionCheckInterval) {
		total := c.suspended()
		if suspendedFor := total - previous; suspendedFor >= minSuspension {
			c.onResume(ctx, suspendedFor)
		}
		previous = total
	}
}

// onResume handles a suspension of the machine. The state has aged by its duration and counts
// as unconfirmed until the store or a leader has been heard, because configuration,
// evacuations and servers may have changed. Open connections may be dead.
func (c *Control) onResume(ctx context.Context, suspendedFor time.Duration) {
	suspensions.Inc()
	c.log.Warn().Dur("slept", suspendedFor).Msg("machine was suspended: waiting for the state to be confirmed")
	c.state.do(ctx, func() { c.state.onResume(suspendedFor, time.Now()) })
	c.announcer.onResume()
	for _, hosts := range c.View().Hosts {
		for _, h := range hosts {
			c.peers.CloseIdle(h.Address)
		}
	}
	c.store.Reconnect()
	notify(c.resumed)
}

// cancelOnResume makes a store call. If the machine turns out to have been suspended meanwhile, it
// cancels the call and returns errResumed: the connection may be dead, and the call's timeout did
// not run during the suspension.
func (c *Control) cancelOnResume(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	select {
	case err := <-done:
		return err
	case <-c.resumed:
		cancel()
		<-done
		return errResumed
	}
}

// onResume shifts all times of the state into the past by the duration of the suspension.
func (s *state) onResume(suspendedFor time.Duration, now time.Time) {
	for _, at := range []*time.Time{&s.storeLost, &s.fewerSince, &s.tableSince, &s.tally.loggedAt} {
		if !at.IsZero() {
			*at = at.Add(-suspendedFor)
		}
	}
	s.registry.AddSuspension(suspendedFor)
	s.publishLastHeard()
	s.unconfirmedSince = now
	s.listener.Resumed(suspendedFor)
	s.publish(now)
}

// confirm records that the store, or a leader that reads it, has been heard.
func (s *state) confirm(now time.Time) {
	s.clearUnconfirmed("state confirmed after the suspension", now)
}

// clearUnconfirmed makes an unconfirmed state count again, and logs why.
func (s *state) clearUnconfirmed(message string, now time.Time) {
	if s.unconfirmedSince.IsZero() {
		return
	}
	s.log.Info().Dur("doubted", now.Sub(s.unconfirmedSince)).Uint64("revision", s.revision).Msg(message)
	s.unconfirmedSince = time.Time{}
	s.publish(now)
}

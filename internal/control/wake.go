package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// clockTick is the interval at which a host looks whether it was suspended. The two reads
	// of clocks cost 0.5 us together (suspend.BenchmarkTotal).
	clockTick = 100 * time.Millisecond
	// leastSuspension is the least suspension that is acted upon: a shorter one is within what
	// every timeout between hosts allows for.
	leastSuspension = 250 * time.Millisecond
	// doubtLimit bounds for how long a host that has woken is not ready where neither the
	// store nor a peer answers: what it knows then stays in force, as in any outage.
	doubtLimit = time.Second
)

var suspensions = metrics.GetOrCreateCounter("mallowgap_suspensions_total")

// watchClock finds out that the machine was suspended. The steady clock, and with it every
// timer, lease and age here, stood still meanwhile; the other hosts and the store went on.
func (c *Control) watchClock(ctx context.Context) {
	before := c.suspended()
	for pause.For(ctx, clockTick); ctx.Err() == nil; pause.For(ctx, clockTick) {
		total := c.suspended()
		if slept := total - before; slept >= leastSuspension {
			c.woke(ctx, slept)
		}
		before = total
	}
}

// woke takes in that the machine was suspended for a time. What is known is as much older,
// and counts as doubtful until the store or a host that is followed has been heard: a host
// that woke was ready at once with a configuration, evacuations and servers that had changed
// meanwhile. Connections that were open may be silent for good.
func (c *Control) woke(ctx context.Context, slept time.Duration) {
	suspensions.Inc()
	c.log.Warn().Dur("slept", slept).Msg("the machine was suspended: what is known is doubtful until it is confirmed")
	c.state.do(ctx, func() { c.state.woke(slept, time.Now()) })
	c.announce.woke()
	for _, hosts := range c.View().Hosts {
		for _, h := range hosts {
			c.peers.Forget(h.Address)
		}
	}
	c.store.Reconnect()
	nudge(c.awake)
}

// whileAwake makes a call of the store that ends when the machine turns out to have been
// suspended: its connection may be silent for good, and its timeout has not run meanwhile.
func (c *Control) whileAwake(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	select {
	case err := <-done:
		return err
	case <-c.awake:
		cancel()
		<-done
		return errWoke
	}
}

// woke makes what is known older by the time for which the machine was suspended.
func (s *state) woke(slept time.Duration, now time.Time) {
	for _, at := range []*time.Time{&s.contact, &s.storeLost, &s.trustHosts, &s.fewerSince, &s.tableSince, &s.tally.toldAt} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
	s.registry.Slept(slept)
	s.doubted = now
	s.listener.Slept(slept)
	s.publish(now)
}

// assure notes that the store, or a host that reads it, was heard after the machine woke.
func (s *state) assure(now time.Time) { s.endDoubt("what is known is confirmed", now) }

// endDoubt lets what is known count again, for the reason given.
func (s *state) endDoubt(why string, now time.Time) {
	if s.doubted.IsZero() {
		return
	}
	s.log.Info().Dur("doubted", now.Sub(s.doubted)).Uint64("revision", s.revision).Msg(why)
	s.doubted = time.Time{}
	s.publish(now)
}

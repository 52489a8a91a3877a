package coordination

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
)

const (
	// pollInterval is the interval at which a host checks whether there is a better coordinator, or
	// whether the configuration needs one.
	pollInterval = 500 * time.Millisecond
	// startInterval is that interval while the fleet is not known yet.
	startInterval = 20 * time.Millisecond
	// moveDelay is how long another coordinator must be preferred before a host leaves one that
	// works: the ledger of a coordinator begins anew without its hosts.
	moveDelay = 2 * time.Second
	// minCooldown is how long a host is not chosen as coordinator after its stream ended. It
	// doubles with each failure in a row up to maxCooldown.
	minCooldown = time.Second
	maxCooldown = 16 * time.Second
	// oldVersionCooldown is how long a host is not chosen that does not know the method. It is
	// replaced within the time of a deployment, not sooner.
	oldVersionCooldown = 10 * time.Second
	// leaveTimeout limits the time to leave the coordinator at the end of a graceful shutdown.
	leaveTimeout = 2 * closeTimeout
	// linesPerSecond limits the log lines of one process about coordination.
	linesPerSecond = 5
)

// Coordination connects this host with its coordinator, and other hosts with this one while it is
// theirs. It is safe for concurrent use.
type Coordination struct {
	config  Config
	log     zerolog.Logger
	server  *server
	account *account
	tasks   sync.WaitGroup
	// stopping is set when a graceful shutdown begins; leave is closed when this host admits no
	// more requests.
	stopping  atomic.Bool
	leave     chan struct{}
	leaveOnce sync.Once
	// ended is closed when run returns.
	ended chan struct{}
	// resumed receives a value after a suspension of the machine.
	resumed chan struct{}

	// cooldowns belongs to the goroutine of run.
	cooldowns map[string]cooldown
}

// cooldown keeps a host from being chosen as coordinator.
type cooldown struct {
	until    time.Time
	failures int
}

// New returns a Coordination. Call Start to run it.
func New(config Config) *Coordination {
	if config.Gates == nil {
		config.Gates = noGates{}
	}
	if config.Listener == nil {
		config.Listener = noListener{}
	}
	log := obs.RateLimited(config.Log, linesPerSecond)
	return &Coordination{
		config: config, log: log, server: newServer(config, log), account: newAccount(config.Meter),
		leave: make(chan struct{}), ended: make(chan struct{}), resumed: make(chan struct{}, 1), cooldowns: map[string]cooldown{},
	}
}

// Start starts the goroutines. They run until ctx is done.
func (c *Coordination) Start(ctx context.Context) {
	c.tasks.Go(func() { c.server.run(ctx) })
	c.tasks.Go(func() { c.run(ctx) })
}

// Wait waits for the goroutines of Start.
func (c *Coordination) Wait() { c.tasks.Wait() }

// Serve serves the stream of a host that has chosen this one as coordinator, until it ends.
func (c *Coordination) Serve(stream ServerStream) error { return c.server.serve(stream) }

// BeginStop begins a graceful shutdown: this host stops coordinating, so that the hosts connect to
// the next candidate. It stays connected to a coordinator itself.
func (c *Coordination) BeginStop() {
	c.stopping.Store(true)
	c.server.beginStop()
}

// Leave tells the coordinator that this host admits no more requests, and ends the stream. It
// returns in bounded time.
func (c *Coordination) Leave() {
	c.leaveOnce.Do(func() { close(c.leave) })
	timer := time.NewTimer(leaveTimeout)
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-timer.C:
	}
}

// Resumed reports that the machine was suspended, which the monotonic clock did not count.
func (c *Coordination) Resumed() {
	select {
	case c.resumed <- struct{}{}:
	default:
	}
	go c.server.post(func(now time.Time) { c.server.dropAll(errSuspended, now) })
}

// run keeps this host connected to a coordinator until ctx is done or the host leaves.
func (c *Coordination) run(ctx context.Context) {
	defer close(c.ended)
	for ctx.Err() == nil {
		if target, _ := c.choose(time.Now()); target.Name != "" {
			c.connect(ctx, target)
		} else {
			c.idle(ctx)
		}
		select {
		case <-c.leave:
			return
		default:
		}
	}
}

// idle waits until it is time to look for a coordinator again.
func (c *Coordination) idle(ctx context.Context) {
	interval := pollInterval
	if c.config.State().Hosts == 0 {
		interval = startInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.leave:
	case <-ctx.Done():
	}
}

// choose returns the host to connect to: the first candidate that is suitable now. The host is empty
// if there is none, and enabled is not set if there is nothing to coordinate.
func (c *Coordination) choose(now time.Time) (target Host, enabled bool) {
	state := c.config.State()
	c.account.setHosts(state.Hosts, state.Rank)
	if !state.Enabled {
		return Host{}, false
	}
	for _, h := range state.Candidates {
		if c.suitable(h, now) {
			return h, true
		}
	}
	return Host{}, true
}

func (c *Coordination) suitable(h Host, now time.Time) bool {
	if now.Before(c.cooldowns[h.Address].until) {
		return false
	}
	if c.isSelf(h) {
		return !c.stopping.Load()
	}
	return !c.config.Suspected(h.Address)
}

// outranks reports whether a candidate is preferred to the current coordinator. That other calls
// to the coordinator were slow is no reason to leave it: the stream shows whether it responds.
func (c *Coordination) outranks(candidate, current Host) bool {
	for _, h := range c.config.State().Candidates {
		if h == candidate || h == current {
			return h == candidate && candidate != current
		}
	}
	return false
}

func (c *Coordination) isSelf(h Host) bool { return h.Name == c.config.Host }

// connect connects to a coordinator and returns when the stream has ended.
func (c *Coordination) connect(parent context.Context, target Host) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	s := &session{c: c, target: target, began: time.Now()}
	limit := time.AfterFunc(silenceTimeout, func() { cancel(errNoConnection) })
	run := func(stream peer.CoordinateStream) error {
		limit.Stop()
		return s.run(ctx, stream)
	}
	var err error
	if c.isSelf(target) {
		err = Connect(ctx, c.Serve, run)
	} else {
		err = c.config.Peers.Coordinate(ctx, target.Address, run)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errNoConnection) {
		err = cause
	}
	if parent.Err() == nil {
		c.handleEnd(s, err, time.Now())
	}
}

// handleEnd handles the end of a stream, or that none could be opened.
func (c *Coordination) handleEnd(s *session, err error, now time.Time) {
	c.logEnd(s, err, now)
	address := s.target.Address
	switch {
	case errors.Is(err, errMoved), errors.Is(err, errDisabled), errors.Is(err, errLeaving):
		return
	case errors.Is(err, errSuspended):
		c.config.Peers.CloseIdle(address)
		return
	case brokeOff(err) && now.Sub(s.began) >= minCooldown:
		return // Only the connection may have ended. If the process has, the next attempt tells.
	}
	if !s.heard.IsZero() {
		delete(c.cooldowns, address)
	}
	c.coolDown(address, err, now)
	if !errors.Is(err, errSilent) || c.isSelf(s.target) {
		return
	}
	if s.heard.IsZero() {
		c.config.Peers.CloseIdle(address) // The connection may have been dead before.
	} else {
		c.config.Suspect(address, now)
	}
}

// brokeOff reports whether the error of a stream means that the connection was closed, which drpc
// reports as context.Canceled, or reset, which it reports as a drpc.ClosedError. It may be that the
// process at the other end has ended. A connection that timed out did not break off.
func brokeOff(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, syscall.ECONNRESET) || drpc.ClosedError.Has(err)
}

// coolDown keeps a host that failed from being chosen for a while.
func (c *Coordination) coolDown(address string, err error, now time.Time) {
	c.forgetCooldowns(now)
	if peer.Unimplemented(err) {
		c.cooldowns[address] = cooldown{until: now.Add(oldVersionCooldown)}
		return
	}
	failures := c.cooldowns[address].failures
	c.cooldowns[address] = cooldown{until: now.Add(min(minCooldown<<min(failures, 8), maxCooldown)), failures: failures + 1}
}

// forgetCooldowns removes the cooldowns that ended long ago.
func (c *Coordination) forgetCooldowns(now time.Time) {
	for address, d := range c.cooldowns {
		if now.Sub(d.until) > maxCooldown {
			delete(c.cooldowns, address)
		}
	}
}

func (c *Coordination) logEnd(s *session, err error, now time.Time) {
	e := c.log.Info().Str("coordinator", s.target.Name).AnErr("reason", err).Dur("age", now.Sub(s.began))
	if s.heard.IsZero() {
		e.Msg("no connection to the coordinator")
		return
	}
	e.Dur("silent", now.Sub(s.heard)).Msg("connection to the coordinator ended")
}

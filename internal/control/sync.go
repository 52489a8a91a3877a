package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay before a failed store call is repeated.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// retryFactor multiplies the delay after each failure. A host that starts while the store
	// is unreachable polls its peers before its third store call.
	retryFactor = 4
	// minWatchInterval is the minimum time between two watches, so that changes in quick
	// succession share one call.
	minWatchInterval = 250 * time.Millisecond
	// peerCheckInterval is how often a host checks whether to poll its peers. A host that
	// knows nothing yet polls them each time.
	peerCheckInterval = 250 * time.Millisecond
	// minPeerPollInterval is the minimum time between two polls of peers while the store is
	// unreachable.
	minPeerPollInterval = 700 * time.Millisecond
	// maxPeersQueried limits the queries of one poll that end without news. A poll ends earlier if a
	// peer has recently heard from the store.
	maxPeersQueried = 6
	// peerTimeout bounds a call to a peer.
	peerTimeout = 500 * time.Millisecond
	// nextPeerDelay is how long a poll waits for a peer before it queries another one beside it: several
	// round trips between regions.
	nextPeerDelay = 150 * time.Millisecond
	// yieldTime is how long Yield sleeps. A wait for the network has this resolution.
	yieldTime = time.Millisecond
	// probeCheckInterval is how often suspected peers are checked for due probes.
	probeCheckInterval = 250 * time.Millisecond
)

// Yield lets the requests in progress run during a computation that takes several milliseconds, which
// on a host with a small share of a processor are many times as long. It sleeps because
// runtime.Gosched does not poll the network, so that replies that have arrived would keep waiting.
func Yield() { time.Sleep(yieldTime) }

// followStore tracks the store's changes until ctx is done: through a leader in the region if
// there is one, or else directly.
func (c *Control) followStore(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		c.adoptFromPeers()
		c.discoverLeader(ctx)
		if leader, ok := c.leader(); ok {
			err := c.followLeader(ctx, leader)
			if ctx.Err() != nil {
				return
			}
			if c.handleLeaderFailure(leader, err) {
				continue // Look for a leader again before calling the store.
			}
		}
		err := c.cancelOnResume(ctx, c.pollStore)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errResumed) {
			continue
		}
		if errors.Is(err, ErrCompacted) {
			c.log.Info().Uint64("revision", c.receivedRevision).Msg("store history compacted: reading the store from scratch")
			c.rereads.Inc()
			c.loaded = false
			continue
		}
		if err == nil {
			delay = minRetryDelay
			continue
		}
		c.state.do(ctx, func() { c.state.setStoreStatus(false, err, time.Now()) })
		pause.Sleep(ctx, delay)
		delay = min(retryFactor*delay, maxRetryDelay)
	}
}

// adoptFromPeers uses the state received from peers in place of a first read of the store, so
// that a starting host can follow a leader without one.
func (c *Control) adoptFromPeers() {
	if v := c.View(); !c.loaded && !c.discovered && v.Initialized {
		c.loaded = true
		c.receivedRevision = v.Revision
	}
}

// discoverLeader runs once, after the first complete state. If that state holds no host, it
// waits for announceDelay and queries a random seed for hosts announced meanwhile, which takes no
// store call. It then schedules this host's own announcement.
func (c *Control) discoverLeader(ctx context.Context) {
	if c.discovered || !c.loaded {
		return
	}
	c.discovered = true
	if len(c.seeds) > 0 && c.View().HostCount == 0 {
		pause.Sleep(ctx, c.announcer.announceDelay())
		c.queryPeer(ctx, c.seeds[rand.IntN(len(c.seeds))], c.receivedRevision)
		c.receivedRevision = max(c.receivedRevision, c.View().Revision)
	}
	_, hasLeader := c.leader()
	c.announcer.scheduleAnnounce(hasLeader, time.Now())
}

// pollStore makes one store call: a complete read if nothing is known, or else a watch.
func (c *Control) pollStore(ctx context.Context) error {
	if !c.loaded {
		return c.read(ctx)
	}
	settings := c.settings
	wait := settings.GetWatchWait().AsDuration()
	if c.View().Unconfirmed {
		wait = probeWatchWait // Confirms the state without waiting for a change.
	}
	started := time.Now()
	err := c.watch(ctx, wait, settings.GetWatchSlack().AsDuration())
	if err == nil {
		pause.Sleep(ctx, minWatchInterval-time.Since(started))
	}
	return err
}

// watch waits for changes and applies them.
func (c *Control) watch(ctx context.Context, wait, slack time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	started := time.Now()
	changes, err := c.store.Watch(callCtx, c.receivedRevision, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	c.state.do(ctx, func() {
		c.state.heardStore(now, now.Sub(started))
		c.state.setStoreStatus(true, nil, now)
		c.state.applyChanges(changes, now)
	})
	c.receivedRevision = max(c.receivedRevision, changes.Revision)
	return nil
}

// read applies a complete read of the store.
func (c *Control) read(ctx context.Context) error {
	batch, err := c.store.Read(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	c.state.do(ctx, func() {
		c.state.heardStore(now, 0)
		c.state.setStoreStatus(true, nil, now)
		c.state.applyBatch(batch, now)
	})
	c.receivedRevision = batch.Revision
	c.loaded = true
	return nil
}

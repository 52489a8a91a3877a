package control

import (
	"context"
	"errors"
	"time"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// retryFirst and retryLongest bound the wait before a call of the store
	// that failed is made again.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 800 * time.Millisecond
	// watchGap is the least time between two watches, so that changes that come
	// close together cost one call.
	watchGap = 250 * time.Millisecond
	// firstPeerPoll is when a host that has learned nothing since its start
	// asks a peer, and how often it does so then.
	firstPeerPoll = 250 * time.Millisecond
	// peerPoll is the interval at which peers are asked while the store is away.
	peerPoll = 700 * time.Millisecond
	// peerTimeout bounds a question to a peer.
	peerTimeout = 500 * time.Millisecond
	// probeTick is the interval at which suspected peers are looked at.
	probeTick = 250 * time.Millisecond
	// renewals is how often a lease is renewed in its time.
	renewals = 3
)

// followStore follows the store's changes until ctx ends: through another host
// of the region where one does so already, else by itself.
func (c *Control) followStore(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		if leader, ok := c.leader(); ok {
			err := c.followLeader(ctx, leader)
			if ctx.Err() != nil {
				return
			}
			c.log.Info().Err(err).Str("peer", leader.Name).Msg("the host that was followed is not up to date: reading the store")
			if errors.Is(err, errLeaderCut) || errors.Is(err, errLeaderStale) {
				c.holdOff(leader.Address, time.Now())
			} else {
				c.Suspect(leader.Address, time.Now())
			}
		}
		err := c.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			c.log.Info().Uint64("revision", c.followed).Msg("the store compacted its history: reading everything again")
			c.rereads.Inc()
			c.loaded = false
			continue
		}
		if err == nil {
			wait = retryFirst
			continue
		}
		c.state.do(ctx, func() { c.state.storeIs(false, err, time.Time{}, time.Now()) })
		pause.For(ctx, wait)
		wait = min(2*wait, retryLongest)
	}
}

// followOnce makes one call of the store: a reading where nothing is known,
// else a watch.
func (c *Control) followOnce(ctx context.Context) error {
	if !c.loaded {
		return c.read(ctx)
	}
	settings := c.settings
	started := time.Now()
	err := c.watch(ctx, settings.GetWatchWait().AsDuration(), settings.GetWatchSlack().AsDuration())
	if err == nil {
		pause.For(ctx, watchGap-time.Since(started))
	}
	return err
}

// watch waits for changes and takes them in.
func (c *Control) watch(ctx context.Context, wait, slack time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	changes, err := c.store.Watch(callCtx, c.followed, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	c.state.do(ctx, func() {
		c.state.storeIs(true, nil, now, now)
		c.state.applyChanges(changes, now)
	})
	c.followed = max(c.followed, changes.Revision)
	return nil
}

func (c *Control) read(ctx context.Context) error {
	reading, err := c.store.Read(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	c.state.do(ctx, func() {
		c.state.storeIs(true, nil, now, now)
		c.state.applyReading(reading, now)
	})
	c.followed = reading.Revision
	c.loaded = true
	return nil
}

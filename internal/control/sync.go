package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/internal/pause"
)

const (
	// retryFirst and retryLongest bound the wait before a call of the store
	// that failed is made again.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 800 * time.Millisecond
	// retryGrowth is by how much longer each wait is than the one before. A host that
	// starts while the store is away has heard from a peer before its third call.
	retryGrowth = 4
	// watchGap is the least time between two watches, so that changes that come
	// close together cost one call.
	watchGap = 250 * time.Millisecond
	// firstPeerPoll is the interval at which a host looks whether it has to ask a peer:
	// one that has learned nothing since its start asks each time.
	firstPeerPoll = 250 * time.Millisecond
	// peerPoll is the least time between two questions while the store is away.
	peerPoll = 700 * time.Millisecond
	// maxAsked is the number of peers that are asked one after the other for one that
	// has heard from the store: where a third of them has, 97 in 100 find one.
	maxAsked = 6
	// peerTimeout bounds a question to a peer.
	peerTimeout = 500 * time.Millisecond
	// probeTick is the interval at which suspected peers are looked at.
	probeTick = 250 * time.Millisecond
)

// followStore follows the store's changes until ctx ends: through another host
// of the region where one does so already, else by itself.
func (c *Control) followStore(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		c.adoptFromPeers()
		c.introduce(ctx)
		if leader, ok := c.leader(); ok {
			err := c.followLeader(ctx, leader)
			if ctx.Err() != nil {
				return
			}
			if c.leaderFailed(leader, err) {
				continue
			}
		}
		err := c.whileAwake(ctx, c.followOnce)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWoke) {
			continue
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
		wait = min(retryGrowth*wait, retryLongest)
	}
}

// adoptFromPeers takes what peers told a host that has not read the store yet for a
// reading: it need not read the store, and can follow another host.
func (c *Control) adoptFromPeers() {
	if v := c.View(); !c.loaded && !c.introduced && v.Known {
		c.loaded = true
		c.followed = v.Revision
	}
}

// introduce finds out, once after the start, whether there is a host to follow. One that
// knows no other after its first reading waits for those that announce themselves first
// and hears of them from a seed: that costs no call of the store.
func (c *Control) introduce(ctx context.Context) {
	if c.introduced || !c.loaded {
		return
	}
	c.introduced = true
	if len(c.seeds) > 0 && c.View().Count == 0 {
		pause.For(ctx, c.announce.spread())
		c.askPeer(ctx, c.seeds[rand.IntN(len(c.seeds))], c.followed)
		c.followed = max(c.followed, c.View().Revision)
	}
	_, follows := c.leader()
	c.announce.introduced(follows, time.Now())
}

// followOnce makes one call of the store: a reading where nothing is known,
// else a watch.
func (c *Control) followOnce(ctx context.Context) error {
	if !c.loaded {
		return c.read(ctx)
	}
	settings := c.settings
	wait := settings.GetWatchWait().AsDuration()
	if c.View().Doubted {
		wait = probeWait // The store's word is wanted at once, not its next change.
	}
	started := time.Now()
	err := c.watch(ctx, wait, settings.GetWatchSlack().AsDuration())
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

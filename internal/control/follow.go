package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

const (
	// heartbeat is the interval at which a follower hears from the host that it
	// follows although nothing changed.
	heartbeat = 400 * time.Millisecond
	// silenceLimit is for how long a followed host may be silent: three
	// heartbeats. With one call of the store after it, a change is still in
	// force everywhere within the three seconds that the users allow.
	silenceLimit = 3 * heartbeat
	// ageLimit bounds how long ago a followed host heard from the store: the
	// longest watch and what it may take to notice that it hangs.
	ageLimit = 1500 * time.Millisecond
	// probeEvery is the mean interval at which a follower asks the store itself
	// while the host that it follows says that the store is lost.
	probeEvery = 2 * time.Second
	// heldOffFor is for how long a host that lost the store, which others reach,
	// is not followed, up to half as long again at random. The store may turn a
	// host away for many seconds; to find out costs a call or two.
	heldOffFor = 4 * time.Second
	// probeWait is the wait of such a question.
	probeWait = time.Millisecond
)

var (
	errLeaderSilent = errors.New("nothing was heard from it")
	errLeaderStale  = errors.New("it has not heard from the store for too long")
	errLeaderCut    = errors.New("it lost the store, which answers here")
)

// leader returns the host of this region that this host follows. It returns
// false where this host is to read the store: it is the first of the region, in
// the order of strength and name, of those that answer. A host follows only
// hosts that come before it, so that no two follow each other, also while it
// does not know its own entry.
func (c *Control) leader() (Host, bool) {
	if !c.loaded {
		return Host{}, false
	}
	for _, h := range c.View().inRegion(c.self.GetRegion()) {
		if compareHosts(h, Host{Name: c.name, Strength: c.self.GetStrength()}) >= 0 {
			return Host{}, false
		}
		if !c.health.suspected(h.Address) && !time.Now().Before(c.heldOff[h.Address]) {
			return h, true
		}
	}
	return Host{}, false
}

// holdOff keeps this host from following one that lost the store, or of which
// nothing new was heard.
func (c *Control) holdOff(address string, now time.Time) {
	for other, until := range c.heldOff {
		if !now.Before(until) {
			delete(c.heldOff, other)
		}
	}
	c.heldOff[address] = now.Add(heldOffFor + rand.N(heldOffFor/2))
}

// inRegion returns the hosts of a region, the strongest first.
func (v *View) inRegion(region string) []Host {
	var hosts []Host
	for _, group := range v.Hosts {
		for _, h := range group {
			if h.Region == region {
				hosts = append(hosts, h)
			}
		}
	}
	slices.SortFunc(hosts, compareHosts)
	return hosts
}

// followLeader takes in what another host learns, until that host is of no use.
func (c *Control) followLeader(ctx context.Context, leader Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan *relaypb.FollowReply)
	failed := make(chan error, 1)
	go func() {
		failed <- c.peers.Follow(ctx, leader.Address, &relaypb.FollowRequest{Revision: c.followed, Packs: true}, func(r *relaypb.FollowReply) {
			select {
			case received <- r:
			case <-ctx.Done():
			}
		})
	}()
	nextProbe := time.Time{}
	for {
		select {
		case reply := <-received:
			if err := c.takeUpdates(ctx, reply, &nextProbe); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-time.After(silenceLimit):
			return errLeaderSilent
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// takeUpdates takes in one message of the host that is followed.
func (c *Control) takeUpdates(ctx context.Context, reply *relaypb.FollowReply, nextProbe *time.Time) error {
	now := time.Now()
	age := time.Duration(reply.GetAgeUs()) * time.Microsecond
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		return err
	}
	reading := Reading{Revision: reply.GetRevision(), Entries: entries}
	c.state.do(ctx, func() {
		c.state.storeIs(!reply.GetStoreLost(), errLeaderStale, now.Add(-age), now)
		if reply.GetComplete() {
			c.state.applyReading(reading, now)
		} else {
			c.state.applyChanges(reading, now)
		}
	})
	c.followed = max(c.followed, reading.Revision)
	if reply.GetStoreLost() {
		return c.probeStore(ctx, now, nextProbe)
	}
	*nextProbe = time.Time{}
	if age > ageLimit {
		return errLeaderStale
	}
	return nil
}

// probeStore asks the store from time to time whether it is lost only for the
// host that is followed.
func (c *Control) probeStore(ctx context.Context, now time.Time, next *time.Time) error {
	if now.Before(*next) {
		return nil
	}
	*next = now.Add(probeEvery/2 + rand.N(probeEvery))
	err := c.watch(ctx, probeWait, c.settings.GetWatchSlack().AsDuration())
	if errors.Is(err, ErrCompacted) {
		c.loaded = false // The store answers, but must be read again.
		return errLeaderCut
	}
	if err != nil {
		return nil // The store is lost here too; what is known stays in force.
	}
	return errLeaderCut
}

// Follow implements the relay protocol.
func (c *Control) Follow(m *relaypb.FollowRequest, stream relaypb.DRPCRelay_FollowStream) error {
	ctx := stream.Context()
	known := m.GetRevision()
	for ctx.Err() == nil {
		var n updates
		c.state.do(ctx, func() { n = c.state.updatesSince(known, time.Now()) })
		if ctx.Err() != nil {
			break
		}
		reply := &relaypb.FollowReply{
			Revision: max(n.Revision, known), Complete: n.complete,
			AgeUs: uint64(max(n.age, 0).Microseconds()), StoreLost: n.storeLost,
		}
		var err error
		if reply.Entries, reply.PackedEntries, err = c.entriesFor(m.GetPacks(), known, n); err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
		known = reply.Revision
		timer := time.NewTimer(heartbeat)
		select {
		case <-n.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

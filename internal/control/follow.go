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
	// heartbeatInterval is the interval at which a leader sends a message to its followers
	// when there are no changes.
	heartbeatInterval = 400 * time.Millisecond
	// leaderTimeout is the time without a message after which a leader has failed. Together
	// with one store call, it must allow a configuration change to take effect everywhere
	// within three seconds.
	leaderTimeout = 3 * heartbeatInterval
	// maxStaleness is the maximum time since a leader last heard from the store. It allows for
	// the longest watch and the time to notice that a watch hangs.
	maxStaleness = 1500 * time.Millisecond
	// probeInterval is the mean interval at which each of the first followers probes the store
	// while the leader reports it lost.
	probeInterval = 2 * time.Second
	// storeProbers is the number of hosts per region, besides the first, that probe the store at
	// probeInterval while it is lost. All others probe it less often.
	storeProbers = 3
	// earlyProbers is the number of hosts per region, on average, that probe the store once within
	// earlyProbeWindow after their leader has lost it, whatever their rank: the store may turn away the
	// highest-ranked hosts and serve others, whose news the leader then passes on.
	earlyProbers = 16
	// earlyProbeWindow leaves time for the news of a server that leaves to reach all hosts before the
	// server ends.
	earlyProbeWindow = 600 * time.Millisecond
	// leaderCooldown is the minimum time for which a host is not chosen as leader after it lost
	// a store that other hosts reach or became stale; up to half as much is added at random.
	// Following it again too early costs store calls, and the store may reject the host for
	// many seconds.
	leaderCooldown = 4 * time.Second
	// probeWatchWait is the wait of a watch that only checks whether the store responds.
	probeWatchWait = time.Millisecond
)

var (
	errLeaderSilent      = errors.New("no message from the leader within the timeout")
	errLeaderStale       = errors.New("the leader's state is stale: it has not heard from the store for too long")
	errLeaderPartitioned = errors.New("the leader lost the store, which is reachable from other hosts")
	errResumed           = errors.New("this machine was suspended: open connections may be dead")
	errLeaving           = errors.New("this host is shutting down: notifying the leader")
)

// leader returns the host of this region to follow. It returns false if this host must read
// the store itself, because it has not received a complete state yet or ranks first, by strength
// and name, among the hosts that may lead. A host only follows hosts that rank before it, even
// while its own entry is missing, so that no two hosts follow each other.
func (c *Control) leader() (Host, bool) {
	if !c.loaded {
		return Host{}, false
	}
	var first Host
	found := false
	for _, h := range c.higherRanked() {
		if c.health.Suspected(h.Address) || time.Now().Before(c.cooldownUntil[h.Address]) {
			continue
		}
		if preferred := c.preferred.Load(); preferred != nil && *preferred == h.Address {
			return h, true
		}
		if !found {
			first, found = h, true
		}
	}
	return first, found
}

// higherRanked returns the hosts of the region that rank before this one, in order.
func (c *Control) higherRanked() []Host {
	hosts := c.View().inRegion(c.self.GetRegion())
	self := Host{Name: c.name, Strength: c.self.GetStrength()}
	i := slices.IndexFunc(hosts, func(h Host) bool { return compareHosts(h, self) >= 0 })
	if i < 0 {
		return hosts
	}
	return hosts[:i]
}

// handleLeaderFailure handles the end of following a leader, and reports whether to look for a
// leader again before calling the store. After a first failure this is useful, because all hosts of
// a region lose their leader at the same time and it is enough that one of them calls the store.
// After further failures in a row it would delay configuration changes too long.
func (c *Control) handleLeaderFailure(leader Host, err error) bool {
	if errors.Is(err, errLeaving) || errors.Is(err, errResumed) {
		return true
	}
	c.leaderFailures++
	c.log.Info().Err(err).Str("peer", leader.Name).Int("in_a_row", c.leaderFailures).Msg("leader failed")
	if errors.Is(err, errLeaderPartitioned) || errors.Is(err, errLeaderStale) {
		c.startCooldown(leader.Address, time.Now())
	} else {
		c.Suspect(leader.Address, time.Now())
	}
	return c.loaded && c.leaderFailures == 1
}

// startCooldown keeps a host that lost the store or is stale from being chosen as leader for
// about leaderCooldown.
func (c *Control) startCooldown(address string, now time.Time) {
	for other, until := range c.cooldownUntil {
		if !now.Before(until) {
			delete(c.cooldownUntil, other)
		}
	}
	c.cooldownUntil[address] = now.Add(leaderCooldown + rand.N(leaderCooldown/2))
}

// inRegion returns the hosts of a region in the order in which they rank, strongest first.
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

// isLeaving reports whether a graceful shutdown has begun.
func (c *Control) isLeaving() bool {
	select {
	case <-c.leave:
		return true
	default:
		return false
	}
}

// followLeader applies the updates of a leader until the leader fails or another one is
// preferred. It returns the reason.
func (c *Control) followLeader(ctx context.Context, leader Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.announcer.setDelegated(false)
	request := &relaypb.FollowRequest{Revision: c.receivedRevision, Packs: true, Host: c.self}
	leave := c.leave
	if c.isLeaving() {
		request.Leaving, leave = true, nil
	}
	received := make(chan *relaypb.FollowReply)
	failed := make(chan error, 1)
	go func() {
		failed <- c.peers.Follow(ctx, leader.Address, request, func(r *relaypb.FollowReply) {
			select {
			case received <- r:
			case <-ctx.Done():
			}
		})
	}()
	nextProbe := time.Time{}
	for first := true; ; first = false {
		select {
		case reply := <-received:
			if first && reply.GetStoreLost() && c.View().StoreLost.IsZero() {
				// For this host the store is not lost. Marking it as lost because the leader
				// cannot reach it would delay the expiry of entries and cost a store call.
				return errLeaderPartitioned
			}
			if err := c.applyReply(ctx, leader, reply, &nextProbe); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-leave:
			return errLeaving
		case <-c.resumed:
			return errResumed
		case <-c.preferredChanged:
			if preferred := c.preferred.Load(); preferred != nil && *preferred != leader.Address {
				return errLeaderPartitioned
			}
		case <-time.After(leaderTimeout):
			return errLeaderSilent
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// applyReply applies one message of the leader. It returns an error if the message is invalid,
// the leader is stale, or the leader has lost a store that this host reaches.
func (c *Control) applyReply(ctx context.Context, leader Host, reply *relaypb.FollowReply, nextProbe *time.Time) error {
	now := time.Now()
	c.leaderFailures = 0
	c.announcer.setDelegated(reply.GetKeepsEntry())
	age := durationOf(reply.GetAgeUs())
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		return err
	}
	batch := Batch{Revision: reply.GetRevision(), Entries: entries, Source: leader.Name}
	c.state.do(ctx, func() {
		c.state.heardStore(now.Add(-age), durationOf(reply.GetInServiceUs()))
		c.state.setStoreStatus(!reply.GetStoreLost(), errLeaderStale, now)
		if reply.GetComplete() {
			c.state.applyBatch(batch, now)
		} else {
			c.state.applyChanges(batch, now)
		}
	})
	c.receivedRevision = max(c.receivedRevision, batch.Revision)
	if reply.GetStoreLost() {
		return c.probeStore(ctx, now, nextProbe)
	}
	*nextProbe = time.Time{}
	if age > maxStaleness {
		return errLeaderStale
	}
	return nil
}

// nextProbeDelay returns the delay until this host's next probe of a store that its leader
// has lost; first is set before its first probe. The first hosts of the region probe at once and then
// at probeInterval, and some others once early. The later delays of the others grow with the number of
// hosts, so that together they probe about as often as storeProbers hosts, whatever their number.
func (c *Control) nextProbeDelay(first bool) time.Duration {
	hosts := c.View().inRegion(c.self.GetRegion())
	rank := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == c.name })
	delay := probeInterval/2 + rand.N(probeInterval)
	switch {
	case 0 <= rank && rank <= storeProbers:
		if first {
			return 0
		}
		return delay
	case first && rand.IntN(max(len(hosts), 1)) < earlyProbers:
		return rand.N(earlyProbeWindow)
	}
	return delay * time.Duration(max(1, len(hosts)/storeProbers))
}

// probeStore probes the store if a probe is due. It returns errLeaderPartitioned if this host
// reaches the store, which means that only the leader has lost it, and nil otherwise. next is the
// time of the next probe, and zero before the first one.
func (c *Control) probeStore(ctx context.Context, now time.Time, next *time.Time) error {
	if next.IsZero() {
		*next = now.Add(c.nextProbeDelay(true))
	}
	if now.Before(*next) {
		return nil
	}
	*next = now.Add(c.nextProbeDelay(false))
	err := c.watch(ctx, probeWatchWait, c.settings.GetWatchSlack().AsDuration())
	if errors.Is(err, ErrCompacted) {
		c.loaded = false // The store responds, but must be read from scratch.
		return errLeaderPartitioned
	}
	if err != nil {
		return nil // The store is lost here too; keep the last known state.
	}
	return errLeaderPartitioned
}

// Follow implements the relay protocol. It streams updates to a follower, at least one in every
// heartbeatInterval.
func (c *Control) Follow(request *relaypb.FollowRequest, stream relaypb.DRPCRelay_FollowStream) error {
	ctx := stream.Context()
	known := request.GetRevision()
	if h := request.GetHost(); h != nil {
		defer c.announcer.addFollower(h, request.GetLeaving())()
		defer c.noteDeparture(h.GetAddress(), request.GetLeaving())
	}
	for ctx.Err() == nil {
		var u updates
		c.state.do(ctx, func() { u = c.state.updatesSince(known, time.Now()) })
		if ctx.Err() != nil {
			break
		}
		reply := &relaypb.FollowReply{
			Revision: max(u.Revision, known), Complete: u.complete,
			AgeUs: uint64(max(u.age, 0).Microseconds()), InServiceUs: uint64(u.inService.Microseconds()), StoreLost: u.storeLost,
			KeepsEntry: c.announcer.canKeepEntries(time.Now()),
		}
		var err error
		if reply.Entries, reply.PackedEntries, err = c.entriesFor(request.GetPacks(), known, u); err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
		known = reply.Revision
		timer := time.NewTimer(heartbeatInterval)
		select {
		case <-u.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

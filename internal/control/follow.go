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
	// storeProbers is the number of hosts of a region, beside the one that the others
	// follow, that ask the store while it is lost.
	storeProbers = 3
	// heldOffFor is for how long a host that lost the store, which others reach,
	// is not followed, up to half as long again at random. The store may turn a
	// host away for many seconds; to find out costs a call or two.
	heldOffFor = 4 * time.Second
	// probeWait is the wait of such a question, and of one after a suspension.
	probeWait = time.Millisecond
)

var (
	errLeaderSilent = errors.New("nothing was heard from it")
	errLeaderStale  = errors.New("it has not heard from the store for too long")
	errLeaderCut    = errors.New("it lost the store, which answers here")
	errWoke         = errors.New("this machine was suspended: its connections may be silent for good")
	errLeaving      = errors.New("this host stops: the other is told so")
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
	var first Host
	found := false
	for _, h := range c.beforeMe() {
		if c.health.Suspected(h.Address) || time.Now().Before(c.heldOff[h.Address]) {
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

// beforeMe returns the hosts of the region that come before this one, in their order.
func (c *Control) beforeMe() []Host {
	hosts := c.View().inRegion(c.self.GetRegion())
	self := Host{Name: c.name, Strength: c.self.GetStrength()}
	i := slices.IndexFunc(hosts, func(h Host) bool { return compareHosts(h, self) >= 0 })
	if i < 0 {
		return hosts
	}
	return hosts[:i]
}

// leaderFailed takes in why a host is followed no longer, and reports whether another
// one is to be tried before the store is read. One is: all hosts of a region lose the
// same one, and one reader is enough. A second that fails costs time, which a change of
// the configuration does not have.
func (c *Control) leaderFailed(leader Host, err error) bool {
	if errors.Is(err, errLeaving) || errors.Is(err, errWoke) {
		return true
	}
	c.leaderFailures++
	c.log.Info().Err(err).Str("peer", leader.Name).Int("in_a_row", c.leaderFailures).Msg("the host that was followed is not up to date")
	if errors.Is(err, errLeaderCut) || errors.Is(err, errLeaderStale) {
		c.holdOff(leader.Address, time.Now())
	} else {
		c.Suspect(leader.Address, time.Now())
	}
	return c.loaded && c.leaderFailures == 1
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

// isLeaving reports whether a planned stop has begun.
func (c *Control) isLeaving() bool {
	select {
	case <-c.leave:
		return true
	default:
		return false
	}
}

// followLeader takes in what another host learns, until that host is of no use.
func (c *Control) followLeader(ctx context.Context, leader Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.announce.setFollowed(false)
	request := &relaypb.FollowRequest{Revision: c.followed, Packs: true, Host: c.self}
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
				// Until now the store was heard by another way. To take this one's word would
				// keep entries that lapse for 2.2 s here, each 4 to 6 s, and cost a call.
				return errLeaderCut
			}
			if err := c.takeUpdates(ctx, reply, &nextProbe); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-leave:
			return errLeaving
		case <-c.awake:
			return errWoke
		case <-c.better:
			if preferred := c.preferred.Load(); preferred != nil && *preferred != leader.Address {
				return errLeaderCut
			}
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
	c.leaderFailures = 0
	c.announce.setFollowed(reply.GetKeepsEntry())
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

// probeGap returns the time between two questions of this host to a store that the
// host it follows has lost, and whether it asks at once. So about as many hosts of a
// region ask as there are storeProbers, however many it has: of 195 hosts all asked,
// ten times each in an outage of six seconds, counted by the store. The others learn
// from these.
func (c *Control) probeGap() (gap time.Duration, first bool) {
	gap = probeEvery/2 + rand.N(probeEvery)
	hosts := c.View().inRegion(c.self.GetRegion())
	rank := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == c.name })
	if 0 <= rank && rank <= storeProbers {
		return gap, true
	}
	return gap * time.Duration(max(1, len(hosts)/storeProbers)), false
}

// probeStore asks the store from time to time whether it is lost only for the
// host that is followed.
func (c *Control) probeStore(ctx context.Context, now time.Time, next *time.Time) error {
	gap, first := c.probeGap()
	if next.IsZero() && !first {
		*next = now.Add(gap)
	}
	if now.Before(*next) {
		return nil
	}
	*next = now.Add(gap)
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
	if h := m.GetHost(); h != nil {
		defer c.announce.join(h, m.GetLeaving())()
	}
	for ctx.Err() == nil {
		var n updates
		c.state.do(ctx, func() { n = c.state.updatesSince(known, time.Now()) })
		if ctx.Err() != nil {
			break
		}
		reply := &relaypb.FollowReply{
			Revision: max(n.Revision, known), Complete: n.complete,
			AgeUs: uint64(max(n.age, 0).Microseconds()), StoreLost: n.storeLost,
			KeepsEntry: c.announce.keeps(time.Now()),
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

package control

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/pause"
)

// noteDeparture records that a follower has left. If this host has lost the store, the follower has
// probably found it reachable, and is queried next.
func (c *Control) noteDeparture(address string, leaving bool) {
	if leaving || c.View().StoreLost.IsZero() {
		return
	}
	c.departed.Store(&address)
	notify(c.followerDeparted)
}

// pollPeers asks peers for their state while the store is unreachable, or until it has first
// responded, so that a host still learns of changes and can start.
func (c *Control) pollPeers(ctx context.Context) {
	lastPoll, preferred := time.Time{}, ""
	for ctx.Err() == nil {
		departed := c.awaitPeerCheck(ctx)
		v := c.View()
		if v.StoreLost.IsZero() && v.Revision > 0 {
			continue
		}
		if departed {
			preferred = *c.departed.Load()
		} else if v.Revision > 0 && time.Since(lastPoll) < minPeerPollInterval {
			continue
		}
		lastPoll = time.Now()
		preferred = c.queryUntilFresh(ctx, c.shuffledCandidates(preferred))
	}
}

// awaitPeerCheck waits for peerCheckInterval. It returns early, and reports so, if a follower departs.
func (c *Control) awaitPeerCheck(ctx context.Context) (departed bool) {
	timer := time.NewTimer(peerCheckInterval)
	defer timer.Stop()
	select {
	case <-c.followerDeparted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// shuffledCandidates returns the peers to query in random order, but first the preferred one, if any.
func (c *Control) shuffledCandidates(preferred string) []string {
	addresses := c.peerCandidates(c.View())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if preferred != "" {
		addresses = append([]string{preferred}, addresses...)
	}
	return addresses
}

// queryUntilFresh queries peers until one has recently heard from the store, and returns its address. It
// does not wait long for a peer that is silent, as many may be in a network cut.
func (c *Control) queryUntilFresh(ctx context.Context, addresses []string) string {
	type answer struct {
		address string
		fresh   bool
	}
	answers := make(chan answer, len(addresses))
	next, ended := 0, 0
	for ended < min(len(addresses), maxPeersQueried) {
		if next < len(addresses) {
			address := addresses[next]
			go func() { answers <- answer{address, c.queryPeer(ctx, address, c.View().Revision)} }()
			next++
		}
		select {
		case a := <-answers:
			if a.fresh {
				return a.address
			}
			ended++
		case <-time.After(nextPeerDelay):
		}
	}
	return ""
}

// seekLeader queries the hosts that this host may follow while the store is unreachable, so that it finds a
// leader that reaches it also while hosts of other regions keep it informed.
func (c *Control) seekLeader(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, minPeerPollInterval)
		if c.View().StoreLost.IsZero() {
			continue
		}
		var addresses []string
		for _, h := range c.higherRanked() {
			if len(addresses) <= storeProbers && !c.health.Suspected(h.Address) {
				addresses = append(addresses, h.Address)
			}
		}
		c.queryUntilFresh(ctx, addresses)
	}
}

// probePeers probes suspected peers until ctx is done.
func (c *Control) probePeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, probeCheckInterval)
		v := c.View()
		for _, address := range c.health.due(time.Now(), v.knowsAddress) {
			go c.probePeer(ctx, address)
		}
	}
}

// Suspect withholds requests from a peer until it answers a probe. The probe uses a new
// connection, because open ones may be dead.
func (c *Control) Suspect(address string, now time.Time) {
	c.health.suspect(address, now)
	c.peers.CloseIdle(address)
}

// probePeer requests changes newer than any revision: only the fact that the peer responds
// matters.
func (c *Control) probePeer(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: math.MaxUint64}); err != nil {
		c.Suspect(address, time.Now())
		return
	}
	c.health.Answered(address)
	c.log.Info().Str("peer", address).Msg("peer responds again")
}

// peerCandidates returns the addresses of hosts that are likely to reach the store if any
// does: the highest-ranked hosts of each region, or the seeds if none are known.
func (c *Control) peerCandidates(v *View) []string {
	var addresses []string
	for _, region := range slices.Concat(v.remoteRegions, []string{c.self.GetRegion()}) {
		hosts := v.inRegion(region)
		for _, h := range hosts[:min(len(hosts), storeProbers+1)] {
			if h.Name != c.name {
				addresses = append(addresses, h.Address)
			}
		}
	}
	if len(addresses) == 0 {
		addresses = slices.Clone(c.seeds)
	}
	return addresses
}

// queryPeer applies the changes a peer has since a revision, and reports whether the peer has
// recently heard from the store.
func (c *Control) queryPeer(ctx context.Context, address string, known uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: known, Packs: true})
	if err != nil {
		c.log.Debug().Err(err).Str("peer", address).Msg("failed to query peer")
		return false
	}
	age := durationOf(reply.GetAgeUs())
	fresh := age > 0 && age <= maxStaleness && !reply.GetStoreLost()
	if fresh && !c.View().StoreLost.IsZero() {
		c.preferLeader(address)
	}
	if known == 0 && reply.GetRevision() == 0 && address != c.self.GetAddress() {
		c.uninformedPeer.Store(true)
	}
	heard := func(now time.Time) {
		if age > 0 {
			c.state.heardStore(now.Add(-age), durationOf(reply.GetInServiceUs()))
		}
	}
	if reply.GetRevision() <= known {
		c.state.do(ctx, func() { heard(time.Now()) })
		return fresh
	}
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		c.log.Error().Err(err).Str("peer", address).Msg("ignoring invalid reply of a peer")
		return false
	}
	batch := Batch{Revision: reply.GetRevision(), Entries: entries, Source: address}
	c.log.Info().Str("peer", address).Uint64("revision", batch.Revision).Uint64("known", known).Msg("state updated from a peer")
	c.state.do(ctx, func() {
		now := time.Now()
		heard(now)
		c.state.applyBatch(batch, now)
	})
	return fresh
}

// preferLeader makes this host, which has lost the store, follow a host that reaches it, if that
// host ranks before this one in its region.
func (c *Control) preferLeader(address string) {
	outranks := slices.ContainsFunc(c.higherRanked(), func(h Host) bool { return h.Address == address })
	if previous := c.preferred.Load(); !outranks || previous != nil && *previous == address {
		return
	}
	c.preferred.Store(&address)
	notify(c.preferredChanged)
}

// State implements the relay protocol. It returns the state to a peer that polls.
func (c *Control) State(ctx context.Context, request *relaypb.StateRequest) (*relaypb.StateReply, error) {
	var u updates
	c.state.do(ctx, func() {
		known := c.state.revision
		if known > request.GetRevision() {
			known = 0
		}
		u = c.state.updatesSince(known, time.Now())
	})
	if ctx.Err() != nil {
		return nil, ctx.Err() // The action may still run and write to u.
	}
	entries, packed, err := c.entriesFor(request.GetPacks(), 0, u)
	if err != nil {
		return nil, err
	}
	reply := &relaypb.StateReply{
		Revision: u.Revision, Entries: entries, PackedEntries: packed,
		StoreLost: u.storeLost, AgeUs: uint64(max(u.age, time.Microsecond).Microseconds()), InServiceUs: uint64(u.inService.Microseconds()),
	}
	if len(u.Entries) == 0 {
		reply.Revision = 0
	}
	return reply, nil
}

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

// followPeers asks peers for what they know while the store is away or has not
// answered since the start, so that a host still learns of changes, or starts.
func (c *Control) followPeers(ctx context.Context) {
	asked, informed := time.Time{}, ""
	for ctx.Err() == nil {
		pause.For(ctx, firstPeerPoll)
		v := c.View()
		if v.StoreLost.IsZero() && v.Revision > 0 {
			continue
		}
		if v.Revision > 0 && time.Since(asked) < peerPoll {
			continue
		}
		asked = time.Now()
		informed = c.askPeers(ctx, informed)
	}
}

// askPeers asks peers until one has heard from the store of late, the one that had the
// last time first, and returns its address.
func (c *Control) askPeers(ctx context.Context, informed string) string {
	addresses := c.likelyInformed(c.View())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if informed != "" {
		addresses = append([]string{informed}, addresses...)
	}
	for _, address := range addresses[:min(len(addresses), maxAsked)] {
		if c.askPeer(ctx, address, c.View().Revision) {
			return address
		}
	}
	return ""
}

// probePeers asks suspected peers whether they are back until ctx ends.
func (c *Control) probePeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeTick)
		v := c.View()
		for _, address := range c.health.due(time.Now(), v.knowsAddress) {
			go c.probePeer(ctx, address)
		}
	}
}

// Suspect keeps requests from a peer until it answers a probe. The probe comes
// on a new connection, as those that are open may have gone silent for good.
func (c *Control) Suspect(address string, now time.Time) {
	c.health.suspect(address, now)
	c.peers.Forget(address)
}

// probePeer asks for nothing newer than any revision: only the answer counts.
func (c *Control) probePeer(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: math.MaxUint64}); err != nil {
		c.Suspect(address, time.Now())
		return
	}
	c.health.Answered(address)
	c.log.Info().Str("peer", address).Msg("peer answers again")
}

// likelyInformed returns the addresses of hosts that are likely to reach the store where
// any does: the first of each region, or else the seeds.
func (c *Control) likelyInformed(v *View) []string {
	var addresses []string
	for _, region := range slices.Concat(v.farRegions, []string{c.self.GetRegion()}) {
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

// askPeer takes in what a peer knows beyond a revision, and reports whether the peer has
// heard from the store of late.
func (c *Control) askPeer(ctx context.Context, address string, known uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: known, Packs: true})
	if err != nil {
		c.log.Debug().Err(err).Str("peer", address).Msg("peer could not be asked")
		return false
	}
	age := time.Duration(reply.GetAgeUs()) * time.Microsecond
	fresh := age > 0 && age <= ageLimit && !reply.GetStoreLost()
	if fresh && !c.View().StoreLost.IsZero() {
		c.prefer(address)
	}
	if reply.GetRevision() <= known {
		return fresh
	}
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		c.log.Error().Err(err).Str("peer", address).Msg("what a peer told is left out")
		return false
	}
	reading := Reading{Revision: reply.GetRevision(), Entries: entries}
	c.log.Info().Str("peer", address).Uint64("revision", reading.Revision).Uint64("known", known).Msg("learned from a peer")
	c.state.do(ctx, func() { c.state.applyReading(reading, time.Now()) })
	return fresh
}

// prefer lets this host, which has lost the store, follow one that reaches it, where that
// is one of the region that comes before it.
func (c *Control) prefer(address string) {
	before := slices.ContainsFunc(c.beforeMe(), func(h Host) bool { return h.Address == address })
	if previous := c.preferred.Load(); !before || previous != nil && *previous == address {
		return
	}
	c.preferred.Store(&address)
	nudge(c.better)
}

// State implements the relay protocol.
func (c *Control) State(ctx context.Context, request *relaypb.StateRequest) (*relaypb.StateReply, error) {
	var n updates
	c.state.do(ctx, func() {
		known := c.state.revision
		if known > request.GetRevision() {
			known = 0
		}
		n = c.state.updatesSince(known, time.Now())
	})
	if ctx.Err() != nil {
		return nil, ctx.Err() // The action may still be about to run.
	}
	entries, packed, err := c.entriesFor(request.GetPacks(), 0, n)
	if err != nil {
		return nil, err
	}
	reply := &relaypb.StateReply{
		Revision: n.Revision, Entries: entries, PackedEntries: packed,
		StoreLost: n.storeLost, AgeUs: uint64(max(n.age, time.Microsecond).Microseconds()),
	}
	if len(n.Entries) == 0 {
		reply.Revision = 0
	}
	return reply, nil
}

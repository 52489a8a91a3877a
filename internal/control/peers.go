package control

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/pause"
)

// followPeers asks peers for what they know while the store is away or has not
// answered since the start, so that a host still learns of changes, or starts.
func (c *Control) followPeers(ctx context.Context) {
	asked := time.Time{}
	for ctx.Err() == nil {
		pause.For(ctx, firstPeerPoll)
		v := c.View()
		if v.StoreLost.IsZero() && v.Revision > 0 {
			continue
		}
		if v.Revision > 0 && time.Since(asked) < peerPoll {
			continue
		}
		if address := c.informedPeer(v); address != "" {
			asked = time.Now()
			c.askPeer(ctx, address, v.Revision)
		}
	}
}

// probePeers asks suspected peers whether they are back until ctx ends.
func (c *Control) probePeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, probeTick)
		v := c.View()
		for _, address := range c.health.due(time.Now(), v.knows) {
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

// informedPeer returns the address of a host that is likely to reach the store where any
// does: one of the first of a region, at random, or a seed.
func (c *Control) informedPeer(v *View) string {
	var addresses []string
	for _, region := range append(v.farRegions, c.self.GetRegion()) {
		hosts := v.inRegion(region)
		for _, h := range hosts[:min(len(hosts), storeProbers+1)] {
			if h.Name != c.name {
				addresses = append(addresses, h.Address)
			}
		}
	}
	if len(addresses) == 0 {
		addresses = c.seeds
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// askPeer takes in what a peer knows beyond a revision.
func (c *Control) askPeer(ctx context.Context, address string, known uint64) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: known, Packs: true})
	if err != nil {
		c.log.Debug().Err(err).Str("peer", address).Msg("peer could not be asked")
		return
	}
	if age := time.Duration(reply.GetAgeUs()) * time.Microsecond; age > 0 && age <= ageLimit && !reply.GetStoreLost() {
		c.prefer(address)
	}
	if reply.GetRevision() <= known {
		return
	}
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		c.log.Error().Err(err).Str("peer", address).Msg("what a peer told is left out")
		return
	}
	reading := Reading{Revision: reply.GetRevision(), Entries: entries}
	c.log.Info().Str("peer", address).Uint64("revision", reading.Revision).Uint64("known", known).Msg("learned from a peer")
	c.state.do(ctx, func() { c.state.applyReading(reading, time.Now()) })
}

// prefer lets this host follow one that reaches the store. A host of another region, or
// one that comes after this one, is not followed: leader leaves it out.
func (c *Control) prefer(address string) {
	if previous := c.preferred.Swap(&address); previous != nil && *previous == address {
		return
	}
	select {
	case c.better <- struct{}{}:
	default:
	}
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

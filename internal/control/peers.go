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
	wait := firstPeerPoll
	for ctx.Err() == nil {
		pause.For(ctx, wait)
		v := c.View()
		if v.StoreLost.IsZero() && v.Revision > 0 {
			wait = peerPoll
			continue
		}
		if address := c.anyPeer(v); address != "" {
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

// anyPeer returns the address of a random peer, or of a seed.
func (c *Control) anyPeer(v *View) string {
	var addresses []string
	for _, hosts := range v.Hosts {
		for _, h := range hosts {
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

func (c *Control) askPeer(ctx context.Context, address string, known uint64) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.peers.State(callCtx, address, &relaypb.StateRequest{Revision: known, Packs: true})
	if err != nil {
		c.log.Debug().Err(err).Str("peer", address).Msg("peer could not be asked")
		return
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
	c.log.Info().Str("peer", address).Uint64("revision", reading.Revision).Uint64("known", known).Msg("learned from a peer while the store is away")
	c.state.do(ctx, func() { c.state.applyReading(reading, time.Now()) })
}

// State implements the relay protocol.
func (c *Control) State(ctx context.Context, request *relaypb.StateRequest) (*relaypb.StateReply, error) {
	var n updates
	c.state.do(ctx, func() {
		if c.state.revision > request.GetRevision() {
			n = c.state.updatesSince(0, time.Now())
		}
	})
	entries, packed, err := c.entriesFor(request.GetPacks(), 0, n)
	if err != nil {
		return nil, err
	}
	return &relaypb.StateReply{Revision: n.Revision, Entries: entries, PackedEntries: packed}, nil
}

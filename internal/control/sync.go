package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/relaypb"
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
func (g *Gateway) followStore(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		if leader, ok := g.leader(); ok {
			err := g.followLeader(ctx, leader)
			if ctx.Err() != nil {
				return
			}
			g.log.Info().Err(err).Str("peer", leader.name).Msg("the host that was followed is not up to date: reading the store")
			if errors.Is(err, errLeaderCut) || errors.Is(err, errLeaderStale) {
				g.holdOff(leader.address, time.Now())
			} else {
				g.suspect(leader.address, time.Now())
			}
		}
		err := g.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			g.log.Info().Uint64("revision", g.followed).Msg("the store compacted its history: reading everything again")
			g.counters.storeRereads.Inc()
			g.loaded = false
			continue
		}
		if err == nil {
			wait = retryFirst
			continue
		}
		g.control.do(ctx, func() { g.control.storeIs(false, err, time.Time{}, time.Now()) })
		sleep(ctx, wait)
		wait = min(2*wait, retryLongest)
	}
}

// followOnce makes one call of the store: a reading where nothing is known,
// else a watch.
func (g *Gateway) followOnce(ctx context.Context) error {
	if !g.loaded {
		return g.read(ctx)
	}
	settings := g.settings.GetStore()
	started := time.Now()
	err := g.watch(ctx, settings.GetWatchWait().AsDuration(), settings.GetWatchSlack().AsDuration())
	if err == nil {
		sleep(ctx, watchGap-time.Since(started))
	}
	return err
}

// watch waits for changes and takes them in.
func (g *Gateway) watch(ctx context.Context, wait, slack time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	changes, err := g.edges.Store.Watch(callCtx, g.followed, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	g.control.do(ctx, func() {
		g.control.storeIs(true, nil, now, now)
		g.control.applyChanges(changes, now)
	})
	g.followed = max(g.followed, changes.Revision)
	return nil
}

func (g *Gateway) read(ctx context.Context) error {
	reading, err := g.edges.Store.Read(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	g.control.do(ctx, func() {
		g.control.storeIs(true, nil, now, now)
		g.control.applyReading(reading, now)
	})
	g.followed = reading.Revision
	g.loaded = true
	return nil
}

// followPeers asks peers for what they know while the store is away or has not
// answered since the start, so that a host still learns of changes, or starts.
func (g *Gateway) followPeers(ctx context.Context) {
	wait := firstPeerPoll
	for ctx.Err() == nil {
		sleep(ctx, wait)
		v := g.control.view()
		if v.storeLost.IsZero() && v.revision > 0 {
			wait = peerPoll
			continue
		}
		if address := g.anyPeer(v); address != "" {
			g.askPeer(ctx, address, v.revision)
		}
	}
}

// probePeers asks suspected peers whether they are back until ctx ends.
func (g *Gateway) probePeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeTick)
		v := g.control.view()
		for _, address := range g.peers.due(time.Now(), v.knows) {
			go g.probePeer(ctx, address)
		}
	}
}

// suspect keeps requests from a peer until it answers a probe. The probe comes
// on a new connection, as those that are open may have gone silent for good.
func (g *Gateway) suspect(address string, now time.Time) {
	g.peers.suspect(address, now)
	g.edges.Peers.Forget(address)
}

// probePeer asks for nothing newer than any revision: only the answer counts.
func (g *Gateway) probePeer(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := g.edges.Peers.State(callCtx, address, &relaypb.StateRequest{Revision: math.MaxUint64}); err != nil {
		g.suspect(address, time.Now())
		return
	}
	g.peers.answered(address)
	g.log.Info().Str("peer", address).Msg("peer answers again")
}

// anyPeer returns the address of a random peer, or of a seed.
func (g *Gateway) anyPeer(v *view) string {
	var addresses []string
	for _, hosts := range v.hosts {
		for _, h := range hosts {
			if h.name != g.name {
				addresses = append(addresses, h.address)
			}
		}
	}
	if len(addresses) == 0 {
		addresses = g.seeds
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func (g *Gateway) askPeer(ctx context.Context, address string, known uint64) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := g.edges.Peers.State(callCtx, address, &relaypb.StateRequest{Revision: known, Packs: true})
	if err != nil {
		g.log.Debug().Err(err).Str("peer", address).Msg("peer could not be asked")
		return
	}
	if reply.GetRevision() <= known {
		return
	}
	entries, err := unpackEntries(reply.GetPackedEntries(), reply.GetEntries())
	if err != nil {
		g.log.Error().Err(err).Str("peer", address).Msg("what a peer told is left out")
		return
	}
	reading := Reading{Revision: reply.GetRevision(), Entries: entries}
	g.log.Info().Str("peer", address).Uint64("revision", reading.Revision).Uint64("known", known).Msg("learned from a peer while the store is away")
	g.control.do(ctx, func() { g.control.applyReading(reading, time.Now()) })
}

// State implements the relay protocol.
func (g *Gateway) State(ctx context.Context, request *relaypb.StateRequest) (*relaypb.StateReply, error) {
	var n updates
	g.control.do(ctx, func() {
		if g.control.revision > request.GetRevision() {
			n = g.control.updatesSince(0, time.Now())
		}
	})
	entries, packed, err := g.entriesFor(request.GetPacks(), 0, n)
	if err != nil {
		return nil, err
	}
	return &relaypb.StateReply{Revision: n.Revision, Entries: entries, PackedEntries: packed}, nil
}

func encodeEntries(entries []Entry) []*relaypb.Entry {
	encoded := make([]*relaypb.Entry, 0, len(entries))
	for _, e := range entries {
		encoded = append(encoded, &relaypb.Entry{Kind: e.Kind, Name: e.Name, Value: e.Value, Revision: e.Revision, Removed: e.Removed})
	}
	return encoded
}

func decodeEntries(encoded []*relaypb.Entry) []Entry {
	entries := make([]Entry, 0, len(encoded))
	for _, e := range encoded {
		entries = append(entries, Entry{Kind: e.GetKind(), Name: e.GetName(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved()})
	}
	return entries
}

// announce keeps this host's entry in the store until ctx ends, then removes it.
func (g *Gateway) announce(ctx context.Context) {
	ttl := g.settings.GetStore().GetLease().AsDuration()
	value, err := proto.Marshal(g.self)
	if err != nil {
		g.log.Error().Err(err).Msg("the entry of this host cannot be encoded: peers will not find it")
		return
	}
	var lease uint64
	for ctx.Err() == nil {
		if lease == 0 {
			lease = g.announceOnce(ctx, value, ttl)
		} else if err := g.renew(ctx, lease); errors.Is(err, ErrLeaseEnded) || g.entryMissing() {
			g.log.Info().Msg("the entry of this host is gone from the store: announcing again")
			lease = 0
			continue
		}
		if lease == 0 {
			sleep(ctx, retryLongest)
			continue
		}
		sleep(ctx, ttl/renewals)
	}
	g.withdraw(lease)
}

func (g *Gateway) announceOnce(ctx context.Context, value []byte, ttl time.Duration) uint64 {
	lease, err := g.edges.Store.Announce(ctx, g.name, value, ttl)
	if err != nil {
		g.log.Warn().Err(err).Msg("this host could not be announced; it will be tried again")
		return 0
	}
	return lease
}

func (g *Gateway) renew(ctx context.Context, lease uint64) error {
	err := g.edges.Store.Renew(ctx, lease)
	if err != nil && !errors.Is(err, ErrLeaseEnded) {
		g.log.Debug().Err(err).Msg("lease could not be renewed; it will be tried again")
	}
	return err
}

// entryMissing reports whether the store, which answers, lacks this host's
// entry although its lease was renewed.
func (g *Gateway) entryMissing() bool {
	v := g.control.view()
	if !v.storeLost.IsZero() {
		return false
	}
	for _, h := range v.hosts[g.self.GetDomain()] {
		if h.name == g.name {
			return false
		}
	}
	return true
}

func (g *Gateway) withdraw(lease uint64) {
	if lease == 0 {
		return
	}
	if err := g.edges.Store.Withdraw(context.Background(), lease); err != nil {
		g.log.Warn().Err(err).Msg("the entry of this host could not be removed; it lapses with its lease")
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

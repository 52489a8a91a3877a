package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// tellTimeout bounds the message to one host: the way to another region and back many times.
const tellTimeout = 250 * time.Millisecond

// tellPeers hands what waits for the store, which is away, to the relays of every failure domain:
// queries of all hosts pass through some of them. It protects the servers that the first host has
// left from a request under which servers end, where the others cannot read of it. A host that
// cannot be reached learns it when the store is back.
func (c *Control) tellPeers(ctx context.Context, puts map[string][]byte, remove []string) error {
	var entries []Entry
	for _, name := range slices.Sorted(maps.Keys(puts)) {
		entries = append(entries, Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: name, Value: puts[name]})
	}
	for _, name := range remove {
		entries = append(entries, Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: name, Removed: true})
	}
	if len(entries) == 0 {
		return nil
	}
	request := &relaypb.TellRequest{Entries: encodeEntries(entries)}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var told sync.WaitGroup
	relays := c.relays()
	for _, h := range relays {
		told.Go(func() {
			if err := c.peers.Tell(ctx, h.Address, request); err != nil {
				c.log.Info().Err(err).Str("peer", h.Name).Msg("a peer was not told of requests in quarantine: it learns it when the store is back")
			}
		})
	}
	told.Wait()
	c.log.Info().Int("records", len(puts)).Int("removed", len(remove)).Int("peers", len(relays)).Msg("peers told of requests in quarantine, as the store is away")
	return nil
}

// relays returns the other hosts that relay for their failure domains and are not suspected.
func (c *Control) relays() []Host {
	v := c.View()
	var all []Host
	for domain := range v.Hosts {
		for _, h := range v.Relays(domain, c.relaysPerDomain) {
			if h.Name != c.name && !c.health.Suspected(h.Address) {
				all = append(all, h)
			}
		}
	}
	return all
}

// Tell takes in what a peer hands over while the store is away.
func (c *Control) Tell(ctx context.Context, request *relaypb.TellRequest) *relaypb.TellReply {
	c.state.do(ctx, func() {
		for _, e := range decodeEntries(request.GetEntries()) {
			if e.Kind == relaypb.EntryKind_QUARANTINE {
				c.state.applyContained(e, time.Now())
			}
		}
	})
	return &relaypb.TellReply{}
}

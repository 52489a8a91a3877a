package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// tellTimeout bounds the calls of one sendRecordsToRelays, which run concurrently: several round
// trips to another region.
const tellTimeout = 250 * time.Millisecond

// sendRecordsToRelays sends quarantine records to the relays of all failure domains while the
// store is unreachable, so that they stop poison requests. Queries of all hosts pass through
// some of these relays. Failed sends are logged and not repeated, since a relay reads the
// records when the store is back; the result is always nil.
func (c *Control) sendRecordsToRelays(ctx context.Context, puts map[string][]byte, remove []string) error {
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
	var wg sync.WaitGroup
	relays := c.otherRelays()
	for _, relay := range relays {
		wg.Go(func() {
			if err := c.peers.Tell(ctx, relay.Address, request); err != nil {
				c.log.Info().Err(err).Str("peer", relay.Name).Msg("failed to send quarantine records to a relay: it reads them when the store is back")
			}
		})
	}
	wg.Wait()
	c.log.Info().Int("records", len(puts)).Int("removed", len(remove)).Int("peers", len(relays)).Msg("store unreachable: tried to send quarantine records to relays")
	return nil
}

// otherRelays returns the relays of all failure domains except this host and suspected ones.
func (c *Control) otherRelays() []Host {
	v := c.View()
	var all []Host
	for domain := range v.Hosts {
		for _, relay := range v.Relays(domain, c.relaysPerDomain) {
			if relay.Name != c.name && !c.health.Suspected(relay.Address) {
				all = append(all, relay)
			}
		}
	}
	return all
}

// Tell implements the relay protocol. It applies quarantine records that another host sent.
func (c *Control) Tell(ctx context.Context, request *relaypb.TellRequest) *relaypb.TellReply {
	c.state.do(ctx, func() {
		for _, e := range decodeEntries(request.GetEntries()) {
			if e.Kind == relaypb.EntryKind_QUARANTINE {
				c.state.applyOrSkip(e, "peer", time.Now())
			}
		}
	})
	return &relaypb.TellReply{}
}

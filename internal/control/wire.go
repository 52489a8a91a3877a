package control

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
)

// entryPacker compresses entries for peers. It caches the last result, because most followers
// need the same entries at the same time.
type entryPacker struct {
	mu sync.Mutex
	// known and changed are the key of the cached result: the revision the peers knew, and
	// the channel that identifies the version of the control state.
	known   uint64
	changed <-chan struct{}
	packed  []byte
}

// pack returns the compressed entries for a peer that knows a revision.
func (p *entryPacker) pack(known uint64, u updates) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.known == known && p.changed == u.changed {
		return p.packed, nil
	}
	plain, err := proto.Marshal(&relaypb.EntryList{Entries: encodeEntries(u.Entries)})
	if err != nil {
		return nil, fmt.Errorf("encode entries: %w", err)
	}
	p.known, p.changed, p.packed = known, u.changed, packing.Deflate(plain)
	return p.packed, nil
}

// unpackEntries returns the entries of a peer's reply, compressed or plain.
func unpackEntries(packed []byte, plain []*relaypb.Entry) ([]Entry, error) {
	if packed == nil {
		return decodeEntries(plain), nil
	}
	encoded, err := packing.Inflate(packed)
	if err != nil {
		return nil, fmt.Errorf("inflate entries of a peer: %w", err)
	}
	var list relaypb.EntryList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, fmt.Errorf("decode entries of a peer: %w", err)
	}
	return decodeEntries(list.GetEntries()), nil
}

// entriesFor returns the entries for a peer, plain, or compressed if the peer supports it.
func (c *Control) entriesFor(packs bool, known uint64, u updates) ([]*relaypb.Entry, []byte, error) {
	if !packs || len(u.Entries) == 0 {
		return encodeEntries(u.Entries), nil, nil
	}
	packed, err := c.packer.pack(known, u)
	return nil, packed, err
}

// maxReportedMicros limits the durations that a peer reports, in microseconds, so that they cannot overflow.
const maxReportedMicros = uint64(365 * 24 * time.Hour / time.Microsecond)

// durationOf converts microseconds that a peer reported.
func durationOf(micros uint64) time.Duration {
	return time.Duration(min(micros, maxReportedMicros)) * time.Microsecond
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

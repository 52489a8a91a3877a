package control

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
)

// entryPacker packs entries for peers. The followers of a host mostly want the
// same ones at the same moment, so that the last result is kept.
type entryPacker struct {
	mu sync.Mutex
	// known and state tell for whom the last result was: for peers that knew this
	// revision, while the control state was the one that ends with this channel.
	known  uint64
	state  <-chan struct{}
	packed []byte
}

// pack returns in packed form what a peer that knows a revision has not heard.
func (p *entryPacker) pack(known uint64, n updates) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.known == known && p.state == n.changed {
		return p.packed, nil
	}
	plain, err := proto.Marshal(&relaypb.EntryList{Entries: encodeEntries(n.Entries)})
	if err != nil {
		return nil, fmt.Errorf("encode entries: %w", err)
	}
	p.known, p.state, p.packed = known, n.changed, packing.Deflate(plain)
	return p.packed, nil
}

// unpackEntries returns the entries of a reply of a peer, packed or plain.
func unpackEntries(packed []byte, plain []*relaypb.Entry) ([]Entry, error) {
	if packed == nil {
		return decodeEntries(plain), nil
	}
	encoded, err := packing.Inflate(packed)
	if err != nil {
		return nil, fmt.Errorf("entries of a peer: %w", err)
	}
	var list relaypb.EntryList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, fmt.Errorf("entries of a peer: %w", err)
	}
	return decodeEntries(list.GetEntries()), nil
}

// entriesFor returns the entries for a peer that knows a revision, plain or packed.
func (c *Control) entriesFor(packs bool, known uint64, n updates) ([]*relaypb.Entry, []byte, error) {
	if !packs || len(n.Entries) == 0 {
		return encodeEntries(n.Entries), nil, nil
	}
	packed, err := c.packer.pack(known, n)
	return nil, packed, err
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

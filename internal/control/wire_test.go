package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Checks that entries are compressed for peers, and that the cached result is reused only for
// the same state.
func TestEntriesArePacked(t *testing.T) {
	u := updates{changed: make(chan struct{})}
	for i := range 100 {
		u.Entries = append(u.Entries, Entry{
			Kind: relaypb.EntryKind_SERVER, Name: fmt.Sprintf("i-%08x", i*0x9e3779b9), Revision: uint64(i),
			Value: fmt.Appendf(nil, `{"service":"shard%d","addr":"10.1.64.%d:8361","zone":"tln-a","state":"ready"}`, i, i),
		})
	}
	var p entryPacker
	packed, err := p.pack(3, u)
	assert.NilError(t, err)
	plain := proto.Size(&relaypb.FollowReply{Entries: encodeEntries(u.Entries)})
	assert.Assert(t, 3*len(packed) < plain, "%d of %d bytes", len(packed), plain)
	entries, err := unpackEntries(packed, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, u.Entries)

	u.Entries = u.Entries[:1]
	repacked, err := p.pack(3, u)
	assert.NilError(t, err)
	assert.DeepEqual(t, repacked, packed)
	u.changed = make(chan struct{})
	repacked, err = p.pack(3, u)
	assert.NilError(t, err)
	assert.Assert(t, len(repacked) < len(packed), "expected a new result for a new state")
	_, err = unpackEntries([]byte("x"), nil)
	assert.ErrorContains(t, err, "entries of a peer")
}

// Checks that a peer without support for compression gets plain entries and may send them.
func TestPlainEntriesForOldPeers(t *testing.T) {
	c := &Control{}
	u := updates{Batch: Batch{Entries: []Entry{{Name: "a"}}}}
	plain, packed, err := c.entriesFor(false, 0, u)
	assert.NilError(t, err)
	assert.Assert(t, packed == nil)
	entries, err := unpackEntries(packed, plain)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, u.Entries)
}

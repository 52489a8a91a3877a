package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Each configuration once went to every follower as it is: on a day with a storm
// of configurations 40 MB in ten seconds.
func TestEntriesArePacked(t *testing.T) {
	n := updates{changed: make(chan struct{})}
	for i := range 100 {
		n.Entries = append(n.Entries, Entry{
			Kind: relaypb.EntryKind_SERVER, Name: fmt.Sprintf("i-%08x", i*0x9e3779b9), Revision: uint64(i),
			Value: fmt.Appendf(nil, `{"service":"shard%d","addr":"10.1.64.%d:8361","zone":"tln-a","state":"ready"}`, i, i),
		})
	}
	var p entryPacker
	packed, err := p.pack(3, n)
	assert.NilError(t, err)
	plain := proto.Size(&relaypb.FollowReply{Entries: encodeEntries(n.Entries)})
	assert.Assert(t, 3*len(packed) < plain, "%d of %d bytes", len(packed), plain)
	entries, err := unpackEntries(packed, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, n.Entries)

	n.Entries = n.Entries[:1]
	again, err := p.pack(3, n)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, packed)
	n.changed = make(chan struct{})
	again, err = p.pack(3, n)
	assert.NilError(t, err)
	assert.Assert(t, len(again) < len(packed), "the state is another")
	_, err = unpackEntries([]byte("x"), nil)
	assert.ErrorContains(t, err, "entries of a peer")
}

// A peer of the version before gets and sends plain entries.
func TestEntriesForAPeerOfTheVersionBefore(t *testing.T) {
	c := &Control{}
	n := updates{Reading: Reading{Entries: []Entry{{Name: "a"}}}}
	plain, packed, err := c.entriesFor(false, 0, n)
	assert.NilError(t, err)
	assert.Assert(t, packed == nil)
	entries, err := unpackEntries(packed, plain)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, n.Entries)
}

package gateway

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
)

// Whatever the outcomes, each part keeps its own signature.
func TestPackedRepliesComeBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reply := &relaypb.GatherReply{}
		var want []string
		for i := range rapid.IntRange(0, 60).Draw(rt, "results") {
			r := &relaypb.CallResult{Index: uint32(i), Outcome: relaypb.Outcome(rapid.IntRange(0, 3).Draw(rt, "outcome"))}
			if r.Outcome == relaypb.Outcome_PART {
				r.Signature = fmt.Sprintf("%x.a0.%016x", i, rapid.Uint64().Draw(rt, "signature"))
			}
			want = append(want, r.Signature)
			reply.Results = append(reply.Results, r)
		}
		packReply(reply)
		assert.NilError(rt, unpackReply(reply))
		for i, r := range reply.Results {
			assert.Equal(rt, r.Signature, want[i])
		}
	})
}

func TestBrokenReplyIsRefused(t *testing.T) {
	part := func() *relaypb.CallResult { return &relaypb.CallResult{Outcome: relaypb.Outcome_PART} }
	ten := packing.Pack([]string{"aaaaaaaaaaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbbbbbbbbbbb", "ccccccccccccccccccccccc", "ddddddddddddddd"})
	assert.ErrorIs(t, unpackReply(&relaypb.GatherReply{Results: []*relaypb.CallResult{part()}, PackedSignatures: ten}), errSignatureCount)
	many := &relaypb.GatherReply{PackedSignatures: ten}
	for range 5 {
		many.Results = append(many.Results, part())
	}
	assert.ErrorIs(t, unpackReply(many), errSignatureCount)
	assert.ErrorContains(t, unpackReply(&relaypb.GatherReply{PackedSignatures: []byte("x")}), "unpack")
	assert.ErrorContains(t, unpackRequest(&relaypb.GatherRequest{PackedServerIds: []byte("x")}), "unpack")
}

// A host whose entry does not say that it understands packed lists gets plain
// ones.
func TestHostsOfTwoVersionsUnderstandEachOther(t *testing.T) {
	ids := shardNames(50)
	for _, packs := range []bool{true, false} {
		m := &relaypb.GatherRequest{}
		setServerIDs(m, ids, packs)
		assert.Equal(t, m.PackedServerIds != nil, packs)
		assert.NilError(t, unpackRequest(m))
		assert.DeepEqual(t, m.GetServerIds(), ids)
	}
}

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
	g := &Gateway{}
	n := updates{Reading: Reading{Entries: []Entry{{Name: "a"}}}}
	plain, packed, err := g.entriesFor(false, 0, n)
	assert.NilError(t, err)
	assert.Assert(t, packed == nil)
	entries, err := unpackEntries(packed, plain)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, n.Entries)
}

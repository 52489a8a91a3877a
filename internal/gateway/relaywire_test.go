package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/packing"
	"github.com/mallowgap/mallowgap/quarantine"
)

// The text of a failure may repeat bytes of a server. A relay could not send it, and lost the parts of all
// servers in the same reply.
func TestFailureWithAnyBytesIsRelayed(t *testing.T) {
	for _, reason := range []string{"\xff\xfe", "caf\xc3", strings.Repeat("\xc3\xa9", 1<<20)} {
		g := &gathering{pending: 1}
		sent := g.add(indexedResult{0, result{outcome: relaypb.Outcome_FAILED, reason: reason}})
		encoded, err := proto.Marshal(sent)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < 1<<10, "%d bytes", len(encoded))
	}
}

// Packing and unpacking a reply must restore the signature of each part, whatever the outcomes.
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

// A reply or request whose packed list is malformed or of the wrong length must be rejected.
func TestBrokenReplyIsRefused(t *testing.T) {
	part := func() *relaypb.CallResult { return &relaypb.CallResult{Outcome: relaypb.Outcome_PART} }
	packed := packing.Pack([]string{"aaaaaaaaaaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbbbbbbbbbbb", "ccccccccccccccccccccccc", "ddddddddddddddd"})
	assert.ErrorIs(t, unpackReply(&relaypb.GatherReply{Results: []*relaypb.CallResult{part()}, PackedSignatures: packed}), errSignatureCount)
	tooMany := &relaypb.GatherReply{PackedSignatures: packed}
	for range 5 {
		tooMany.Results = append(tooMany.Results, part())
	}
	assert.ErrorIs(t, unpackReply(tooMany), errSignatureCount)
	assert.ErrorContains(t, unpackReply(&relaypb.GatherReply{PackedSignatures: []byte("x")}), "unpack")
	assert.ErrorContains(t, unpackRequest(&relaypb.GatherRequest{PackedServerIds: []byte("x")}), "unpack")
}

// A host that does not announce support for packed lists must get plain ones.
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

// Headers, targets and identifiers may contain bytes that are not UTF-8. A message that cannot be
// encoded would fail the request and make a sound relay suspect.
func TestRelayedRequestsMayContainAnyBytes(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf([]string{"shard0", "shard1", "single"}, "b1"), threeRegions[:2], func(cl *cluster) {
		encoded := 0
		cl.peers.onGather = func(m *relaypb.GatherRequest) {
			value, err := proto.Marshal(m)
			assert.Check(cl.t, err)
			assert.Check(cl.t, proto.Unmarshal(value, m))
			encoded++
		}
		for _, path := range []string{"/q/\xe9", "/one/\xe9"} {
			r := cl.newRequest(path)
			r.ID += "\xe9"
			r.Header.Set("X-Own", "\xe9")
			check := func(ctx context.Context, got *Request) (*Reply, error) {
				assert.Check(cl.t, got.ID == r.ID && got.Target == path && got.Header.Get("X-Own") == "\xe9", "%q", got)
				return serve("x", leafServiceTime)(ctx, got)
			}
			for _, service := range []string{"shard0", "shard1", "single"} {
				cl.backends.set(service, check)
			}
			a := cl.hosts["host1"].Serve(cl.ctx, r)
			assert.Assert(cl.t, a.Outcome == Gathered || a.Outcome == Forwarded, "%+v", a)
		}
		assert.Assert(cl.t, encoded > 0)
	})
}

// A description that is not UTF-8 cannot be encoded, so that other hosts would not learn which
// request makes servers crash.
func TestDescriptionsAreUTF8(t *testing.T) {
	for _, target := range []string{"/\xe9", "/" + strings.Repeat("é", quarantine.MaxDescription)} {
		description := describe(&Request{Method: "GET", Host: "h", Target: target}, "r")
		assert.Assert(t, utf8.ValidString(description) && len(description) <= quarantine.MaxDescription, "%q", description)
		assert.Assert(t, strings.HasPrefix(description, "GET h/"), description)
	}
}

package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
)

// panicking panics while the request is processed.
func panicking(context.Context, *Request) (*Reply, error) { panic("injected by the test") }

// A panic must end only the request, at this host and at a relay, and free its slots. If it ended
// the process, a caller that retries would end one host after the other.
func TestPanicEndsOnlyTheRequest(t *testing.T) {
	servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "b1")
	withCluster(t, shardedConfig(1, 2), servers, threeRegions[:2], func(cl *cluster) {
		for _, s := range servers {
			cl.backends.set(s.ID, panicking)
		}
		for range 200 {
			for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
				a := cl.ask("host1", path)
				assert.Assert(cl.t, a.Outcome == Failed || a.Outcome == TimedOut || a.Outcome == NotRun, "%+v", a)
			}
		}
		for _, s := range servers {
			cl.backends.set(s.ID, nil)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(cl.t, cl.ask("host1", "/q/x").Outcome, Gathered)
		assert.Equal(cl.t, cl.ask("host2", "/one/x").Outcome, Forwarded)
	})
}

// A panic while a peer's message is processed must fail only that call.
func TestPanicEndsOnlyThePeerCall(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"shard0"}, "a1"), oneHost, func(cl *cluster) {
		err := cl.hosts["host1"].Gather(&relaypb.GatherRequest{RequestId: []byte("r")}, nil)
		assert.ErrorContains(cl.t, err, "fault of the program")
	})
}

// panickingStore panics when the entry of one server is decoded.
type panickingStore struct{ *fakestore.Partitioned }

func (s panickingStore) DecodeServer(id string, value []byte) (discovery.Server, error) {
	if id == "panics" {
		panic("injected by the test")
	}
	return s.Partitioned.DecodeServer(id, value)
}

// A server entry whose decoding panics must be ignored.
func TestEntryWhoseDecodingPanicsIsIgnored(t *testing.T) {
	file := settingsOf(t, oneHost[0])
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), nil, func(cl *cluster) {
		cl.startOn(file, panickingStore{&fakestore.Partitioned{Store: cl.store}})
		time.Sleep(time.Second)
		cl.store.PutRawServer("panics", []byte("x"))
		cl.store.PutConfig(shardedConfig(2, 2))
		time.Sleep(time.Second)
		assert.Equal(cl.t, cl.hosts["host1"].control.View().Table.Version(), uint64(2))
		assert.Equal(cl.t, cl.ask("host1", "/q/x").Outcome, Gathered)
	})
}

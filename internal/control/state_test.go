package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
)

// testHeartbeat is the interval at which the servers of the tests renew their registrations.
const testHeartbeat = 1200 * time.Millisecond

func serverEntryAt(id string, revision uint64) Entry {
	return Entry{Kind: relaypb.EntryKind_SERVER, Name: id, Value: []byte(`{"ID":"` + id + `","Service":"s"}`), Revision: revision}
}

// Guards against a server that comes back into use after it was removed, because a peer answers with a state
// that is older than what this host has learned meanwhile.
func TestOlderStateBringsNoServerBack(t *testing.T) {
	s := newState(jsonDecoder{}, noopListener{}, Host{Name: "host0", Domain: "d0", Region: "r"}, testHeartbeat, 3, zerolog.Nop())
	now := time.Unix(1000, 0)
	s.registry.Contact.Heard(now, time.Minute)
	older := Batch{Revision: 3, Entries: []Entry{serverEntryAt("leaves", 1), serverEntryAt("stays", 2)}}
	s.applyBatch(older, now)
	removal := Entry{Kind: relaypb.EntryKind_SERVER, Name: "leaves", Revision: 4, Removed: true}
	s.applyChanges(Batch{Revision: 5, Entries: []Entry{removal, serverEntryAt("new", 5)}}, now)
	late := Batch{Revision: 5, Entries: []Entry{serverEntryAt("stays", 2), serverEntryAt("late", 4), serverEntryAt("new", 5)}}
	s.applyBatch(late, now)
	_, isLate := s.registry.Server("late")
	assert.Assert(t, isLate, "a complete state that is not older has the last word")
	for name, apply := range map[string]func(Batch, time.Time){"complete": s.applyBatch, "changes": s.applyChanges} {
		apply(older, now)
		_, back := s.registry.Server("leaves")
		assert.Assert(t, !back, "%s", name)
		_, stays := s.registry.Server("stays")
		_, isNew := s.registry.Server("new")
		assert.Assert(t, stays && isNew, "%s", name)
	}
}

// statePeer answers polls for the state with that of one host.
type statePeer struct {
	PeerClient
	host *Control
}

// State implements PeerClient.
func (p statePeer) State(ctx context.Context, _ string, r *relaypb.StateRequest) (*relaypb.StateReply, error) {
	return p.host.State(ctx, r)
}

// Guards against a host that was cut off for long, hears of a removal from a peer that was not, and goes on
// using the server, because the peer does not say for how long the store has been in service.
func TestPeerReportsForHowLongTheStoreIsInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		settings := &settingspb.GatewayStoreSection{ServerHeartbeat: durationpb.New(testHeartbeat), Lease: durationpb.New(time.Minute)}
		informed := New(Config{Self: &relaypb.Host{Name: "informed"}, Settings: settings, Listener: noopListener{}})
		cutOff := New(Config{Self: &relaypb.Host{Name: "cut off"}, Settings: settings, Listener: noopListener{}, Peers: statePeer{host: informed}})
		for _, c := range []*Control{informed, cutOff} {
			c.state.decoder = jsonDecoder{}
			go c.state.run(ctx)
			c.state.do(ctx, func() {
				c.state.heardStore(time.Now(), time.Second)
				c.state.applyBatch(Batch{Revision: 3, Entries: []Entry{serverEntryAt("leaves", 1), serverEntryAt("stays", 2)}}, time.Now())
			})
		}
		time.Sleep(10 * time.Second)
		informed.state.do(ctx, func() {
			informed.state.heardStore(time.Now(), 10*time.Second)
			informed.state.applyChanges(Batch{Revision: 4, Entries: []Entry{{Kind: relaypb.EntryKind_SERVER, Name: "leaves", Revision: 4, Removed: true}}}, time.Now())
		})
		time.Sleep(time.Millisecond)
		cutOff.queryPeer(ctx, "informed", cutOff.View().Revision)
		cutOff.state.do(ctx, func() {
			_, used := cutOff.state.registry.Server("leaves")
			assert.Assert(t, !used)
		})
		cancel()
		synctest.Wait()
	})
}

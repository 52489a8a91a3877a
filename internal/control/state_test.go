package control

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
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
	for name, apply := range map[string]func(Batch, time.Time){"complete": s.applyBatch, "changes": s.applyChanges} {
		apply(older, now)
		_, back := s.registry.Server("leaves")
		assert.Assert(t, !back, "%s", name)
		_, stays := s.registry.Server("stays")
		_, isNew := s.registry.Server("new")
		assert.Assert(t, stays && isNew, "%s", name)
	}
}

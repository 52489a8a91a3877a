package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/route"
)

// jsonDecoder decodes entries in the format of the fake store.
type jsonDecoder struct{}

func (jsonDecoder) DecodeConfig(value []byte) (c route.Config, err error) {
	return c, json.Unmarshal(value, &c)
}

func (jsonDecoder) DecodeServer(_ string, value []byte) (s discovery.Server, err error) {
	return s, json.Unmarshal(value, &s)
}

// noopListener ignores all changes.
type noopListener struct{}

func (noopListener) ServersChanged([]discovery.Server, func(discovery.Server) Share, time.Time) {}
func (noopListener) ServerExpired(discovery.Server)                                             {}
func (noopListener) TableChanged(*route.Table)                                                  {}
func (noopListener) QuarantineChanged(Entry, time.Time)                                         {}
func (noopListener) Resumed(time.Duration)                                                      {}

// fleetEntries returns the entries of a configuration, of hosts and of two servers for each
// of the shards.
func fleetEntries(hosts, shards int, revision uint64) []Entry {
	var entries []Entry
	for i := range hosts {
		name := fmt.Sprintf("host%d", i)
		value, _ := proto.Marshal(&relaypb.Host{Name: name, Address: name, Domain: fmt.Sprint("d", i%6), Region: "r", Strength: 1})
		entries = append(entries, Entry{Kind: relaypb.EntryKind_HOST, Name: name, Value: value, Revision: revision})
	}
	var names []string
	for i := range 2 * shards {
		service := fmt.Sprint("shard", i/2)
		if i%2 == 0 {
			names = append(names, service)
		}
		id := fmt.Sprint("i-", i)
		value, _ := json.Marshal(discovery.Server{ID: id, Service: service, Address: id, Domain: fmt.Sprint("d", i%2)})
		entries = append(entries, Entry{Kind: relaypb.EntryKind_SERVER, Name: id, Value: value, Revision: revision})
	}
	config, _ := json.Marshal(route.Config{Version: 1, Routes: []route.Route{{Name: "q", Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: 2, Idempotent: true, Query: &route.Query{Shards: names, Top: 3, MinShare: 0.5}}}})
	return append(entries, Entry{Kind: relaypb.EntryKind_CONFIG, Value: config, Revision: revision})
}

// Checks that the number of log lines is bounded when all entries disappear and return
// several times within a second, as after an outage of the store.
func TestLinesDoNotGrowWithTheEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// All servers are in d0 and d1: host8 calls none, and host0 is one of the relays that call
		// those in d0.
		for _, self := range []Host{{Name: "host8", Domain: "d2", Region: "r"}, {Name: "host0", Domain: "d0", Region: "r"}} {
			checkLogLines(t, self)
		}
	})
}

// checkLogLines applies the entries repeatedly on one host and checks its log.
func checkLogLines(t *testing.T, self Host) {
	t.Helper()
	var out strings.Builder
	s := newState(jsonDecoder{}, noopListener{}, self, testHeartbeat, 3, zerolog.New(zerolog.SyncWriter(&out)))
	now := time.Unix(1000, 0)
	entries := fleetEntries(195, 216, 1)
	s.applyBatch(Batch{Revision: 1, Entries: entries}, now)
	for i := range uint64(3) {
		now = now.Add(300 * time.Millisecond)
		s.registry.Contact.Heard(now, 0)
		s.applyBatch(Batch{Revision: 2 + 2*i, Entries: entries[len(entries)-1:]}, now)
		s.applyBatch(Batch{Revision: 3 + 2*i, Entries: fleetEntries(195, 216, 3+2*i)}, now)
	}
	lines := strings.Count(out.String(), "\n")
	// Lines about single entries are limited to detailLinesPerSecond. The other seven allow for the
	// lines about the configuration, the summary and the readiness.
	assert.Assert(t, lines <= 2+detailLinesPerSecond+5, "%d lines:\n%s", lines, out.String())
	assert.Equal(t, strings.Contains(out.String(), `"server":"i-`), self.Name == "host0", "only hosts that call a server log its changes:\n%s", out.String())
	now = now.Add(tallyInterval)
	s.expire(now)
	// The 432 servers have disappeared three times.
	assert.Assert(t, strings.Contains(out.String(), `"servers_gone":1296`), out.String())
}

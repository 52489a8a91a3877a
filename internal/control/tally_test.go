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

// jsonDecoder decodes entries as the fake store holds them.
type jsonDecoder struct{}

func (jsonDecoder) DecodeConfig(value []byte) (c route.Config, err error) {
	return c, json.Unmarshal(value, &c)
}

func (jsonDecoder) DecodeServer(_ string, value []byte) (s discovery.Server, err error) {
	return s, json.Unmarshal(value, &s)
}

// noListener takes nothing.
type noListener struct{}

func (noListener) ServersChanged([]discovery.Server, func(discovery.Server) Share, time.Time) {}
func (noListener) ServerGone(discovery.Server)                                                {}
func (noListener) TableChanged(*route.Table)                                                  {}
func (noListener) QuarantineChanged(Entry, time.Time)                                         {}
func (noListener) Slept(time.Duration)                                                        {}

// fleetEntries returns the entries of hosts and of two servers for each of shards.
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

// The entries of a fleet of 195 hosts and 432 servers vanish and come back, as after
// an outage of the store, three times in a second: a line for each entry was 250,000
// lines in a day.
func TestLinesDoNotGrowWithTheEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, self := range []Host{{Name: "host8", Domain: "d2", Region: "r"}, {Name: "host0", Domain: "d0", Region: "r"}} {
			countLines(t, self)
		}
	})
}

func countLines(t *testing.T, self Host) {
	t.Helper()
	var out strings.Builder
	s := newState(jsonDecoder{}, noListener{}, self, 3, zerolog.New(zerolog.SyncWriter(&out)))
	now := time.Unix(1000, 0)
	entries := fleetEntries(195, 216, 1)
	s.applyReading(Reading{Revision: 1, Entries: entries}, now)
	for i := range uint64(3) {
		now = now.Add(300 * time.Millisecond)
		s.applyReading(Reading{Revision: 2 + 2*i, Entries: entries[len(entries)-1:]}, now)
		s.applyReading(Reading{Revision: 3 + 2*i, Entries: fleetEntries(195, 216, 3+2*i)}, now)
	}
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines <= 2+detailsPerSecond+5, "%d lines:\n%s", lines, out.String())
	assert.Equal(t, strings.Contains(out.String(), `"server":"i-`), self.Name == "host0", "only who calls a server tells of it:\n%s", out.String())
	now = now.Add(tallyEvery)
	s.expire(now)
	assert.Assert(t, strings.Contains(out.String(), `"servers_gone":1296`), out.String())
}

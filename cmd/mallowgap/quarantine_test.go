package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quarantine"
)

// Clearing removes the records of one fingerprint only; a fingerprint without
// records or with bad syntax is an error.
func TestQuarantineIsClearedByHand(t *testing.T) {
	one, other := quarantine.FingerprintOf(quarantine.Content{Target: "/one"}), quarantine.FingerprintOf(quarantine.Content{Target: "/other"})
	value, err := proto.Marshal(&relaypb.QuarantineRecord{Servers: []string{"a", "b", "c"}, Ended: 3, TrialServers: []string{"b", "c"}})
	assert.NilError(t, err)
	var removed []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var txn struct {
				Remove []string `json:"remove"`
			}
			assert.Check(t, json.NewDecoder(r.Body).Decode(&txn) == nil)
			removed = append(removed, txn.Remove...)
			_, _ = w.Write([]byte(`{"rev": 9}`))
			return
		}
		var items []map[string]any
		for _, name := range []string{quarantine.RecordKeyFor(one, "h1"), quarantine.RecordKeyFor(one, "h2"), quarantine.RecordKeyFor(other, "h1"), "odd"} {
			items = append(items, map[string]any{"key": "mallowgap/quarantine/" + name, "value": value, "rev": 1})
		}
		assert.Check(t, json.NewEncoder(w).Encode(map[string]any{"items": items, "as_of": 5}) == nil)
	}))
	defer server.Close()
	target := storeTarget{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 5 * time.Second}

	assert.NilError(t, (&listQuarantineCommand{target}).Execute(nil))
	clearOne := &clearQuarantineCommand{storeTarget: target}
	clearOne.Args.Fingerprint = one.String()
	assert.NilError(t, clearOne.Execute(nil))
	assert.DeepEqual(t, removed, []string{"mallowgap/quarantine/" + quarantine.RecordKeyFor(one, "h1"), "mallowgap/quarantine/" + quarantine.RecordKeyFor(one, "h2")})

	clearOne.Args.Fingerprint = quarantine.FingerprintOf(quarantine.Content{Target: "/none"}).String()
	assert.ErrorContains(t, clearOne.Execute(nil), "no quarantine record")
	clearOne.Args.Fingerprint = "odd"
	assert.ErrorContains(t, clearOne.Execute(nil), "no fingerprint")
}

package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// A host that did not know its own entry yet once followed one that comes after
// it and followed it in turn: neither read the store for 1.5 s.
func TestNoTwoHostsFollowEachOther(t *testing.T) {
	c := New(Config{Self: &relaypb.Host{Name: "host1", Domain: "a1", Region: "a", Strength: 1}})
	c.loaded = true
	c.state.current.Store(&View{Hosts: map[string][]Host{"a1": {{Name: "host2", Address: "x", Domain: "a1", Region: "a", Strength: 1}}}})
	_, follows := c.leader()
	assert.Assert(t, !follows)
}

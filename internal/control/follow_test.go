package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// Checks that a host whose own entry is not known yet does not follow a host that ranks after
// it, which could follow it in turn.
func TestNoTwoHostsFollowEachOther(t *testing.T) {
	c := New(Config{Self: &relaypb.Host{Name: "host1", Domain: "a1", Region: "a", Strength: 1}})
	c.loaded = true
	c.state.current.Store(&View{Hosts: map[string][]Host{"a1": {{Name: "host2", Address: "x", Domain: "a1", Region: "a", Strength: 1}}}})
	_, follows := c.leader()
	assert.Assert(t, !follows)
}

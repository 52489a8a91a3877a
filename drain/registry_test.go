package drain_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/drain"
)

var start = time.Unix(1000, 0)

// A notice expires NoticeTTL after its last confirmation.
func TestFactExpiresUnlessConfirmed(t *testing.T) {
	r := drain.NewRegistry()
	notice := drain.Notice{Address: "a", Incarnation: 5, TTL: drain.NoticeTTL}
	assert.Assert(t, r.Add(notice, start))
	assert.Assert(t, !r.Add(notice, start.Add(time.Second)), "a repeated fact is not new")
	assert.Equal(t, len(r.Pending(start)), 1)
	assert.Equal(t, len(r.Pending(start.Add(6*time.Second))), 0, "the announcement time is over")
	r.Add(notice, start.Add(20*time.Second))
	assert.Equal(t, len(r.Pending(start.Add(21*time.Second))), 1, "a confirmation is announced")
	_, leaving := r.Leaving("a", start.Add(40*time.Second))
	assert.Assert(t, leaving)
	_, leaving = r.Leaving("a", start.Add(51*time.Second))
	assert.Assert(t, !leaving)
	assert.Assert(t, r.Expire(start.Add(51*time.Second)))
}

// A server that has restarted is not leaving.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	r := drain.NewRegistry()
	r.Add(drain.Notice{Address: "a", Incarnation: 5, TTL: drain.NoticeTTL}, start)
	assert.Assert(t, !r.Started("a", 5))
	assert.Assert(t, r.Started("a", 6))
	_, leaving := r.Leaving("a", start)
	assert.Assert(t, !leaving)
}

// Two hosts that announce a notice to each other do not keep extending its expiry.
func TestFactExchangedBetweenHostsExpires(t *testing.T) {
	a, b := drain.NewRegistry(), drain.NewRegistry()
	a.Add(drain.Notice{Address: "x", Incarnation: 1, TTL: drain.NoticeTTL}, start)
	now := start
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		for _, f := range a.Pending(now) {
			b.Add(f, now.Add(10*time.Millisecond))
		}
		for _, f := range b.Pending(now) {
			a.Add(f, now.Add(10*time.Millisecond))
		}
	}
	_, leaving := a.Leaving("x", start.Add(drain.NoticeTTL+2*time.Second))
	assert.Assert(t, !leaving)
}

func ExampleRegistry() {
	r := drain.NewRegistry()
	now := time.Unix(0, 0)
	r.Add(drain.Notice{Address: "10.0.0.1:7000", Incarnation: 1, TTL: drain.NoticeTTL}, now)
	_, leaving := r.Leaving("10.0.0.1:7000", now)
	fmt.Println(leaving)
	r.Started("10.0.0.1:7000", 2)
	_, leaving = r.Leaving("10.0.0.1:7000", now)
	fmt.Println(leaving)
	// Output:
	// true
	// false
}

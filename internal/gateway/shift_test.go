package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// normalServiceTime is the usual service time, slowServiceTime that of near servers for
	// slowPeriod.
	normalServiceTime = 8 * time.Millisecond
	slowServiceTime   = 45 * time.Millisecond
	slowPeriod        = 3 * time.Second
	// recoveryTime is the time after slowPeriod within which the near servers must be used again.
	recoveryTime = 3 * time.Second
)

// After all near servers were slow for a while, hosts must call them again within seconds and get
// all parts of their queries.
func TestSlowSpellIsForgotten(t *testing.T) {
	c := shardedConfig(1, 4)
	c.Routes[0].Objective = 100 * time.Millisecond
	withCluster(t, c, serversOf(shardNames(4), "a1", "b1", "c1"), everyRegion, func(cl *cluster) {
		all := serversOf(shardNames(4), "a1", "b1", "c1")
		setNearServiceTime := func(near time.Duration) {
			for _, s := range all {
				took := normalServiceTime
				if s.Domain == "a1" {
					took = near
				}
				cl.backends.set(s.ID, serve(s.ID, took))
			}
		}
		ask := func(duration time.Duration) (incomplete int) {
			answers, _ := cl.queryAtRate([]string{"host1", "host2"}, duration, 8)
			for _, a := range answers {
				if a.Outcome != Gathered || a.Gathered.Missing > 0 {
					incomplete++
				}
			}
			return incomplete
		}
		setNearServiceTime(normalServiceTime)
		assert.Equal(t, ask(2*time.Second), 0)
		setNearServiceTime(slowServiceTime)
		ask(slowPeriod)
		setNearServiceTime(normalServiceTime)
		ask(recoveryTime)
		before := cl.backends.arrivals("shard0@a1")
		assert.Equal(t, ask(5*time.Second), 0, "queries lack parts although all servers are fast")
		assert.Assert(t, cl.backends.arrivals("shard0@a1")-before > 20, "the near server got %d of 40 requests", cl.backends.arrivals("shard0@a1")-before)
	})
}

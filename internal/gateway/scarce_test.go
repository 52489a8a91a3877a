package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

// scarceConfig returns a configuration with a query over 20 shards of which an answer may lack two.
func scarceConfig() route.Config {
	c := shardedConfig(1, 20)
	q := &c.Routes[0]
	q.Objective, q.Timeout = 300*time.Millisecond, 2*time.Second
	q.Query.MinShare = 0.9
	return c
}

// slowShards sets queueing servers for all shards; those of the first slow shards take eight times
// as long.
func (cl *cluster) slowShards(shards, slow int, domains ...string) {
	for _, s := range serversOf(shardNames(shards), domains...) {
		server := newBusyServer(s.ID)
		for i := range slow {
			if s.Service == fmt.Sprint("shard", i) {
				server.serviceTime = 8 * shardServiceTime
			}
		}
		cl.backends.set(s.ID, server.serve)
	}
}

// Three of 20 shards have only slow servers, which can serve one of the three to each query, and an
// answer may lack two. If queries asked all three, the queues would fill and most would be late.
func TestQueriesThatNeedOneScarceShardDoNotTakeAll(t *testing.T) {
	hosts := append(hostsIn("a", 2, "a1", "a"), hostsIn("b", 2, "b1", "b")...)
	withCluster(t, scarceConfig(), serversOf(shardNames(20), "a1", "b1"), hosts, func(cl *cluster) {
		cl.slowShards(20, 0, "a1", "b1")
		cl.steadyQueries([]string{"a0", "a1", "b0", "b1"}, 2*time.Second, 40)
		cl.slowShards(20, 3, "a1", "b1")
		cl.steadyQueries([]string{"a0", "a1", "b0", "b1"}, 3*time.Second, 40) // The hosts learn which servers are slow.
		s := cl.steadyQueries([]string{"a0", "a1", "b0", "b1"}, 5*time.Second, 40)
		t.Logf("%+v", *s)
		assert.Assert(t, s.inTime > s.sent*7/10, "%d of %d in time", s.inTime, s.sent)
		assert.Equal(t, s.other, 0)
	})
}

// steadyQueries sends queries to the hosts in turn at a steady rate and counts their outcomes.
func (cl *cluster) steadyQueries(hosts []string, duration time.Duration, perSecond int) *outcomeCounts {
	s := &outcomeCounts{}
	answers, took := cl.queryAtRate(hosts, duration, perSecond)
	for i, a := range answers {
		s.add(a, took[i], 300*time.Millisecond)
	}
	return s
}

// queryAtRate sends queries to the hosts in turn at a steady rate and returns the answers and their
// latencies.
func (cl *cluster) queryAtRate(hosts []string, duration time.Duration, perSecond int) (answers []Answer, took []time.Duration) {
	type completed struct {
		answer Answer
		took   time.Duration
	}
	n := int(duration.Seconds() * float64(perSecond))
	completions := make(chan completed, n)
	for i := range n {
		r := cl.newRequest("/q/x")
		r.Timeout = 2 * time.Second
		time.AfterFunc(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			r.Arrived = time.Now()
			a := cl.hosts[hosts[i%len(hosts)]].Serve(cl.ctx, r)
			completions <- completed{a, time.Since(r.Arrived)}
		})
	}
	for range n {
		c := <-completions
		answers, took = append(answers, c.answer), append(took, c.took)
	}
	return answers, took
}

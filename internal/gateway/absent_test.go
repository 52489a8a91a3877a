package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// connectionRefused refuses connections because nothing listens at the server's address.
func connectionRefused(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Reason: "nothing listens", Absent: true}
}

// setAll sets the behaviour of all servers of the shards.
func (cl *cluster) setAll(shards []string, b behaviour) {
	for _, shard := range shards {
		cl.backends.set(shard, b)
	}
}

// askRepeatedly sends the same query to a host, one per interval, and returns the answers and their
// latencies.
func (cl *cluster) askRepeatedly(host string, interval, duration time.Duration) (answers []Answer, took []time.Duration) {
	for range int(duration / interval) {
		began := time.Now()
		answers = append(answers, cl.ask(host, "/q/ordinary"))
		took = append(took, time.Since(began))
		time.Sleep(max(0, interval-time.Since(began)))
	}
	return answers, took
}

// A query that needs shards at whose servers nothing listens must be refused at once instead of
// waiting for its timeout, and must not keep connecting to them.
func TestQueryThatLacksServersIsRefusedAtOnce(t *testing.T) {
	servers := serversOf(shardNames(10), "a1", "c1")
	config := shardedConfig(1, 10)
	config.Routes[0].Query.MinShare = 0.89
	withCluster(t, config, servers, fourHosts, func(cl *cluster) {
		cl.setAll(shardNames(2), connectionRefused)
		cl.askRepeatedly("host1", 50*time.Millisecond, 300*time.Millisecond)
		before := cl.backends.arrivals("shard")
		answers, took := cl.askRepeatedly("host1", 50*time.Millisecond, 3*time.Second)
		for i, a := range answers {
			assert.Equal(t, a.Outcome, NotRun, "%+v", a)
			assert.Equal(t, a.Cause, CauseAbsent, "%+v", a)
			assert.Assert(t, a.RetryAfter >= minAbsentRetryAfter, "%v", a.RetryAfter)
			assert.Assert(t, took[i] <= 25*time.Millisecond, "%v", took[i])
		}
		tries := cl.backends.arrivals("shard") - before
		assert.Assert(t, tries <= 4*4*4, "%d connection attempts to four absent servers in 3 s", tries)
		assert.Equal(t, cl.backends.arrivals("shard5"), cl.backends.arrivals("shard9"), "the servers of other shards must not run queries that are refused")

		cl.setAll(shardNames(2), nil)
		restored := time.Now()
		for cl.ask("host1", "/q/ordinary").Outcome != Gathered {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(restored) <= 300*time.Millisecond, "%v", time.Since(restored))
	})
}

// Absent shards that an answer does not need must not delay or fail it.
func TestQueryThatCanDoWithoutSomeShardsIsServed(t *testing.T) {
	servers := serversOf(shardNames(10), "a1", "c1")
	withCluster(t, shardedConfig(1, 10), servers, fourHosts, func(cl *cluster) {
		cl.setAll(shardNames(2), connectionRefused)
		answers, _ := cl.askRepeatedly("host1", 50*time.Millisecond, time.Second)
		for _, a := range answers {
			assert.Equal(t, a.Outcome, Gathered, "%+v", a)
			assert.Equal(t, a.Gathered.Missing, 2)
		}
		cl.setAll(shardNames(2), nil)
		time.Sleep(500 * time.Millisecond)
		cl.askRepeatedly("host1", 50*time.Millisecond, time.Second)
		a := cl.ask("host1", "/q/ordinary")
		assert.Equal(t, a.Gathered.Missing, 0)
	})
}

// A request to a single service must be refused at once while its servers are absent, and served
// when they are back.
func TestSingleRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1", "c1"), fourHosts, func(cl *cluster) {
		cl.backends.set("single", connectionRefused)
		for _, path := range []string{"/one/x", "/once/x"} {
			cl.ask("host1", path)
			began := time.Now()
			a := cl.ask("host1", path)
			assert.Equal(t, a.Outcome, NotRun, "%+v", a)
			assert.Equal(t, a.Cause, CauseAbsent, "%+v", a)
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		cl.backends.set("single", nil)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, cl.ask("host1", "/once/x").Outcome, Forwarded)
	})
}

// The absence of a server and its return must be logged once each, however many requests are sent
// in between.
func TestLogTellsOfAbsentServersOnce(t *testing.T) {
	var log bytes.Buffer
	file := settingsOf(t, oneHost[0])
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), nil, func(cl *cluster) {
		cl.log = zerolog.New(zerolog.SyncWriter(&log))
		cl.start(file)
		time.Sleep(time.Second)
		cl.backends.set("single", connectionRefused)
		for range 20 {
			cl.ask("host1", "/one/x")
			time.Sleep(100 * time.Millisecond)
		}
		cl.backends.set("single", nil)
		time.Sleep(300 * time.Millisecond)
		for range 20 {
			assert.Equal(cl.t, cl.ask("host1", "/one/x").Outcome, Forwarded)
		}
	})
	assert.Equal(t, strings.Count(log.String(), `"server":"single@a1","service":"single","message":"nothing listens at the address of a server`), 1, log.String())
	assert.Equal(t, strings.Count(log.String(), `"message":"a server that was absent answers again"`), 1, log.String())
}

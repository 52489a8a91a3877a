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

// In an outage of the last servers of some shards queries that need them waited until their
// timeout, two seconds, and were told nothing: 174 of 252 callers within two seconds. All that time
// the connections to these servers were refused; 2,657 of 3,008 refused ones went to a server that
// had refused the same host less than 100 ms before. The lines of the queries name these shards in
// "missing_shards", with all servers of each, and "connection refused" in the notes of each try.

// gone refuses connections: nothing listens at the server's address.
func gone(context.Context, *Request) (*Reply, error) {
	return nil, &NotRunError{Reason: "nothing listens", Absent: true}
}

// setAll sets what the servers of shards do.
func (w *world) setAll(shards []string, b behaviour) {
	for _, shard := range shards {
		w.leafs.set(shard, b)
	}
}

// askEvery asks a host the same path at a rate for a time and returns the answers, and how long
// each took.
func (w *world) askEvery(host string, gap, length time.Duration) (answers []Answer, took []time.Duration) {
	for range int(length / gap) {
		began := time.Now()
		answers = append(answers, w.ask(host, "/q/ordinary"))
		took = append(took, time.Since(began))
		time.Sleep(max(0, gap-time.Since(began)))
	}
	return answers, took
}

func TestQueryThatLacksServersIsRefusedAtOnce(t *testing.T) {
	servers := serversOf(shardNames(10), "a1", "c1")
	config := shardedConfig(1, 10)
	config.Routes[0].Query.MinShare = 0.89
	inWorld(t, config, servers, mortalHosts, func(w *world) {
		w.setAll(shardNames(2), gone)
		w.askEvery("host1", 50*time.Millisecond, 300*time.Millisecond)
		before := w.leafs.arrivals("shard")
		answers, took := w.askEvery("host1", 50*time.Millisecond, 3*time.Second)
		for i, a := range answers {
			assert.Equal(t, a.Outcome, NotRun, "%+v", a)
			assert.Equal(t, a.Code, CodeAbsent, "%+v", a)
			assert.Assert(t, a.RetryAfter >= minAbsentRetryAfter, "%v", a.RetryAfter)
			assert.Assert(t, took[i] <= 25*time.Millisecond, "%v", took[i])
		}
		tries := w.leafs.arrivals("shard") - before
		assert.Assert(t, tries <= 4*4*4, "%d connections to four servers in 3 s", tries)
		assert.Equal(t, w.leafs.arrivals("shard5"), w.leafs.arrivals("shard9"), "the others are not asked for nothing")

		w.setAll(shardNames(2), nil)
		back := time.Now()
		for w.ask("host1", "/q/ordinary").Outcome != Gathered {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(back) <= 300*time.Millisecond, "%v", time.Since(back))
	})
}

// Where an answer does not need the shards whose servers are gone, they cost it nothing.
func TestQueryThatCanDoWithoutSomeShardsIsServed(t *testing.T) {
	servers := serversOf(shardNames(10), "a1", "c1")
	inWorld(t, shardedConfig(1, 10), servers, mortalHosts, func(w *world) {
		w.setAll(shardNames(2), gone)
		answers, _ := w.askEvery("host1", 50*time.Millisecond, time.Second)
		for _, a := range answers {
			assert.Equal(t, a.Outcome, Gathered, "%+v", a)
			assert.Equal(t, a.Gathered.Missing, 2)
		}
		w.setAll(shardNames(2), nil)
		time.Sleep(500 * time.Millisecond)
		w.askEvery("host1", 50*time.Millisecond, time.Second)
		a := w.ask("host1", "/q/ordinary")
		assert.Equal(t, a.Gathered.Missing, 0)
	})
}

// A single request is refused as soon as that is known, and served as soon as its server is back.
func TestSingleRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	inWorld(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1", "c1"), mortalHosts, func(w *world) {
		w.leafs.set("single", gone)
		for _, path := range []string{"/one/x", "/once/x"} {
			w.ask("host1", path)
			began := time.Now()
			a := w.ask("host1", path)
			assert.Equal(t, a.Outcome, NotRun, "%+v", a)
			assert.Equal(t, a.Code, CodeAbsent, "%+v", a)
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		w.leafs.set("single", nil)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, w.ask("host1", "/once/x").Outcome, Forwarded)
	})
}

// The log tells when nothing listens at the address of a server any more, and when it answers
// again: once each, however often it is asked in between.
func TestLogTellsOfAbsentServersOnce(t *testing.T) {
	var log bytes.Buffer
	file := settingsOf(t, oneHost[0])
	inWorld(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), nil, func(w *world) {
		w.log = zerolog.New(zerolog.SyncWriter(&log))
		w.start(file)
		time.Sleep(time.Second)
		w.leafs.set("single", gone)
		for range 20 {
			w.ask("host1", "/one/x")
			time.Sleep(100 * time.Millisecond)
		}
		w.leafs.set("single", nil)
		time.Sleep(300 * time.Millisecond)
		for range 20 {
			assert.Equal(w.t, w.ask("host1", "/one/x").Outcome, Forwarded)
		}
	})
	assert.Equal(t, strings.Count(log.String(), `"server":"single@a1","service":"single","message":"nothing listens at the address of a server`), 1, log.String())
	assert.Equal(t, strings.Count(log.String(), `"message":"a server that was absent answers again"`), 1, log.String())
}

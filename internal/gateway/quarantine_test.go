package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/internal/guard"
	"github.com/mallowgap/mallowgap/quarantine"
)

// withBarredRequest runs a test on a cluster that has just barred a request. It has four hosts, and
// servers of two shards and of a single service in three failure domains.
func withBarredRequest(t *testing.T, path string, run func(cl *cluster, cs *crashingServers)) {
	servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "b1", "c1")
	for i := range servers {
		servers[i].Version = "1"
	}
	withCluster(t, shardedConfig(1, 2), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cl.askUntilBarred(fourHostNames, path)
		time.Sleep(time.Second)
		run(cl, cs)
	})
}

// askUntilBarred sends a request to the hosts in turn until it is barred. With few shards a single
// query does not reach a second trial.
func (cl *cluster) askUntilBarred(hosts []string, path string) {
	cl.t.Helper()
	for i := range 12 {
		a := cl.ask(hosts[i%len(hosts)], path)
		if a.Outcome == NotRun && a.Cause == CauseBarred {
			return
		}
		time.Sleep(time.Second / 2)
	}
	cl.t.Fatal("the request was never barred")
}

// settingsOfAll loads the settings of several hosts; files must be read before fake time begins.
func settingsOfAll(t *testing.T, hosts []hostSpec) []*settingspb.Gateway {
	var files []*settingspb.Gateway
	for _, h := range hosts {
		files = append(files, settingsOf(t, h))
	}
	return files
}

// assertBarred checks that a host refuses a request at once as barred, with a time to retry.
func (cl *cluster) assertBarred(host, path string) {
	cl.t.Helper()
	began := time.Now()
	a := cl.ask(host, path)
	assert.Equal(cl.t, a.Outcome, NotRun, "%s at %s: %+v", path, host, a)
	assert.Equal(cl.t, a.Cause, CauseBarred)
	assert.Equal(cl.t, a.RetryAfter, barredRetryAfter)
	assert.Equal(cl.t, time.Since(began), time.Duration(0))
}

// Queries, idempotent requests and requests that may run only once must all be barred after a few
// crashes, whichever hosts they are sent to.
func TestEveryKindOfRequestIsBarred(t *testing.T) {
	for _, path := range []string{"/q/poison", "/one/poison", "/once/poison"} {
		t.Run(path, func(t *testing.T) {
			withBarredRequest(t, path, func(cl *cluster, cs *crashingServers) {
				crashes := cs.crashCount()
				for _, host := range fourHostNames {
					cl.assertBarred(host, path)
				}
				assert.Equal(cl.t, cs.crashCount(), crashes)
				assert.Assert(cl.t, crashes <= 5, "%d crashes", crashes)
			})
		})
	}
}

// A bar must survive the restart of all hosts and apply at a new host.
func TestBarOutlivesTheHosts(t *testing.T) {
	again := settingsOfAll(t, fourHosts)
	late := settingsOf(t, hostSpec{"late9", "a1", "a"})
	withBarredRequest(t, "/q/poison", func(cl *cluster, cs *crashingServers) {
		crashes := cs.crashCount()
		cl.start(late)
		time.Sleep(time.Second)
		cl.assertBarred("late9", "/q/poison")
		for _, g := range cl.hosts {
			g.stop()
			cl.peers.cutOff(g)
		}
		for _, file := range again {
			cl.peers.setCut(cl.start(file), false)
		}
		time.Sleep(2 * time.Second)
		for _, host := range fourHostNames {
			cl.assertBarred(host, "/q/poison")
		}
		assert.Equal(cl.t, cs.crashCount(), crashes)
	})
}

// A host that was cut off while the others barred a request must learn of the bar when it
// reconnects.
func TestHostThatWasCutOffLearnsOfTheBar(t *testing.T) {
	file := settingsOf(t, hostSpec{"host9", "c1", "c"})
	servers := serversOf([]string{"shard0", "shard1"}, "a1", "b1")
	withCluster(t, shardedConfig(1, 2), servers, fourHosts[:3], func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		store := &fakestore.Partitioned{Store: cl.store}
		g := cl.startOn(file, store)
		time.Sleep(time.Second)
		store.Cut.Store(true)
		cl.peers.setCut(g, true)
		cl.askUntilBarred([]string{"host1"}, "/q/poison")
		time.Sleep(5 * time.Second)
		store.Cut.Store(false)
		cl.peers.setCut(g, false)
		time.Sleep(propagationTime)
		crashes := cs.crashCount()
		cl.assertBarred("host9", "/q/poison")
		assert.Equal(cl.t, cs.crashCount(), crashes)
	})
}

// A bar determined during an outage of the store must be stored, and apply at all hosts,
// afterwards.
func TestBarWithoutTheStore(t *testing.T) {
	servers := serversOf(shardNames(2), "a1", "b1", "c1")
	withCluster(t, shardedConfig(1, 2), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cl.store.SetDown(true)
		cl.askUntilBarred([]string{"host1"}, "/q/poison")
		crashes := cs.crashCount()
		assert.Assert(cl.t, crashes <= 5, "%d crashes", crashes)
		time.Sleep(3 * time.Second)
		cl.assertBarred("host1", "/q/poison")
		cl.store.SetDown(false)
		time.Sleep(propagationTime)
		for _, host := range fourHostNames {
			cl.assertBarred(host, "/q/poison")
		}
		assert.Equal(cl.t, cs.crashCount(), crashes)
	})
}

// After its probation a barred request is tried by one host at one server. It stays barred if that
// server crashes, and is cleared at all hosts if the server serves it.
func TestBarredRequestIsTriedAgain(t *testing.T) {
	withBarredRequest(t, "/q/poison", func(cl *cluster, cs *crashingServers) {
		time.Sleep(barredRetryAfter)
		crashes := cs.crashCount()
		for range 3 {
			for _, host := range fourHostNames {
				go cl.ask(host, "/q/poison")
			}
			time.Sleep(time.Second)
		}
		assert.Equal(cl.t, cs.crashCount(), crashes+1, "one trial at one server must be made")
		cs.fix()
		time.Sleep(20 * barredRetryAfter)
		for _, host := range fourHostNames {
			go cl.ask(host, "/q/poison")
		}
		time.Sleep(time.Second)
		for _, host := range fourHostNames {
			a := cl.ask(host, "/q/poison")
			assert.Equal(cl.t, a.Outcome, Gathered, "%+v", a)
		}
		time.Sleep(time.Minute)
		assert.Equal(cl.t, len(cl.store.Names(relaypb.EntryKind_QUARANTINE)), 0)
	})
}

// A new version of the servers may fix the crash: a trial is due at once when all of them run it,
// but not before, as the others would still crash.
func TestNewVersionIsTried(t *testing.T) {
	withBarredRequest(t, "/q/poison", func(cl *cluster, cs *crashingServers) {
		time.Sleep(4 * time.Second)
		cs.fix()
		for _, shard := range []string{"shard0", "shard1"} {
			cl.assertBarred("host1", "/q/poison")
			for _, s := range serversOf([]string{shard}, "a1", "b1", "c1") {
				cl.store.RemoveServer(s.ID)
				s.ID, s.Version = s.ID+"-new", "2"
				cl.store.PutServer(s)
			}
			time.Sleep(time.Second)
		}
		assert.Equal(cl.t, cl.ask("host1", "/q/poison").Outcome, Gathered)
		time.Sleep(time.Second)
		assert.Equal(cl.t, cl.ask("host3", "/q/poison").Outcome, Gathered)
	})
}

// A relay must refuse a request that only it knows to be barred, and the calling host must apply
// that.
func TestRelayTurnsBarredRequestsAway(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "b1"), threeRegions[:2], func(cl *cluster) {
		f := cl.hosts["host1"].fingerprint(cl.newRequest("/q/poison"))
		relay := cl.hosts["host2"]
		relay.guard = guard.New("host2", discardRecords{}, zerolog.Nop())
		relay.guard.AddLocal(f, quarantine.Record{Servers: []string{"a", "b", "c"}, Crashes: 3, Trials: []string{"b", "c"}}, time.Now())
		a := cl.ask("host1", "/q/poison")
		assert.Equal(cl.t, a.Outcome, NotRun, "%+v", a)
		assert.Equal(cl.t, a.Cause, CauseBarred)
		assert.Equal(cl.t, cl.backends.arrivals("shard"), 0)
		assert.Equal(cl.t, cl.ask("host1", "/q/other").Outcome, Gathered)
	})
}

// discardRecords drops all quarantine records.
type discardRecords struct{}

func (discardRecords) PutRecord(string, []byte) {}
func (discardRecords) RemoveRecords([]string)   {}

// Calls in flight must be canceled when the host learns that their request is barred.
func TestInFlightCallsEndWhenTheRequestIsBarred(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(cl *cluster) {
		var stopped atomic.Int32
		for _, shard := range shardNames(2) {
			cl.backends.set(shard, func(ctx context.Context, _ *Request) (*Reply, error) {
				<-ctx.Done()
				stopped.Add(1)
				return nil, ctx.Err()
			})
		}
		answers := make(chan Answer, 1)
		go func() { answers <- cl.ask("host1", "/q/poison") }()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		f := cl.hosts["host1"].fingerprint(cl.newRequest("/q/poison"))
		value, err := proto.Marshal(&relaypb.QuarantineRecord{Servers: []string{"a", "b", "c"}, Ended: 3, TrialServers: []string{"b", "c"}})
		assert.NilError(cl.t, err)
		cl.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: quarantine.RecordKeyFor(f, "host7"), Value: value})
		a := <-answers
		assert.Equal(cl.t, a.Outcome, Failed, "servers may have run it: %+v", a)
		synctest.Wait()
		assert.Equal(cl.t, stopped.Load(), int32(2))
		assert.Assert(cl.t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	})
}

// An operator clears a request by removing its records from the store. Malformed records are
// ignored.
func TestOperatorClearsABarredRequest(t *testing.T) {
	withBarredRequest(t, "/q/poison", func(cl *cluster, cs *crashingServers) {
		cl.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: "odd", Value: []byte{1}})
		cl.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: quarantine.RecordKeyFor(quarantine.Fingerprint{}, "h"), Value: []byte{0xff}})
		cl.assertBarred("host2", "/q/poison")
		time.Sleep(4 * time.Second)
		cs.fix()
		for _, name := range cl.store.Names(relaypb.EntryKind_QUARANTINE) {
			cl.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: name, Removed: true})
		}
		time.Sleep(time.Second)
		for _, host := range fourHostNames {
			assert.Equal(cl.t, cl.ask(host, "/q/poison").Outcome, Gathered)
		}
	})
}

// A suspect request must be served within its timeout: a query waits only part of its time for the
// trial of another query, and a request to a single service does not wait.
func TestSuspectIsServedWithinItsTime(t *testing.T) {
	for path, timeout := range map[string]time.Duration{"/q/popular": 400 * time.Millisecond, "/one/popular": 300 * time.Millisecond, "/once/popular": 300 * time.Millisecond} {
		t.Run(path, func(t *testing.T) {
			servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "c1")
			withCluster(t, shardedConfig(1, 2), servers, fourHosts, func(cl *cluster) {
				r := cl.newRequest(path)
				r.Timeout = timeout
				g := cl.hosts["host1"]
				g.guard.AddLocal(g.fingerprint(r), quarantine.Record{Servers: []string{"a"}, Crashes: 1}, time.Now())
				a := g.Serve(cl.ctx, r)
				assert.Assert(cl.t, a.Outcome == Gathered || a.Outcome == Forwarded, "%+v", a)
			})
		})
	}
}

// A popular request that servers have just served must not be barred when its next few attempts all
// lose their servers to other causes, neither by the hosts that served it nor by one that starts
// later and knows only the store.
func TestServersLostInARowBarNoRequestThatWasJustServed(t *testing.T) {
	servers := serversOf([]string{"single"}, "a1", "b1", "c1")
	for i := range servers {
		servers[i].StartedAtMillis = 1
	}
	const late = "host5"
	lateSettings := settingsOf(t, hostSpec{late, "a1", "a"})
	withCluster(t, shardedConfig(1, 1), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cl.ask("host2", "/once/poison")
		time.Sleep(2 * crashDowntime)
		assert.Equal(t, cl.ask("host1", "/once/popular").Outcome, Forwarded)
		for range quarantine.MinCrashes {
			time.AfterFunc(leafServiceTime/2, func() {
				for _, s := range servers {
					cs.crash(s, "", time.Second)
				}
			})
			assert.Equal(t, cl.ask("host1", "/once/popular").Outcome, Failed)
			time.Sleep(2 * time.Second)
		}
		cl.start(lateSettings)
		time.Sleep(2 * time.Second)
		for _, host := range append([]string{late}, fourHostNames...) {
			a := cl.ask(host, "/once/popular")
			assert.Check(t, a.Outcome == Forwarded && a.Reply.OK(), "%s: %+v", host, a)
		}
	})
}

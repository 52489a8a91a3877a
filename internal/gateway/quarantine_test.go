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

// poisonWorld runs a test in a world in which a request has just been barred: servers of two
// shards and of a single service in three failure domains, and four hosts.
func poisonWorld(t *testing.T, path string, run func(w *world, m *mortals)) {
	servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "b1", "c1")
	for i := range servers {
		servers[i].Version = "1"
	}
	inWorld(t, shardedConfig(1, 2), servers, mortalHosts, func(w *world) {
		m := newMortals(w, servers)
		w.askUntilBarred(mortalNames, path)
		time.Sleep(time.Second)
		run(w, m)
	})
}

// askUntilBarred asks for a path at some hosts in turn until it is turned away there: with so few
// shards one query does not get as far as a second trial.
func (w *world) askUntilBarred(hosts []string, path string) {
	w.t.Helper()
	for i := range 12 {
		a := w.ask(hosts[i%len(hosts)], path)
		if a.Outcome == NotRun && a.Code == CodeBarred {
			return
		}
		time.Sleep(time.Second / 2)
	}
	w.t.Fatal("it is never barred")
}

// settingsOfWorld makes settings files before the fake time begins.
func settingsOfWorld(t *testing.T, hosts []hostSpec) []*settingspb.Gateway {
	var files []*settingspb.Gateway
	for _, h := range hosts {
		files = append(files, settingsOf(t, h))
	}
	return files
}

// refused checks that a host refuses a request at once, truly, and tells when to come back.
func (w *world) refused(host, path string) {
	w.t.Helper()
	began := time.Now()
	a := w.ask(host, path)
	assert.Equal(w.t, a.Outcome, NotRun, "%s at %s: %+v", path, host, a)
	assert.Equal(w.t, a.Code, CodeBarred)
	assert.Equal(w.t, a.RetryAfter, barredRetryAfter)
	assert.Equal(w.t, time.Since(began), time.Duration(0))
}

// Queries, single requests and those that may run once only are guarded alike. One that runs
// once only ends three servers in three attempts of its caller, at whichever hosts.
func TestEveryKindOfRequestIsBarred(t *testing.T) {
	for _, path := range []string{"/q/poison", "/one/poison", "/once/poison"} {
		t.Run(path, func(t *testing.T) {
			poisonWorld(t, path, func(w *world, m *mortals) {
				ended := m.count()
				for _, host := range mortalNames {
					w.refused(host, path)
				}
				assert.Equal(w.t, m.count(), ended)
				assert.Assert(w.t, ended <= 5, "%d servers ended", ended)
			})
		})
	}
}

// What is known outlives every host: those that were killed together, one that is new, and one
// that was cut off while the others learned it.
func TestBarOutlivesTheHosts(t *testing.T) {
	again := settingsOfWorld(t, mortalHosts)
	late := settingsOf(t, hostSpec{"late9", "a1", "a"})
	poisonWorld(t, "/q/poison", func(w *world, m *mortals) {
		ended := m.count()
		w.start(late)
		time.Sleep(time.Second)
		w.refused("late9", "/q/poison")
		for _, g := range w.hosts {
			g.stop()
			w.peers.cutOff(g)
		}
		for _, file := range again {
			w.peers.setCut(w.start(file), false)
		}
		time.Sleep(2 * time.Second)
		for _, host := range mortalNames {
			w.refused(host, "/q/poison")
		}
		assert.Equal(w.t, m.count(), ended)
	})
}

func TestHostThatWasCutOffLearnsOfTheBar(t *testing.T) {
	file := settingsOf(t, hostSpec{"host9", "c1", "c"})
	servers := serversOf([]string{"shard0", "shard1"}, "a1", "b1")
	inWorld(t, shardedConfig(1, 2), servers, mortalHosts[:3], func(w *world) {
		m := newMortals(w, servers)
		store := &fakestore.Parted{Store: w.store}
		g := w.startOn(file, store)
		time.Sleep(time.Second)
		store.Cut.Store(true)
		w.peers.setCut(g, true)
		w.askUntilBarred([]string{"host1"}, "/q/poison")
		time.Sleep(5 * time.Second)
		store.Cut.Store(false)
		w.peers.setCut(g, false)
		time.Sleep(newsTime)
		ended := m.count()
		w.refused("host9", "/q/poison")
		assert.Equal(w.t, m.count(), ended)
	})
}

// While the store is away each host finds out for itself, and tells when it is back.
func TestBarWithoutTheStore(t *testing.T) {
	servers := serversOf(shardNames(2), "a1", "b1", "c1")
	inWorld(t, shardedConfig(1, 2), servers, mortalHosts, func(w *world) {
		m := newMortals(w, servers)
		w.store.SetDown(true)
		w.askUntilBarred([]string{"host1"}, "/q/poison")
		ended := m.count()
		assert.Assert(w.t, ended <= 5, "%d servers ended", ended)
		time.Sleep(3 * time.Second)
		w.refused("host1", "/q/poison")
		w.store.SetDown(false)
		time.Sleep(newsTime)
		for _, host := range mortalNames {
			w.refused(host, "/q/poison")
		}
		assert.Equal(w.t, m.count(), ended)
	})
}

// A barred request is tried again after its probation by one host of all, at one server; it
// stays barred where that ends too, and is free everywhere where that serves it.
func TestBarredRequestIsTriedAgain(t *testing.T) {
	poisonWorld(t, "/q/poison", func(w *world, m *mortals) {
		time.Sleep(barredRetryAfter)
		ended := m.count()
		for range 3 {
			for _, host := range mortalNames {
				go w.ask(host, "/q/poison")
			}
			time.Sleep(time.Second)
		}
		assert.Equal(w.t, m.count(), ended+1, "one trial at one server")
		m.mend()
		time.Sleep(20 * barredRetryAfter)
		for _, host := range mortalNames {
			go w.ask(host, "/q/poison")
		}
		time.Sleep(time.Second)
		for _, host := range mortalNames {
			a := w.ask(host, "/q/poison")
			assert.Equal(w.t, a.Outcome, Gathered, "%+v", a)
		}
		time.Sleep(time.Minute)
		assert.Equal(w.t, len(w.store.Names(relaypb.EntryKind_QUARANTINE)), 0)
	})
}

// A new version of the servers may be the cure: one trial is made without a wait, once all
// servers have it. A part of them is not enough, as the others would end again.
func TestNewVersionIsTried(t *testing.T) {
	poisonWorld(t, "/q/poison", func(w *world, m *mortals) {
		time.Sleep(4 * time.Second)
		m.mend()
		for _, shard := range []string{"shard0", "shard1"} {
			w.refused("host1", "/q/poison")
			for _, s := range serversOf([]string{shard}, "a1", "b1", "c1") {
				w.store.RemoveServer(s.ID)
				s.ID, s.Version = s.ID+"-new", "2"
				w.store.PutServer(s)
			}
			time.Sleep(time.Second)
		}
		assert.Equal(w.t, w.ask("host1", "/q/poison").Outcome, Gathered)
		time.Sleep(time.Second)
		assert.Equal(w.t, w.ask("host3", "/q/poison").Outcome, Gathered)
	})
}

// A relay that knows better turns a barred request away, and the host that asked it learns so.
func TestRelayTurnsBarredRequestsAway(t *testing.T) {
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "b1"), threeRegions[:2], func(w *world) {
		f := fingerprint(w.newRequest("/q/poison"))
		relay := w.hosts["host2"]
		relay.guard = guard.New("host2", nobody{}, zerolog.Nop())
		relay.guard.Note(f, quarantine.Record{Servers: []string{"a", "b", "c"}, Ended: 3, Trials: []string{"b", "c"}}, time.Now())
		a := w.ask("host1", "/q/poison")
		assert.Equal(w.t, a.Outcome, NotRun, "%+v", a)
		assert.Equal(w.t, a.Code, CodeBarred)
		assert.Equal(w.t, w.leafs.arrivals("shard"), 0)
		assert.Equal(w.t, w.ask("host1", "/q/other").Outcome, Gathered)
	})
}

// nobody keeps no record.
type nobody struct{}

func (nobody) PutRecord(string, []byte) {}
func (nobody) RemoveRecords([]string)   {}

// Calls that are under way when a host learns that their request is barred end at once.
func TestCallsUnderWayEndWithTheNews(t *testing.T) {
	inWorld(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), oneHost, func(w *world) {
		var stopped atomic.Int32
		for _, shard := range shardNames(2) {
			w.leafs.set(shard, func(ctx context.Context, _ *Request) (*Reply, error) {
				<-ctx.Done()
				stopped.Add(1)
				return nil, ctx.Err()
			})
		}
		answers := make(chan Answer, 1)
		go func() { answers <- w.ask("host1", "/q/poison") }()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		f := fingerprint(w.newRequest("/q/poison"))
		value, err := proto.Marshal(&relaypb.QuarantineRecord{Servers: []string{"a", "b", "c"}, Ended: 3, TrialServers: []string{"b", "c"}})
		assert.NilError(w.t, err)
		w.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: quarantine.RecordName(f, "host7"), Value: value})
		a := <-answers
		assert.Equal(w.t, a.Outcome, Failed, "servers have it: %+v", a)
		synctest.Wait()
		assert.Equal(w.t, stopped.Load(), int32(2))
		assert.Assert(w.t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	})
}

// An operator clears a request by removing what the store has on it; entries that cannot be
// read are left out.
func TestClearedByHand(t *testing.T) {
	poisonWorld(t, "/q/poison", func(w *world, m *mortals) {
		w.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: "odd", Value: []byte{1}})
		w.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: quarantine.RecordName(quarantine.Fingerprint{}, "h"), Value: []byte{0xff}})
		w.refused("host2", "/q/poison")
		time.Sleep(4 * time.Second)
		m.mend()
		for _, name := range w.store.Names(relaypb.EntryKind_QUARANTINE) {
			w.store.Apply(control.Entry{Kind: relaypb.EntryKind_QUARANTINE, Name: name, Removed: true})
		}
		time.Sleep(time.Second)
		for _, host := range mortalNames {
			assert.Equal(w.t, w.ask(host, "/q/poison").Outcome, Gathered)
		}
	})
}

// An innocent request that all callers repeat is suspected again and again while servers end beside
// it. A query of it awaits the verdict of another's trial, but not for all of its time, and a single
// request, which goes to one server at a time in any case, not at all. Both were refused in the end:
// two of fifty runs of the soak show "an ordinary request is turned away as one that ends servers",
// with the cause "suspect" and a line of its fingerprint each few hundred milliseconds.
func TestSuspectIsServedWithinItsTime(t *testing.T) {
	for path, timeout := range map[string]time.Duration{"/q/popular": 400 * time.Millisecond, "/one/popular": 300 * time.Millisecond, "/once/popular": 300 * time.Millisecond} {
		t.Run(path, func(t *testing.T) {
			servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "c1")
			inWorld(t, shardedConfig(1, 2), servers, mortalHosts, func(w *world) {
				r := w.newRequest(path)
				r.Timeout = timeout
				g := w.hosts["host1"]
				g.guard.Note(fingerprint(r), quarantine.Record{Servers: []string{"a"}, Ended: 1}, time.Now())
				a := g.Serve(w.ctx, r)
				assert.Assert(w.t, a.Outcome == Gathered || a.Outcome == Forwarded, "%+v", a)
			})
		})
	}
}

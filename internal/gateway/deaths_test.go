package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/quarantine"
)

// The tests in this file send requests that crash every server that runs them (query of death).

const (
	// crashDowntime is how long a server is down after a crash. Its store entry expires after
	// entryTTL.
	crashDowntime = 3 * time.Second
	entryTTL      = 1200 * time.Millisecond
	// registrationDelay is the time from the start of a server until it is in the store.
	registrationDelay = 300 * time.Millisecond
	// propagationTime is the time within which all hosts must know what one of them has learned.
	propagationTime = 4 * time.Second
)

// crashingServers are servers that crash when they run a request whose target contains "poison".
type crashingServers struct {
	cl *cluster
	mu sync.Mutex
	// crashed holds for each server a channel that is closed when it crashes; down reports that it
	// has not restarted yet.
	crashed map[string]chan struct{}
	down    map[string]bool
	// crashes lists the crashes in order, with the request that caused each.
	crashes []arrival
	// poisonArrivals lists the poison requests that reached servers that were up.
	poisonArrivals []arrival
	// fixed reports that poison requests no longer crash servers.
	fixed bool
	// serviceTime returns how long a server runs a request.
	serviceTime func(discovery.Server) time.Duration
	// downtime is how long a server is down after a request crashed it.
	downtime time.Duration
	// crashesAfterCancel makes a server that runs a poison request crash even if the call is
	// canceled.
	crashesAfterCancel bool
}

// fix stops poison requests from crashing servers.
func (cs *crashingServers) fix() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.fixed = true
}

func newCrashingServers(cl *cluster, servers []discovery.Server) *crashingServers {
	cs := &crashingServers{cl: cl, downtime: crashDowntime, serviceTime: func(discovery.Server) time.Duration { return leafServiceTime }, crashed: map[string]chan struct{}{}, down: map[string]bool{}}
	for _, s := range servers {
		cs.crashed[s.ID] = make(chan struct{})
		cl.backends.set(s.ID, func(ctx context.Context, r *Request) (*Reply, error) { return cs.serve(ctx, s, r) })
	}
	return cs
}

var errConnectionReset = errors.New("connection reset by peer")

// serve implements behaviour.
func (cs *crashingServers) serve(ctx context.Context, s discovery.Server, r *Request) (*Reply, error) {
	cs.mu.Lock()
	crashed, down := cs.crashed[s.ID], cs.down[s.ID]
	poison := strings.Contains(r.Target, "poison") && !cs.fixed
	if poison && !down {
		cs.poisonArrivals = append(cs.poisonArrivals, arrival{time.Now(), r.ID})
	}
	cs.mu.Unlock()
	if down {
		return unreachable(ctx, r)
	}
	select {
	case <-time.After(cs.serviceTime(s)):
	case <-crashed:
		return nil, errConnectionReset
	case <-ctx.Done():
		if poison && cs.crashesAfterCancel {
			time.AfterFunc(cs.serviceTime(s), func() { cs.crash(s, r.ID, cs.downtime) })
		}
		return nil, ctx.Err()
	}
	if poison {
		cs.crash(s, r.ID, cs.downtime)
		return nil, errConnectionReset
	}
	return serve(s.ID, 0)(ctx, r)
}

// crash ends a server and all calls that it runs. The server restarts after the downtime.
func (cs *crashingServers) crash(s discovery.Server, request string, downtime time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.down[s.ID] {
		return
	}
	cs.down[s.ID] = true
	cs.crashes = append(cs.crashes, arrival{time.Now(), request})
	close(cs.crashed[s.ID])
	if downtime == 0 {
		cs.restart(s)
		return
	}
	cs.cl.backends.setExited(s.ID, true)
	time.AfterFunc(min(entryTTL, downtime), func() { cs.cl.store.RemoveServer(s.ID) })
	time.AfterFunc(downtime, func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.cl.backends.setExited(s.ID, false)
		cs.restart(s)
	})
}

// restart starts a crashed server; its entry follows after registrationDelay. cs.mu must be held.
func (cs *crashingServers) restart(s discovery.Server) {
	cs.crashed[s.ID], cs.down[s.ID] = make(chan struct{}), false
	s.StartedAtMillis = time.Now().UnixMilli()
	time.AfterFunc(registrationDelay, func() { cs.cl.store.PutServer(s) })
}

// lateArrivals returns the number of poison requests that reached servers more than propagationTime
// after the third crash.
func (cs *crashingServers) lateArrivals() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.crashes) < 3 {
		return 0
	}
	late := map[string]bool{}
	for _, a := range cs.poisonArrivals {
		if a.at.After(cs.crashes[2].at.Add(propagationTime)) {
			late[a.request] = true
		}
	}
	return len(late)
}

// crashCount returns the number of crashes.
func (cs *crashingServers) crashCount() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.crashes)
}

// mixedLoad sends poison requests and ordinary queries to the hosts in turn, each at its rate per
// second. It returns how many ordinary queries were served and how many were sent.
func (cl *cluster) mixedLoad(hosts []string, poison string, poisonRate, rate float64, duration time.Duration) (served, all int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sendAtRate := func(rate float64, ask func(i int)) {
		for i := range int(duration.Seconds() * rate) {
			wg.Add(1)
			time.AfterFunc(time.Duration(float64(i)*float64(time.Second)/rate), func() {
				defer wg.Done()
				ask(i)
			})
		}
	}
	send := func(i int, path string) Answer {
		mu.Lock()
		r := cl.newRequest(path)
		mu.Unlock()
		return cl.hosts[hosts[i%len(hosts)]].Serve(cl.ctx, r)
	}
	sendAtRate(poisonRate, func(i int) { send(i, poison) })
	sendAtRate(rate, func(i int) {
		a := send(i, fmt.Sprint("/q/ordinary", i))
		mu.Lock()
		defer mu.Unlock()
		all++
		if a.Outcome == Gathered {
			served++
		}
	})
	wg.Wait()
	return served, all
}

var fourHosts = []hostSpec{{"host1", "a1", "a"}, {"host2", "a2", "a"}, {"host3", "b1", "b"}, {"host4", "c1", "c"}}

var fourHostNames = []string{"host1", "host2", "host3", "host4"}

// A repeated query that crashes every server that runs it must be refused soon, so that it cannot
// take all servers down again and again and fail the ordinary queries.
func TestRequestThatEndsServersIsTurnedAway(t *testing.T) {
	for name, hosts := range map[string][]string{"everywhere": fourHostNames, "at one host": fourHostNames[:1]} {
		t.Run(name, func(t *testing.T) {
			servers := serversOf(shardNames(12), "a1", "b1", "c1")
			withCluster(t, shardedConfig(1, 12), servers, fourHosts, func(cl *cluster) {
				cs := newCrashingServers(cl, servers)
				served, all := cl.mixedLoad(hosts, "/q/poison", 2.5, 10, 24*time.Second)
				late := cs.lateArrivals()
				cl.t.Logf("%d crashes, %d of %d ordinary requests served, %d repeats arrived late", cs.crashCount(), served, all, late)
				assert.Check(cl.t, late <= 3, "%d repeats reached servers more than %v after the third crash", late, propagationTime)
				assert.Check(cl.t, float64(served) >= 0.95*float64(all), "%d of %d ordinary requests were served", served, all)
				assert.Check(cl.t, cs.crashCount() <= 3*12, "%d crashes", cs.crashCount())
			})
		})
	}
}

// A query under which some servers crash, and that none has served, must be canceled at the others
// before they crash too. The servers run it for 5 to 50 ms.
func TestQueryThatEndsServersIsTakenFromTheOthers(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	withCluster(t, shardedConfig(1, 20), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.serviceTime = func(s discovery.Server) time.Duration {
			h := fnv.New32()
			h.Write([]byte(s.ID))
			return 5*time.Millisecond + time.Duration(h.Sum32()%46)*time.Millisecond
		}
		served, all := cl.mixedLoad(fourHostNames, "/q/poison", 2.5, 10, 24*time.Second)
		cl.t.Logf("%d crashes, %d of %d ordinary requests served", cs.crashCount(), served, all)
		assert.Check(cl.t, cs.crashCount() <= 10, "%d crashes", cs.crashCount())
		assert.Check(cl.t, float64(served) >= 0.99*float64(all), "%d of %d ordinary requests were served", served, all)
	})
}

// A supervisor may restart servers so fast that they accept the next connection, and only their new
// store entries show the crash. The request must be barred nevertheless.
func TestServersThatAreBackAtOnceAreKnownToHaveEnded(t *testing.T) {
	servers := serversOf(shardNames(12), "a1", "b1", "c1")
	for i := range servers {
		servers[i].StartedAtMillis = 1
	}
	withCluster(t, shardedConfig(1, 12), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.downtime = 0
		served, all := cl.mixedLoad(fourHostNames, "/q/poison", 2.5, 10, 24*time.Second)
		cl.t.Logf("%d crashes, %d of %d ordinary requests served, %d repeats arrived late", cs.crashCount(), served, all, cs.lateArrivals())
		assert.Check(cl.t, cs.lateArrivals() <= 3)
		assert.Check(cl.t, cs.crashCount() <= 150, "%d crashes", cs.crashCount())
	})
}

// The crash of a server must be logged with the fingerprint of the request that it was running. A
// connection reset alone is not a crash.
func TestLogTellsWithWhichRequestAServerEnded(t *testing.T) {
	var log bytes.Buffer
	servers := serversOf([]string{"single"}, "a1")
	file := settingsOf(t, oneHost[0])
	withCluster(t, shardedConfig(1, 1), servers, nil, func(cl *cluster) {
		cl.log = zerolog.New(zerolog.SyncWriter(&log))
		cl.start(file)
		time.Sleep(time.Second)
		cl.backends.set("single", dropConnection)
		cl.ask("host1", "/one/reset")
		cl.backends.setExited("single@a1", true)
		cl.ask("host1", "/one/end")
	})
	want := quarantine.FingerprintOf(quarantine.Content{Method: "GET", Host: "desk.example", Target: "/one/end"})
	const attempts = 2
	assert.Equal(t, strings.Count(log.String(), `"message":"server ended with a request`), attempts, log.String())
	assert.Assert(t, strings.Contains(log.String(), `"fingerprint":"`+want.String()+`","server":"single@a1"`), log.String())
}

// repeatedLoad sends the same request of each route, at a rate per second, to all hosts in turn
// while fault runs. It returns how many requests were sent, were served, and were refused as
// barred.
func (cl *cluster) repeatedLoad(rate float64, duration time.Duration, fault func()) (all, served, barred int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(fault)
	for i := range int(rate * duration.Seconds()) {
		wg.Add(1)
		time.AfterFunc(time.Duration(float64(i)*float64(time.Second)/rate), func() {
			defer wg.Done()
			mu.Lock()
			r := cl.newRequest([]string{"/q/popular", "/q/popular", "/one/popular", "/once/popular"}[i%4])
			mu.Unlock()
			a := cl.hosts[fourHostNames[i%len(fourHostNames)]].Serve(cl.ctx, r)
			mu.Lock()
			defer mu.Unlock()
			all++
			if a.Outcome == Gathered || a.Outcome == Forwarded && a.Reply.OK() {
				served++
			}
			if a.Cause == CauseBarred {
				barred++
			}
		})
	}
	wg.Wait()
	return all, served, barred
}

// Requests that many callers repeat are often in flight when servers crash for other reasons. They
// must not be barred, because the remaining servers serve them on trial.
func TestUnrelatedCrashesBarNoRequest(t *testing.T) {
	const duration = 20 * time.Second
	servers := slices.Concat(serversOf(shardNames(12), "a1", "b1", "c1"), serversOf([]string{"single"}, "a1", "b1", "c1"))
	for i := range servers {
		servers[i].StartedAtMillis = 1
	}
	rng := rand.New(rand.NewPCG(32, 1))
	faults := map[string]func(cs *crashingServers){
		"no fault": func(*crashingServers) {},
		"failure domain lost every 4 s": func(cs *crashingServers) {
			for range 5 {
				for _, s := range servers {
					if s.Domain == "c1" {
						cs.crash(s, "", 3*time.Second)
					}
				}
				time.Sleep(4 * time.Second)
			}
		},
		"all servers lost every 4 s": func(cs *crashingServers) {
			for range 5 {
				for _, s := range servers {
					cs.crash(s, "", time.Second)
				}
				time.Sleep(4 * time.Second)
			}
		},
		"a fifth of the servers crash repeatedly": func(cs *crashingServers) {
			for range 40 {
				for _, s := range servers {
					if rng.IntN(5) == 0 {
						time.AfterFunc(time.Duration(rng.IntN(500))*time.Millisecond, func() { cs.crash(s, "", time.Second) })
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
		},
		"all servers crash and restart at once every 2 s": func(cs *crashingServers) {
			for range 10 {
				for _, s := range servers {
					cs.crash(s, "", 0)
				}
				time.Sleep(2 * time.Second)
			}
		},
		"a fifth of the servers crash repeatedly and restart at once": func(cs *crashingServers) {
			for range 40 {
				for _, s := range servers {
					if rng.IntN(5) == 0 {
						time.AfterFunc(time.Duration(rng.IntN(500))*time.Millisecond, func() { cs.crash(s, "", 0) })
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
		},
		"poison requests too": func(cs *crashingServers) {
			for range 50 {
				go cs.cl.ask("host1", "/q/poison")
				go cs.cl.ask("host3", "/one/poison")
				time.Sleep(400 * time.Millisecond)
			}
		},
	}
	for name, fault := range faults {
		for _, rate := range []float64{40, 120} {
			t.Run(fmt.Sprint(name, ", ", rate, " a second"), func(t *testing.T) {
				withCluster(t, shardedConfig(1, 12), servers, fourHosts, func(cl *cluster) {
					cs := newCrashingServers(cl, servers)
					all, served, barred := cl.repeatedLoad(rate, duration, func() { fault(cs) })
					cl.t.Logf("%d of %d served, %d refused as barred, %d crashes", served, all, barred, cs.crashCount())
					assert.Check(cl.t, barred == 0, "%d of %d refused as barred", barred, all)
				})
			})
		}
	}
}

// The first attempt of a poison query may crash one server of each shard, and every trial crashes
// the last server of another. A trial must wait for the query's other calls to end: until then it
// gives no evidence, and costs one more shard.
func TestTrialsLeaveShardsEnoughToServeOthers(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	config := shardedConfig(1, 20)
	config.Routes[0].Query.MinShare = 0.89
	withCluster(t, config, servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.crashesAfterCancel = true
		cs.serviceTime = func(s discovery.Server) time.Duration {
			h := fnv.New32()
			h.Write([]byte(s.ID))
			return 15*time.Millisecond + time.Duration(h.Sum32()%26)*time.Millisecond
		}
		cl.ask("host1", "/q/poison")
		served, all := cl.mixedLoad(fourHostNames, "/q/poison", 1, 20, 2*time.Second)
		cl.t.Logf("%d crashes, %d of %d ordinary requests served", cs.crashCount(), served, all)
		assert.Check(cl.t, cs.crashCount() <= 22, "%d crashes", cs.crashCount())
		assert.Check(cl.t, float64(served) >= 0.95*float64(all), "%d of %d ordinary requests were served", served, all)
	})
}

// A query must not be hedged before its first part arrives: a poison query that crashes servers
// more slowly than ordinary queries are hedged would otherwise crash both servers of each shard.
func TestQueryWithoutPartsIsNotHedgedEarly(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	config := shardedConfig(1, 20)
	config.Routes[0].Query.MinShare = 0.89
	withCluster(t, config, servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cl.mixedLoad(fourHostNames, "", 0, 20, 5*time.Second)
		cs.crashesAfterCancel = true
		cs.serviceTime = func(s discovery.Server) time.Duration {
			h := fnv.New32()
			h.Write([]byte(s.ID))
			return 30*time.Millisecond + time.Duration(h.Sum32()%26)*time.Millisecond
		}
		cl.ask("host1", "/q/poison")
		cs.serviceTime = func(discovery.Server) time.Duration { return leafServiceTime }
		served, all := cl.mixedLoad(fourHostNames, "/q/poison", 1, 20, 2*time.Second)
		cl.t.Logf("%d crashes, %d of %d ordinary requests served", cs.crashCount(), served, all)
		assert.Check(cl.t, cs.crashCount() <= 22, "%d crashes", cs.crashCount())
		assert.Check(cl.t, float64(served) >= 0.95*float64(all), "%d of %d ordinary requests were served", served, all)
	})
}

// A host must report crashes to the others before the trial of the request ends, or the same
// request at another host crashes the remaining servers meanwhile.
func TestSecondHostHearsBeforeTheTrialIsOver(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	withCluster(t, shardedConfig(1, 20), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.crashesAfterCancel = true
		began := time.Now()
		cs.serviceTime = func(s discovery.Server) time.Duration {
			if time.Since(began) > 50*time.Millisecond {
				return 120 * time.Millisecond
			}
			h := fnv.New32()
			h.Write([]byte(s.ID))
			return 30*time.Millisecond + time.Duration(h.Sum32()%26)*time.Millisecond
		}
		var wg sync.WaitGroup
		wg.Go(func() { cl.ask("host1", "/q/poison") })
		time.Sleep(150 * time.Millisecond)
		cl.ask("host4", "/q/poison")
		wg.Wait()
		cl.t.Logf("%d crashes", cs.crashCount())
		assert.Check(cl.t, cs.crashCount() <= 20+4, "%d crashes", cs.crashCount())
	})
}

// A query without any part must be hedged eventually, as all its servers, or the network to them,
// may have failed.
func TestQueryWithoutPartsIsHedgedLate(t *testing.T) {
	servers := serversOf(shardNames(4), "a1", "c1")
	withCluster(t, shardedConfig(1, 4), servers, fourHosts, func(cl *cluster) {
		cl.mixedLoad(fourHostNames, "", 0, 20, 5*time.Second)
		for _, s := range servers {
			if s.Domain == "a1" {
				cl.backends.set(s.ID, silent)
			}
		}
		a := cl.ask("host1", "/q/ordinary")
		assert.Equal(t, a.Outcome, Gathered)
		assert.Equal(t, a.Gathered.Missing, 0)
	})
}

// A host that learns of a suspect request must not start a trial of its own while another host's is
// in progress, because each trial may cost a shard its last server.
func TestHostThatWasToldLeavesTheTrialToTheOther(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	withCluster(t, shardedConfig(1, 20), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.crashesAfterCancel = true
		began := time.Now()
		cs.serviceTime = func(discovery.Server) time.Duration {
			if time.Since(began) > 50*time.Millisecond {
				return 70 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		var wg sync.WaitGroup
		wg.Go(func() { cl.ask("host1", "/q/poison") })
		time.Sleep(100 * time.Millisecond)
		for _, host := range fourHostNames[1:] {
			wg.Go(func() { cl.ask(host, "/q/poison") })
		}
		wg.Wait()
		assert.Check(cl.t, cs.crashCount() <= 22, "%d crashes", cs.crashCount())
	})
}

// A request that was suspected wrongly must not wait long at the other hosts: they learn when the
// host that reported it has had it served.
func TestInnocentRequestIsFreeAsSoonAsItIsServed(t *testing.T) {
	servers := serversOf(shardNames(6), "a1", "c1")
	withCluster(t, shardedConfig(1, 6), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		go cl.ask("host1", "/q/popular")
		time.Sleep(leafServiceTime / 2)
		for _, s := range servers {
			if s.Domain == "a1" {
				cs.crash(s, "", time.Second)
			}
		}
		var slowest time.Duration
		for range 10 {
			time.Sleep(20 * time.Millisecond)
			for _, host := range fourHostNames {
				began := time.Now()
				assert.Equal(t, cl.ask(host, "/q/popular").Outcome, Gathered)
				slowest = max(slowest, time.Since(began))
			}
		}
		cl.t.Logf("slowest answer after %v", slowest)
		assert.Check(cl.t, slowest <= 200*time.Millisecond, "slowest answer after %v", slowest)
	})
}

// During an outage of the store the hosts must report crashes to each other directly, or each of
// them detects the request anew at the cost of more servers.
func TestHostsWithoutTheStoreDoNotEachFindOut(t *testing.T) {
	servers := serversOf(shardNames(20), "a1", "c1")
	withCluster(t, shardedConfig(1, 20), servers, fourHosts, func(cl *cluster) {
		cs := newCrashingServers(cl, servers)
		cs.crashesAfterCancel = true
		cs.downtime = 20 * time.Second
		cs.serviceTime = func(discovery.Server) time.Duration { return 30 * time.Millisecond }
		cl.store.SetDown(true)
		time.Sleep(time.Second)
		for _, host := range fourHostNames {
			cl.ask(host, "/q/poison")
			time.Sleep(time.Second)
		}
		assert.Check(cl.t, cs.crashCount() <= 20+4, "%d crashes", cs.crashCount())
	})
}

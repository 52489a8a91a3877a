package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/fanout"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/team"
)

// The tests of this file guard one rule: a request that was read whole gets an answer or a refusal,
// whatever servers, relays and the configuration do meanwhile.

const (
	// answeredShards is the number of shards of the query.
	answeredShards = 4
	// answeredTimeout is the time that each caller has.
	answeredTimeout = time.Second
)

var (
	// answeredHosts are hosts of which some call the servers and others pass requests on.
	answeredHosts = []hostSpec{{"h0", "a1", "a"}, {"h1", "a1", "a"}, {"h2", "b1", "b"}, {"h3", "b1", "b"}}
	// answeredPaths are a query, and requests to one server that may and must not run twice.
	answeredPaths = []string{"/q/x", "/one/x", "/once/x"}
)

func answeredConfig(version uint64) route.Config {
	c := shardedConfig(version, answeredShards)
	c.Services[0].MaxConns = 5 // Too few connections for all hosts, so that some use a relay.
	return c
}

// answeredServers returns two servers of each shard, and eight of the service with few connections.
func answeredServers() []discovery.Server {
	servers := serversOf(append(shardNames(answeredShards), "single"), "a1", "b1")
	for i := range 3 {
		for _, s := range serversOf([]string{"single"}, "a1", "b1") {
			s.ID, s.Address = fmt.Sprint(s.ID, "-", i), fmt.Sprint(s.Address, "-", i)
			servers = append(servers, s)
		}
	}
	return servers
}

// withAnsweredCluster runs a test on a new cluster whose hosts know each other.
func withAnsweredCluster(t *testing.T, run func(cl *cluster)) {
	withCluster(t, answeredConfig(1), answeredServers(), answeredHosts, func(cl *cluster) {
		time.Sleep(2 * time.Second)
		run(cl)
	})
}

// servedRequest is a request and what became of it.
type servedRequest struct {
	host, path string
	answer     Answer
	took       time.Duration
	// panicked is the value of a panic while the request was served; nil if there was none.
	panicked any
}

// serveRecovered calls serve, which serves one request, and records a panic.
func serveRecovered(host, path string, serve func() Answer) (s servedRequest) {
	s.host, s.path = host, path
	began := time.Now()
	defer func() { s.panicked, s.took = recover(), time.Since(began) }()
	s.answer = serve()
	return s
}

// answered reports whether the request got in time, and without a panic, an answer or a refusal that
// can be written to the caller. callerLeft permits the answer that the caller has left.
func (s servedRequest) answered(callerLeft bool) bool {
	a := s.answer
	ok := s.panicked == nil && a.Cause != CausePanic && s.took <= answeredTimeout
	switch a.Outcome {
	case Forwarded:
		ok = ok && a.Reply != nil && a.Reply.Status >= http.StatusOK && a.Reply.Status <= 999
	case Gathered:
		ok = ok && len(a.Gathered.Signatures)+a.Gathered.Missing == answeredShards && len(a.Gathered.Records)%fanout.RecordSize == 0
	case NotRun, OverLimit:
		ok = ok && a.RetryAfter > 0
	case CallerLeft:
		ok = ok && callerLeft
	}
	return ok
}

// checkAnswered fails the test unless all requests were answered. It prints the first one that was not.
func (cl *cluster) checkAnswered(all []servedRequest, callerLeft bool) {
	cl.t.Helper()
	failed := slices.DeleteFunc(all, func(s servedRequest) bool { return s.answered(callerLeft) })
	if len(failed) > 0 {
		s := failed[0]
		cl.t.Errorf("%d requests without a valid answer, first %s at %s after %v: panic %v, answer %+v, reply %+v", len(failed), s.path, s.host, s.took, s.panicked, s.answer, s.answer.Reply)
	}
}

// askEverywhere sends each kind of request to each host at once, runs during, and returns what became
// of the requests.
func (cl *cluster) askEverywhere(ctx context.Context, during func()) []servedRequest {
	served := make(chan servedRequest)
	for _, h := range answeredHosts {
		for _, path := range answeredPaths {
			go func() { served <- serveRecovered(h.name, path, func() Answer { return cl.askCtx(ctx, h.name, path) }) }()
		}
	}
	during()
	var all []servedRequest
	for range len(answeredHosts) * len(answeredPaths) {
		all = append(all, <-served)
	}
	return all
}

// checkAnsweredEverywhere asks in a few rounds and checks each answer.
func (cl *cluster) checkAnsweredEverywhere(rounds int) {
	cl.t.Helper()
	for range rounds {
		cl.checkAnswered(cl.askEverywhere(cl.ctx, func() {}), false)
		time.Sleep(100 * time.Millisecond)
	}
}

// replyAfter replies after a delay, also if the call was canceled.
func replyAfter(status int, after time.Duration) behaviour {
	return func(_ context.Context, r *Request) (*Reply, error) {
		time.Sleep(after)
		return &Reply{Status: status, Body: []byte("record-000000001"), Signature: "s/" + r.ID}, nil
	}
}

// failAfter fails after a delay.
func failAfter(err error, after time.Duration) behaviour {
	return func(context.Context, *Request) (*Reply, error) {
		time.Sleep(after)
		return nil, err
	}
}

// firstThen behaves like one function at the first call for a request and like another one later.
func firstThen(cl *cluster, first, later behaviour) behaviour {
	return func(ctx context.Context, r *Request) (*Reply, error) {
		cl.backends.mu.Lock()
		calls := 0
		for _, arrivals := range cl.backends.requests {
			for _, a := range arrivals {
				if a.request == r.ID {
					calls++
				}
			}
		}
		cl.backends.mu.Unlock()
		if calls <= 1 {
			return first(ctx, r)
		}
		return later(ctx, r)
	}
}

// serverFailures are ways in which servers fail, by name.
var serverFailures = map[string]behaviour{
	"reply twice at the same moment":   answerAt(120 * time.Millisecond),
	"reply after the end":              replyAfter(http.StatusOK, 3*answeredTimeout/2),
	"reply at the end":                 replyAfter(http.StatusOK, answeredTimeout-endMargin),
	"reply late":                       replyAfter(http.StatusOK, 150*time.Millisecond),
	"fail late":                        replyAfter(http.StatusInternalServerError, 150*time.Millisecond),
	"fail with their reply":            replyAfter(http.StatusInternalServerError, leafServiceTime),
	"reject the request":               replyAfter(http.StatusNotFound, leafServiceTime),
	"refuse":                           shed,
	"refuse late":                      failAfter(&NotRunError{Refused: true, Reason: "full"}, 150*time.Millisecond),
	"cannot be reached":                unreachable,
	"cannot be reached within a while": failAfter(&NotRunError{Reason: "no connection"}, 150*time.Millisecond),
	"are absent":                       connectionRefused,
	"moved":                            failAfter(&NotRunError{Refused: true, Moved: true, Reason: "moved"}, leafServiceTime),
	"drop the connection":              dropConnection,
	"are silent":                       silent,
	"panic":                            panicking,
	"return neither reply nor error":   func(context.Context, *Request) (*Reply, error) { return nil, nil },
	"reply without a signature":        func(context.Context, *Request) (*Reply, error) { return &Reply{Status: http.StatusOK}, nil },
	"reply with half a record": func(_ context.Context, r *Request) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Body: []byte("record-000000001half"), Signature: "s/" + r.ID}, nil
	},
	"reply with an empty body": func(_ context.Context, r *Request) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Signature: "s/" + r.ID}, nil
	},
	"report an absurd load": func(_ context.Context, r *Request) (*Reply, error) {
		time.Sleep(leafServiceTime)
		load := Load{Known: true, Waiting: math.MaxInt32, Running: -1, Slowness: math.MaxFloat64, Unreadable: "x"}
		return &Reply{Status: http.StatusOK, Body: []byte("record-000000001"), Signature: "s/" + r.ID, Load: load}, nil
	},
}

// A request must be answered or refused in whatever way all of its servers fail, and also if only the
// first server that it is sent to does.
func TestRequestIsAnsweredHoweverServersFail(t *testing.T) {
	for name, behave := range serverFailures {
		t.Run(name, func(t *testing.T) {
			withAnsweredCluster(t, func(cl *cluster) {
				set := func(b behaviour) { cl.setAll(append(shardNames(answeredShards), "single"), b) }
				set(firstThen(cl, behave, serve("s", leafServiceTime)))
				cl.checkAnsweredEverywhere(5)
				set(behave)
				cl.checkAnsweredEverywhere(10)
				set(nil)
				time.Sleep(15 * time.Second)
				cl.checkAnsweredEverywhere(1)
			})
		})
	}
}

// A request whose servers crash while they run it, and their entries disappear, must be answered.
func TestRequestIsAnsweredWhenServersCrash(t *testing.T) {
	withAnsweredCluster(t, func(cl *cluster) {
		servers := answeredServers()
		for _, s := range servers {
			cl.backends.setExited(s.ID, true)
			cl.backends.set(s.ID, dropConnection)
		}
		cl.checkAnsweredEverywhere(5)
		for _, s := range servers {
			cl.store.RemoveServer(s.ID)
			cl.checkAnsweredEverywhere(1)
		}
		for _, s := range servers {
			cl.backends.setExited(s.ID, false)
			cl.backends.set(s.ID, nil)
			s.StartedAtMillis = 2e12
			cl.store.PutServer(s)
		}
		time.Sleep(time.Minute)
		cl.checkAnsweredEverywhere(1)
	})
}

// deliver passes a reply of a relay to the query.
type deliver func(*relaypb.GatherReply)

// rewritingPeers changes what relays do. gather calls the relay with next.
type rewritingPeers struct {
	PeerClient
	gather func(ctx context.Context, received deliver, next func(deliver) error) error
}

func (p *rewritingPeers) Gather(ctx context.Context, address string, m *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	return p.gather(ctx, received, func(r deliver) error { return p.PeerClient.Gather(ctx, address, m, r) })
}

// rewriting returns a relay whose replies are changed.
func rewriting(change func(*relaypb.GatherReply)) func(context.Context, deliver, func(deliver) error) error {
	return func(_ context.Context, received deliver, next func(deliver) error) error {
		return next(func(reply *relaypb.GatherReply) {
			change(reply)
			received(reply)
		})
	}
}

// rewritingResults returns a relay whose results of calls are changed.
func rewritingResults(change func(*relaypb.CallResult)) func(context.Context, deliver, func(deliver) error) error {
	return rewriting(func(reply *relaypb.GatherReply) {
		for _, r := range reply.Results {
			change(r)
		}
	})
}

var errCut = errors.New("the stream was cut")

// relayFailures are ways in which relays fail, by name.
var relayFailures = map[string]func(ctx context.Context, received deliver, next func(deliver) error) error{
	"an index that was not asked": rewritingResults(func(r *relaypb.CallResult) { r.Index += 1000 }),
	"the greatest index":          rewritingResults(func(r *relaypb.CallResult) { r.Index = math.MaxUint32 }),
	"one index for all results":   rewritingResults(func(r *relaypb.CallResult) { r.Index = 0 }),
	"each result twice": rewriting(func(reply *relaypb.GatherReply) {
		reply.Results = append(reply.Results, reply.Results...)
	}),
	"a result of a server that was not asked": rewriting(func(reply *relaypb.GatherReply) {
		reply.Results = append(reply.Results, &relaypb.CallResult{Index: uint32(len(reply.Results)) + 1, Signature: "s"})
	}),
	"no results":        rewriting(func(reply *relaypb.GatherReply) { reply.Results = nil }),
	"malformed packing": rewriting(func(reply *relaypb.GatherReply) { reply.PackedSignatures = []byte("no list") }),
	"an unknown outcome": rewritingResults(func(r *relaypb.CallResult) {
		r.Outcome = relaypb.Outcome(len(relaypb.Outcome_name))
	}),
	"parts without the reply":     rewritingResults(func(r *relaypb.CallResult) { r.Reply = nil }),
	"replies without a status":    rewritingResults(func(r *relaypb.CallResult) { r.Reply = &relaypb.ServerReply{} }),
	"replies of too high status":  rewritingResults(func(r *relaypb.CallResult) { r.Reply = &relaypb.ServerReply{Status: 1000} }),
	"replies that are not final":  rewritingResults(func(r *relaypb.CallResult) { r.Reply = &relaypb.ServerReply{Status: http.StatusContinue} }),
	"failures without a status":   rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.Reply = relaypb.Outcome_FAILED, &relaypb.ServerReply{} }),
	"failures without any reason": rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.Reply = relaypb.Outcome_FAILED, nil }),
	"crashes":                     rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.ServerEnded, r.Reply = relaypb.Outcome_FAILED, true, nil }),
	"lost connections":            rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.BrokeOff, r.Reply = relaypb.Outcome_FAILED, true, nil }),
	"requests that are barred":    rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.Barred = relaypb.Outcome_NOT_SENT, true }),
	"servers that are absent":     rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.Absent, r.Unreachable = relaypb.Outcome_NOT_SENT, true, true }),
	"waits without end":           rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.WaitUs = relaypb.Outcome_NOT_SENT, math.MaxUint64/2 }),
	"waits out of range":          rewritingResults(func(r *relaypb.CallResult) { r.Outcome, r.WaitUs = relaypb.Outcome_NOT_SENT, math.MaxUint64 }),
	"numbers out of range": rewritingResults(func(r *relaypb.CallResult) {
		r.ElapsedUs, r.Waiting, r.SlownessPercent = math.MaxUint64, math.MaxUint32, math.MaxUint32
	}),
	"a floor without records":   rewriting(func(reply *relaypb.GatherReply) { reply.Records, reply.Floor = nil, []byte("record-000000001") }),
	"a floor above all records": rewriting(func(reply *relaypb.GatherReply) { reply.Floor = []byte("zzzzzzzzzzzzzzzz") }),
	"a floor of another length": rewriting(func(reply *relaypb.GatherReply) { reply.Floor = []byte("z") }),
	"records of another length": rewriting(func(reply *relaypb.GatherReply) { reply.Records = append(reply.Records, 1, 2, 3) }),
	"slow servers that are unknown": rewriting(func(reply *relaypb.GatherReply) {
		reply.Slow, reply.Vouches = []*relaypb.SlowServer{{Id: "none"}}, true
	}),
	"an end without a reply": func(context.Context, deliver, func(deliver) error) error { return nil },
	"a connection that is refused": func(context.Context, deliver, func(deliver) error) error {
		return &peer.UnreachableError{Address: "x", Err: errCut}
	},
	"a stream that is cut at once": func(context.Context, deliver, func(deliver) error) error { return errCut },
	"a stream that is cut later": func(_ context.Context, _ deliver, next func(deliver) error) error {
		return errors.Join(next(func(*relaypb.GatherReply) {}), errCut)
	},
	"an end halfway": func(_ context.Context, received deliver, next func(deliver) error) error {
		return errors.Join(next(func(reply *relaypb.GatherReply) {
			reply.Results = reply.Results[:len(reply.Results)/2]
			received(reply)
		}), errCut)
	},
	"each reply twice": func(_ context.Context, received deliver, next func(deliver) error) error {
		return next(func(reply *relaypb.GatherReply) {
			received(reply)
			received(reply)
		})
	},
	"a reply after the query gave up": func(_ context.Context, received deliver, next func(deliver) error) error {
		time.Sleep(3 * answeredTimeout / 2)
		return next(received)
	},
	"a reply after the end of the call": func(ctx context.Context, received deliver, next func(deliver) error) error {
		return next(func(reply *relaypb.GatherReply) {
			<-ctx.Done()
			received(reply)
		})
	},
	"silence": func(ctx context.Context, _ deliver, _ func(deliver) error) error {
		<-ctx.Done()
		return ctx.Err()
	},
	"a panic": func(context.Context, deliver, func(deliver) error) error { panic("injected by the test") },
	"a panic between two replies": func(_ context.Context, received deliver, next func(deliver) error) error {
		return next(func(reply *relaypb.GatherReply) {
			received(reply)
			panic("injected by the test")
		})
	},
}

// A request must be answered or refused whatever relays reply.
func TestRequestIsAnsweredHoweverRelaysFail(t *testing.T) {
	for name, gather := range relayFailures {
		t.Run(name, func(t *testing.T) {
			withAnsweredCluster(t, func(cl *cluster) {
				for _, g := range cl.hosts {
					g.adapters.Peers = &rewritingPeers{cl.peers, gather}
				}
				cl.checkAnsweredEverywhere(5)
				set := func(b behaviour) { cl.setAll(append(shardNames(answeredShards), "single"), b) }
				set(answerAt(70 * time.Millisecond)) // Relays and servers reply at the same moment as hedges.
				cl.checkAnsweredEverywhere(5)
				set(shed)
				cl.checkAnsweredEverywhere(2)
				set(silent)
				cl.checkAnsweredEverywhere(1)
			})
		})
	}
}

// viewChanges are changes of what hosts know, by name. version is that of the new configuration.
var viewChanges = map[string]func(cl *cluster, version uint64){
	"routes are dropped": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		c.Routes = c.Routes[:1]
		c.Routes[0].Prefix = "/elsewhere/"
		cl.store.PutConfig(c)
	},
	"1,400 routes more": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		for i := range 1400 {
			r := c.Routes[i%3]
			r.Name, r.Host = fmt.Sprint("more", i), fmt.Sprint("more", i, ".example")
			c.Routes = append(c.Routes, r)
		}
		cl.store.PutConfig(c)
	},
	"shards are renamed": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		c.Routes[0].Query.Shards = []string{"new0", "new1", "shard2", "shard3"}
		c.Services = c.Services[:1]
		cl.store.PutConfig(c)
		for i, id := range []string{"shard0@a1", "shard1@b1"} {
			s := discovery.Server{ID: id, Service: fmt.Sprint("new", i), Address: id, Domain: id[len(id)-2:], Slots: 2}
			cl.store.PutServer(s)
		}
	},
	"times and attempts shrink": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Objective, c.Routes[i].MaxAttempts = time.Millisecond, 0, 1
		}
		cl.store.PutConfig(c)
	},
	"homes are elsewhere": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		for i := range c.Routes {
			c.Routes[i].HomeRegions = route.HomeRegions{"c"}
		}
		cl.store.PutConfig(c)
	},
	"keys become necessary": func(cl *cluster, version uint64) {
		c := answeredConfig(version)
		c.Teams = []team.Team{{Name: "red", Keys: []string{"secret"}}}
		cl.store.PutConfig(c)
	},
	"a service loses its servers": func(cl *cluster, _ uint64) {
		for _, s := range answeredServers() {
			if s.Service == "single" || s.Service == "shard0" {
				cl.store.RemoveServer(s.ID)
			}
		}
	},
	"all servers are gone": func(cl *cluster, _ uint64) {
		for _, s := range answeredServers() {
			cl.store.RemoveServer(s.ID)
		}
	},
	"all servers drain": func(cl *cluster, _ uint64) {
		for _, s := range answeredServers() {
			s.Draining = true
			cl.store.PutServer(s)
		}
	},
	"all servers are replaced": func(cl *cluster, _ uint64) {
		for _, s := range answeredServers() {
			s.StartedAtMillis, s.ColdDuration = 2e12, 5*time.Second
			cl.store.PutServer(s)
		}
	},
	"servers change service": func(cl *cluster, _ uint64) {
		for _, s := range serversOf(append(shardNames(answeredShards), "single"), "a1") {
			s.Service = "shard0"
			cl.store.PutServer(s)
		}
	},
	"domains are evacuated": func(cl *cluster, _ uint64) {
		cl.store.Evacuate("a1", true)
		cl.store.Evacuate("b1", true)
	},
	"a stop begins": func(cl *cluster, _ uint64) {
		for _, g := range cl.hosts {
			go g.BeginStop(cl.ctx)
		}
	},
	"machines were suspended": func(cl *cluster, _ uint64) {
		for _, h := range answeredHosts {
			cl.suspend(h.name, 300*time.Millisecond)
		}
	},
	"machines were suspended for long": func(cl *cluster, _ uint64) {
		for _, h := range answeredHosts {
			cl.suspend(h.name, time.Minute)
		}
	},
	"the store and all peers are lost": func(cl *cluster, _ uint64) {
		cl.store.SetDown(true)
		for _, g := range cl.hosts {
			cl.peers.cutOff(g)
		}
	},
	"the leases of hosts end": func(cl *cluster, _ uint64) { cl.store.EndLeases() },
}

// A request must be answered or refused if what its host knows changes at any moment of the request.
func TestRequestIsAnsweredHoweverTheViewChanges(t *testing.T) {
	for name, change := range viewChanges {
		t.Run(name, func(t *testing.T) {
			for _, at := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 85 * time.Millisecond, 120 * time.Millisecond} {
				withAnsweredCluster(t, func(cl *cluster) {
					cl.setAll(append(shardNames(answeredShards), "single"), answerAt(120*time.Millisecond))
					cl.checkAnswered(cl.askEverywhere(cl.ctx, func() {
						time.Sleep(at)
						change(cl, 2)
					}), false)
					cl.checkAnsweredEverywhere(1)
				})
			}
		})
	}
}

// A request must be answered or refused by the view under which it was matched if the view changes
// before it is admitted, and before it is sent.
func TestRequestIsAnsweredWhenTheViewChangesBeforeItsCalls(t *testing.T) {
	const changeTime = 50 * time.Millisecond // Hosts learn of a change within it.
	for name, change := range viewChanges {
		t.Run(name, func(t *testing.T) {
			for _, h := range answeredHosts[:2] {
				withAnsweredCluster(t, func(cl *cluster) {
					version := uint64(1)
					changeView := func() {
						version++
						change(cl, version)
						time.Sleep(changeTime)
					}
					for _, path := range answeredPaths {
						g := cl.hosts[h.name]
						afterMatch := func() Answer {
							r, v := cl.newRequest(path), g.control.View()
							entry, rejected := matchRoute(v, r)
							if entry == nil {
								return rejected
							}
							changeView()
							return g.serveRoute(cl.ctx, v, entry, r, &trace{})
						}
						afterAdmission := func() Answer {
							r, v := cl.newRequest(path), g.control.View()
							entry, rejected := matchRoute(v, r)
							if entry == nil {
								return rejected
							}
							q := g.newQuery(v, entry, 0, r, &trace{})
							if refused, ok := q.checkQuarantine(cl.ctx); !ok {
								return refused
							}
							if !q.enoughServers() {
								return q.noServersAnswer()
							}
							if refused, ok := q.admit(time.Now()); !ok {
								return refused
							}
							changeView()
							return q.finish(q.run(cl.ctx))
						}
						cl.checkAnswered([]servedRequest{serveRecovered(h.name, path, afterMatch)}, false)
						cl.checkAnswered([]servedRequest{serveRecovered(h.name, path, afterAdmission)}, false)
					}
				})
			}
		})
	}
}

// The end of a request's context, at any moment and whatever servers do, must end the request in time
// and without a panic.
func TestRequestEndsWhenItsContextEnds(t *testing.T) {
	for name, behave := range serverFailures {
		t.Run(name, func(t *testing.T) {
			withAnsweredCluster(t, func(cl *cluster) {
				cl.setAll(append(shardNames(answeredShards), "single"), behave)
				for _, at := range []time.Duration{0, time.Millisecond, leafServiceTime, 80 * time.Millisecond, 120 * time.Millisecond, 150 * time.Millisecond, answeredTimeout - endMargin} {
					ctx, cancel := context.WithCancel(cl.ctx)
					cl.checkAnswered(cl.askEverywhere(ctx, func() {
						time.Sleep(at)
						cancel()
					}), true)
				}
			})
		})
	}
}

// A request must be answered in mixes of failures: each server and each relay call fails in a way of
// its own while what hosts know changes a few times.
func TestRequestIsAnsweredInMixes(t *testing.T) {
	const mixes = 30
	servers, relays, changes := sortedNames(serverFailures), sortedNames(relayFailures), sortedNames(viewChanges)
	for seed := range uint64(mixes) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, seed))
			withAnsweredCluster(t, func(cl *cluster) {
				for _, s := range answeredServers() {
					if rng.IntN(3) > 0 {
						cl.backends.set(s.ID, serverFailures[servers[rng.IntN(len(servers))]])
					}
				}
				for _, h := range answeredHosts {
					if rng.IntN(2) > 0 {
						cl.hosts[h.name].adapters.Peers = &rewritingPeers{cl.peers, relayFailures[relays[rng.IntN(len(relays))]]}
					}
				}
				for version := range uint64(4) {
					change, at := viewChanges[changes[rng.IntN(len(changes))]], time.Duration(rng.IntN(200))*time.Millisecond
					cl.checkAnswered(cl.askEverywhere(cl.ctx, func() {
						time.Sleep(at)
						change(cl, version+2)
					}), false)
				}
			})
		})
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// A call must fail at once if its relay returns an outcome that this build does not know, as one of a
// later build may: handling it panicked, and the request waited until its timeout.
func TestUnknownOutcomeOfARelayFailsTheCall(t *testing.T) {
	withAnsweredCluster(t, func(cl *cluster) {
		for _, g := range cl.hosts {
			g.adapters.Peers = &rewritingPeers{cl.peers, relayFailures["an unknown outcome"]}
		}
		before, panics := cl.peers.gathers.Load(), obs.PanicsRecovered.Get()
		for _, s := range cl.askEverywhere(cl.ctx, func() {}) {
			assert.Assert(cl.t, s.answer.Outcome != TimedOut && s.took < answeredTimeout/2, "%s at %s after %v: %+v", s.path, s.host, s.took, s.answer)
		}
		assert.Assert(cl.t, cl.peers.gathers.Load() > before, "no request was relayed")
		assert.Equal(cl.t, obs.PanicsRecovered.Get(), panics)
	})
}

// A panic in a goroutine of a call must end only that call. It ended the process, with the connections
// of all callers, or left the call running until the request's timeout.
func TestPanicInAGoroutineOfACallEndsOnlyTheCall(t *testing.T) {
	hosts := threeRegions[:2]
	servers := append(serversOf([]string{"shard0", "shard1", "single"}, "b1"), serversOf([]string{"shard1"}, "a1")...)
	// breakGroup makes every use of the servers of a service by a host panic.
	breakGroup := func(cl *cluster, host, service string) {
		g := cl.hosts[host].fleet.group(service)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.set = nil
	}
	config := shardedConfig(1, 2)
	config.Services[0].MaxConns = 1 // host1 passes requests to one server on.
	for name, test := range map[string]struct {
		path    string
		arrange func(cl *cluster)
		want    Outcome
	}{
		"a relay takes a slot":        {"/q/x", func(cl *cluster) { breakGroup(cl, "host2", "shard0") }, Gathered},
		"a relay takes its only slot": {"/once/x", func(cl *cluster) { breakGroup(cl, "host2", "single") }, NotRun},
		"a relay's result is handled": {"/once/x", func(cl *cluster) {
			cl.hosts["host1"].adapters.Peers = &rewritingPeers{cl.peers, rewriting(func(*relaypb.GatherReply) { breakGroup(cl, "host1", "single") })}
		}, Failed},
		"a lost call of a relay is ended": {"/once/x", func(cl *cluster) {
			cl.hosts["host1"].adapters.Peers = &rewritingPeers{cl.peers, func(context.Context, deliver, func(deliver) error) error {
				breakGroup(cl, "host1", "single")
				return errCut
			}}
		}, Failed},
		"a call is counted": {"/q/x", func(cl *cluster) {
			counters := attemptCounters[firstAttempt]
			attemptCounters[firstAttempt] = nil
			cl.t.Cleanup(func() { attemptCounters[firstAttempt] = counters })
		}, Gathered},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, config, servers, hosts, func(cl *cluster) {
				time.Sleep(2 * time.Second)
				before := obs.PanicsRecovered.Get()
				test.arrange(cl)
				s := serveRecovered("host1", test.path, func() Answer { return cl.ask("host1", test.path) })
				assert.Assert(cl.t, s.panicked == nil && s.answer.Cause != CausePanic, "%+v", s)
				assert.Equal(cl.t, s.answer.Outcome, test.want, "%+v", s)
				assert.Assert(cl.t, obs.PanicsRecovered.Get() > before, "nothing panicked")
			})
		})
	}
}

// An answer must hold no records of a shard that it does not count. They came from relays that return
// the parts of several calls with a result that cannot be attributed to a call.
func TestRecordsOfUnattributedPartsAreDropped(t *testing.T) {
	for _, failure := range []string{"an index that was not asked", "one index for all results", "each result twice", "each reply twice"} {
		t.Run(failure, func(t *testing.T) {
			config := shardedConfig(1, answeredShards)
			config.Routes[0].Query.Top = 10
			withCluster(t, config, serversOf(shardNames(answeredShards), "b1"), threeRegions[:2], func(cl *cluster) {
				cl.hosts["host1"].adapters.Peers = &rewritingPeers{cl.peers, relayFailures[failure]}
				for range 5 {
					a := cl.ask("host1", "/q/x")
					records := len(a.Gathered.Records) / fanout.RecordSize
					assert.Equal(cl.t, records, len(a.Gathered.Signatures), "%+v: each shard has one record", a)
				}
			})
		})
	}
}

// A request that one server served must get that reply although the other server of a hedge fails after
// it, before the reply is sent.
func TestFailureAfterAReplyDoesNotReplaceIt(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1", "b1"), oneHost, func(cl *cluster) {
		g, r := cl.hosts["host1"], cl.newRequest("/one/")
		v := g.control.View()
		entry, _ := matchRoute(v, r)
		q := g.newQuery(v, entry, 0, r, &trace{})
		q.state.Sent(0, time.Time{})
		q.state.Sent(0, time.Time{})
		q.handleEvent(event{results: []result{{outcome: relaypb.Outcome_PART, signature: "s", reply: &Reply{Status: http.StatusOK}}}})
		q.handleEvent(event{results: []result{{outcome: relaypb.Outcome_FAILED, reply: &Reply{Status: http.StatusInternalServerError}}}})
		assert.Equal(cl.t, q.answer(time.Now()).Reply.Status, http.StatusOK)
	})
}

// A server that changes its service while calls to it are in flight must not share its slots with its
// former group, whose lock is another one: slots were lost or counted twice.
func TestServerThatChangesServiceStartsAnew(t *testing.T) {
	withCluster(t, shardedConfig(1, 2), serversOf([]string{"shard0", "shard1", "single"}, "a1"), oneHost, func(cl *cluster) {
		g := cl.hosts["host1"]
		cl.setAll(shardNames(2), silent)
		go cl.ask("host1", "/q/x")
		time.Sleep(leafServiceTime)
		before := g.fleet.server("shard0@a1")
		s := serversOf([]string{"shard0"}, "a1")[0]
		s.Service = "shard1"
		cl.store.PutServer(s)
		time.Sleep(100 * time.Millisecond)
		after := g.fleet.server("shard0@a1")
		assert.Assert(cl.t, after.leaf != before.leaf, "both services use the same slots")
		time.Sleep(2 * time.Second)
		for _, b := range []*backend{before, after} {
			group := g.fleet.group(b.Service)
			group.mu.Lock()
			assert.Equal(cl.t, b.leaf.Slots.InUse(), 0, b.Service)
			assert.Equal(cl.t, b.leaf.Leaving, b == before, b.Service)
			group.mu.Unlock()
		}
	})
}

// extremeConfigs are changes of a route to values at and beyond the limits of a configuration, by name.
var extremeConfigs = map[string]func(r *route.Route){
	"no attempts":                func(r *route.Route) { r.MaxAttempts = 0 },
	"one attempt":                func(r *route.Route) { r.MaxAttempts = 1 },
	"a thousand attempts":        func(r *route.Route) { r.MaxAttempts = 1000 },
	"attempts without end":       func(r *route.Route) { r.MaxAttempts = math.MaxInt64 / answeredShards / 2 },
	"negative attempts":          func(r *route.Route) { r.MaxAttempts = -1000 },
	"no objective":               func(r *route.Route) { r.Objective = 0 },
	"a tiny objective":           func(r *route.Route) { r.Objective = 1 },
	"a tiny timeout":             func(r *route.Route) { r.Timeout, r.Objective = 1, 0 },
	"no timeout":                 func(r *route.Route) { r.Timeout, r.Objective = 0, 0 },
	"a timeout without end":      func(r *route.Route) { r.Timeout, r.Objective = math.MaxInt64, 0 },
	"an objective without end":   func(r *route.Route) { r.Timeout, r.Objective = math.MaxInt64, math.MaxInt64 },
	"a priority without end":     func(r *route.Route) { r.Priority = math.MaxInt64 },
	"a negative priority":        func(r *route.Route) { r.Priority = -1 },
	"unknown homes":              func(r *route.Route) { r.HomeRegions = route.HomeRegions{"nowhere"} },
	"an odd name":                func(r *route.Route) { r.Name = "\"}\n\xff{" },
	"no records":                 ofQuery(func(q *route.Query) { q.Top = 0 }),
	"negative records":           ofQuery(func(q *route.Query) { q.Top = -1 }),
	"records without end":        ofQuery(func(q *route.Query) { q.Top = math.MaxInt64/fanout.RecordSize + 1 }),
	"more records than uint32":   ofQuery(func(q *route.Query) { q.Top = math.MaxUint32 + 1 }),
	"no shards":                  ofQuery(func(q *route.Query) { q.Shards = nil }),
	"a shard without servers":    ofQuery(func(q *route.Query) { q.Shards = append(slices.Clone(q.Shards), "none") }),
	"a shard twice":              ofQuery(func(q *route.Query) { q.Shards = []string{"shard0", "shard0"} }),
	"no share":                   ofQuery(func(q *route.Query) { q.MinShare = 0 }),
	"a negative share":           ofQuery(func(q *route.Query) { q.MinShare = -1 }),
	"a share above 1":            ofQuery(func(q *route.Query) { q.MinShare = 1.5 }),
	"a share that is no number":  ofQuery(func(q *route.Query) { q.MinShare = math.NaN() }),
	"targets without any weight": func(r *route.Route) { r.Targets = []route.Target{{Service: "single"}, {Service: "none"}} },
	"targets of infinite weight": func(r *route.Route) {
		r.Targets = []route.Target{{Service: "single", Weight: math.Inf(1)}, {Service: "none", Weight: math.Inf(1)}}
	},
}

// ofQuery returns a change of the query of a route.
func ofQuery(change func(*route.Query)) func(*route.Route) {
	return func(r *route.Route) {
		if r.Query != nil {
			change(r.Query)
		}
	}
}

// A request must be answered or refused under each configuration that is valid, whatever its numbers.
func TestRequestIsAnsweredUnderExtremeConfigurations(t *testing.T) {
	for name, change := range extremeConfigs {
		t.Run(name, func(t *testing.T) {
			withAnsweredCluster(t, func(cl *cluster) {
				c := answeredConfig(2)
				for i := range c.Routes {
					change(&c.Routes[i])
				}
				if c.Validate() != nil {
					return // No host puts it in force.
				}
				v := *cl.hosts["h0"].control.View()
				v.Table = route.NewTable(c)
				for range 5 {
					for _, path := range answeredPaths {
						s := serveRecovered("h0", path, func() Answer {
							r := cl.newRequest(path)
							entry, rejected := matchRoute(&v, r)
							if entry == nil {
								return rejected
							}
							return cl.hosts["h0"].serveRoute(cl.ctx, &v, entry, r, &trace{})
						})
						s.answer.Gathered.Missing = answeredShards - len(s.answer.Gathered.Signatures) // Their number differs here.
						cl.checkAnswered([]servedRequest{s}, false)
					}
				}
			})
		})
	}
}

// A request of a team with a limit must be answered or refused if its team, its key or its limit changes
// while it waits for the coordinator or runs.
func TestRequestIsAnsweredWhenItsTeamChanges(t *testing.T) {
	configOf := func(version uint64, teams ...team.Team) route.Config {
		c := answeredConfig(version)
		c.Teams = teams
		return c
	}
	red := team.Team{Name: "red", Keys: []string{"secret"}, Limit: quota.Limit{PerSecond: 20, Burst: 5}}
	other, limitless, unlimited, invalid := red, red, red, red
	other.Keys, limitless.Limit.PerSecond, unlimited.Limit, invalid.Limit = []string{"new"}, 1e-9, quota.Limit{}, quota.Limit{Invalid: true}
	for name, teams := range map[string][]team.Team{"gone": nil, "key": {other}, "limit of nothing": {limitless}, "no limit": {unlimited}, "invalid limit": {invalid}, "key of two teams": {red, {Name: "blue", Keys: red.Keys}}} {
		t.Run(name, func(t *testing.T) {
			for _, at := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 130 * time.Millisecond} {
				withCluster(t, configOf(1, red), answeredServers(), answeredHosts, func(cl *cluster) {
					time.Sleep(2 * time.Second)
					cl.setAll(append(shardNames(answeredShards), "single"), answerAt(120*time.Millisecond))
					served := make(chan servedRequest)
					for _, h := range answeredHosts {
						for _, path := range answeredPaths {
							go func() {
								served <- serveRecovered(h.name, path, func() Answer { return cl.askWith(h.name, path, "Bearer secret") })
							}()
						}
					}
					time.Sleep(at)
					cl.store.PutConfig(configOf(2, teams...))
					var all []servedRequest
					for range len(answeredHosts) * len(answeredPaths) {
						all = append(all, <-served)
					}
					cl.checkAnswered(all, false)
				})
			}
		})
	}
}

// A relay that tells a wait out of range must not be called again at once and without end: the wait
// overflowed to a time in the past.
func TestWaitOutOfRangeIsBounded(t *testing.T) {
	const enough = 100 // Calls of one request, each of which could follow the one before after 10 ms.
	servers := append(serversOf(shardNames(1), "b1"), serversOf([]string{"single"}, "a1")...)
	withCluster(t, shardedConfig(1, 1), servers, threeRegions[:2], func(cl *cluster) {
		for _, wait := range []uint64{math.MaxUint64, math.MaxUint64 / 2, math.MaxInt64 / 1000, math.MaxInt64/1000 + 1} {
			calls := 0
			cl.hosts["host1"].adapters.Peers = &rewritingPeers{cl.peers, func(_ context.Context, received deliver, _ func(deliver) error) error {
				if calls++; calls > enough {
					time.Sleep(leafServiceTime) // Otherwise the test would not end.
				}
				received(&relaypb.GatherReply{Last: true, Results: []*relaypb.CallResult{{Outcome: relaypb.Outcome_NOT_SENT, WaitUs: wait}}})
				return nil
			}}
			a := cl.ask("host1", "/q/x")
			assert.Equal(cl.t, a.Outcome, NotRun, "%+v", a)
			assert.Assert(cl.t, calls > 0 && calls <= enough, "%d calls with a wait of %d µs", calls, wait)
		}
	})
}

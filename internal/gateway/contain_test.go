package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/discovery"
	"github.com/mallowgap/mallowgap/internal/control/fakestore"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// panicking panics while the request is processed.
func panicking(context.Context, *Request) (*Reply, error) { panic("injected by the test") }

// A panic must end only the request, at this host and at a relay, and free its slots. If it ended
// the process, a caller that retries would end one host after the other.
func TestPanicEndsOnlyTheRequest(t *testing.T) {
	servers := serversOf([]string{"shard0", "shard1", "single"}, "a1", "b1")
	withCluster(t, shardedConfig(1, 2), servers, threeRegions[:2], func(cl *cluster) {
		for _, s := range servers {
			cl.backends.set(s.ID, panicking)
		}
		for range 200 {
			for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
				a := cl.ask("host1", path)
				assert.Assert(cl.t, a.Outcome == Failed || a.Outcome == TimedOut || a.Outcome == NotRun, "%+v", a)
			}
		}
		for _, s := range servers {
			cl.backends.set(s.ID, nil)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(cl.t, cl.ask("host1", "/q/x").Outcome, Gathered)
		assert.Equal(cl.t, cl.ask("host2", "/one/x").Outcome, Forwarded)
	})
}

// A panic while a peer's message is processed must fail only that call.
func TestPanicEndsOnlyThePeerCall(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"shard0"}, "a1"), oneHost, func(cl *cluster) {
		err := cl.hosts["host1"].Gather(&relaypb.GatherRequest{RequestId: []byte("r")}, nil)
		assert.ErrorContains(cl.t, err, "fault of the program")
	})
}

// panickingStore panics when the entry of one server is decoded.
type panickingStore struct{ *fakestore.Partitioned }

func (s panickingStore) DecodeServer(id string, value []byte) (discovery.Server, error) {
	if id == "panics" {
		panic("injected by the test")
	}
	return s.Partitioned.DecodeServer(id, value)
}

// A server entry whose decoding panics must be ignored.
func TestEntryWhoseDecodingPanicsIsIgnored(t *testing.T) {
	file := settingsOf(t, oneHost[0])
	withCluster(t, shardedConfig(1, 2), serversOf(shardNames(2), "a1"), nil, func(cl *cluster) {
		cl.startOn(file, panickingStore{&fakestore.Partitioned{Store: cl.store}})
		time.Sleep(time.Second)
		cl.store.PutRawServer("panics", []byte("x"))
		cl.store.PutConfig(shardedConfig(2, 2))
		time.Sleep(time.Second)
		assert.Equal(cl.t, cl.hosts["host1"].control.View().Table.Version(), uint64(2))
		assert.Equal(cl.t, cl.ask("host1", "/q/x").Outcome, Gathered)
	})
}

// setGate replaces the admission gate of a service and returns the old one. Requests panic if it is nil.
func (g *Gateway) setGate(service string, gate *admission.Gate) *admission.Gate {
	servers := g.fleet.group(service)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	old := servers.gate
	servers.gate = gate
	return old
}

// A panic while calls are in flight must be answered as possibly run, end the calls, and be told by
// the log and the counters from the identifier of the request alone.
func TestPanicAfterARequestWasSentIsAnswered(t *testing.T) {
	withCluster(t, shardedConfig(7, 2), serversOf(shardNames(2), "a1"), oneHost, func(cl *cluster) {
		var log strings.Builder
		g := cl.hosts["host1"]
		g.requestLog = newRequestLog(zerolog.New(zerolog.SyncWriter(&log)), 1000)
		gate := g.fleet.group("shard0").gate
		ended := make(chan struct{}, 1)
		cl.backends.set("shard0", func(ctx context.Context, r *Request) (*Reply, error) {
			g.setGate("shard0", nil)
			reply, err := serve("shard0", leafServiceTime)(ctx, r)
			reply.Load = Load{Known: true}
			return reply, err
		})
		cl.backends.set("shard1", func(ctx context.Context, r *Request) (*Reply, error) {
			defer func() { ended <- struct{}{} }()
			return silent(ctx, r)
		})
		panics := obs.PanicsRecovered.Get()
		r := cl.newRequest("/q/x")
		a := g.Serve(cl.ctx, r)
		assert.Assert(t, a.Outcome == Failed && a.Cause == CausePanic && a.RetryAfter == 0, "%+v", a)
		assert.Assert(t, strings.Contains(a.Reason, "fault of the program"), a.Reason)
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(ended), 1, "the call in flight must be cancelled")
		assert.Equal(t, g.InFlight(), 0)
		assert.Equal(t, obs.PanicsRecovered.Get(), panics+1)
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		assert.Equal(t, len(lines), 2, log.String())
		for line, wants := range map[string][]string{
			lines[0]: {`"stack":"goroutine`, `"fault":"runtime error`, `"route":"query"`},
			lines[1]: {`"message":"request"`, `"outcome":"failed"`, `"cause":"panic"`, "runtime error", "shard0@a1"},
		} {
			for _, want := range append(wants, fmt.Sprintf(`"request":%q`, r.ID), `"version":7`) {
				assert.Check(t, strings.Contains(line, want), "%s is not in %s", want, line)
			}
		}
		g.setGate("shard0", gate)
		cl.backends.set("shard0", nil)
		cl.backends.set("shard1", nil)
		assert.Equal(t, cl.ask("host1", "/q/x").Outcome, Gathered)
	})
}

// A panic before a request was sent must be answered as not run, and give the request back to the
// limit of its team.
func TestPanicBeforeARequestWasSentIsAnswered(t *testing.T) {
	config := limitedConfig()
	config.Teams[0].Limit.PerSecond = 1
	withQuotas(t, config, func(cl *cluster) {
		time.Sleep(40 * time.Second)
		gate := cl.hosts["h1"].setGate("single", nil)
		for range 2 * int(redLimit.Burst) {
			a := cl.askWith("h1", "/one/", "Bearer red-secret")
			assert.Assert(t, a.Outcome == NotRun && a.Cause == CausePanic && a.RetryAfter > 0, "%+v", a)
		}
		assert.Equal(t, cl.hosts["h1"].InFlight(), 0)
		cl.hosts["h1"].setGate("single", gate)
		time.Sleep(time.Second)
		for n := range int(redLimit.Burst) {
			assert.Equal(t, cl.askWith("h1", "/one/", "Bearer red-secret").Outcome, Forwarded, "request %d", n)
		}
	})
}

// panickingWriter panics when a log line is written.
type panickingWriter struct{}

func (panickingWriter) Write([]byte) (int, error) { panic("injected by the test") }

// A panic while a request is logged must not replace its answer.
func TestPanicOfTheLogDoesNotReplaceTheAnswer(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		cl.hosts["host1"].requestLog = newRequestLog(zerolog.New(panickingWriter{}), 1000)
		assert.Equal(t, cl.ask("host1", "/one/x").Outcome, Forwarded)
		assert.Equal(t, cl.hosts["host1"].InFlight(), 0)
	})
}

// The end of a caller's connection must stop the work, be answered truly and be told with its cause.
func TestEndOfTheConnectionIsAnsweredTruly(t *testing.T) {
	config := limitedConfig()
	config.Teams[0].Limit.PerSecond = 1
	withQuotas(t, config, func(cl *cluster) {
		var log strings.Builder
		g := cl.hosts["h1"]
		g.requestLog = newRequestLog(zerolog.New(zerolog.SyncWriter(&log)), 1000)
		time.Sleep(40 * time.Second)
		ctx, end := context.WithCancelCause(cl.ctx)
		time.AfterFunc(leafServiceTime/2, func() { end(errors.New("connection reset by the test")) })
		a := g.Serve(ctx, cl.requestWith("/one/", "Bearer red-secret"))
		assert.Assert(t, a.Outcome == CallerLeft && a.Sent && a.RetryAfter == 0, "%+v", a)
		assert.Assert(t, strings.Contains(log.String(), "connection reset by the test"), log.String())
		arrivals := cl.backends.arrivals("single")
		for range 2 * int(redLimit.Burst) {
			a = g.Serve(ctx, cl.requestWith("/one/", "Bearer red-secret"))
			assert.Assert(t, a.Outcome == CallerLeft && !a.Sent && a.RetryAfter > 0, "%+v", a)
		}
		assert.Equal(t, cl.backends.arrivals("single"), arrivals, "nothing may be sent for a caller that has left")
		time.Sleep(time.Second)
		assert.Equal(t, cl.askWith("h1", "/one/", "Bearer red-secret").Outcome, Forwarded, "what was not sent must not count against the limit")
	})
}

// A request without a whole answer must be counted by its cause and told from its identifier alone.
func TestUnansweredRequestsAreCounted(t *testing.T) {
	withCluster(t, shardedConfig(7, 1), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		g, r := cl.hosts["host1"], cl.newRequest("/one/x")
		a := g.Serve(cl.ctx, r)
		for cause, report := range map[unansweredCause]func(){
			unansweredWriteFailed: func() { g.ReportUnanswered(cl.ctx, r, a, errors.New("broken")) },
			unansweredCallerLeft:  func() { g.ReportUnanswered(cl.ctx, r, Answer{Outcome: CallerLeft, Version: 7}, errors.New("broken")) },
			unansweredPanic:       func() { g.ReportPanic(cl.ctx, r.ID, "broken", false) },
		} {
			var log strings.Builder
			g.requestLog = newRequestLog(zerolog.New(&log), 1000)
			before := unanswered[cause].Get()
			report()
			assert.Equal(t, unanswered[cause].Get(), before+1)
			for _, want := range []string{r.ID, `"broken"`, `"version":7`} {
				assert.Check(t, strings.Contains(log.String(), want), "%s is not in %s", want, log.String())
			}
		}
		before := unanswered[unansweredPanic].Get()
		g.ReportPanic(cl.ctx, r.ID, "broken", true)
		assert.Equal(t, unanswered[unansweredPanic].Get(), before, "its caller was answered")
	})
}

// replylessPeers drops the servers' replies from what relays send.
type replylessPeers struct{ PeerClient }

func (p replylessPeers) Gather(ctx context.Context, address string, m *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	return p.PeerClient.Gather(ctx, address, m, func(reply *relaypb.GatherReply) {
		for _, r := range reply.GetResults() {
			r.Reply = nil
		}
		received(reply)
	})
}

// A relay that reports success without the reply of the server must not make the request panic.
func TestSuccessWithoutAReplyIsAFailure(t *testing.T) {
	withCluster(t, fewConnectionsConfig(), serversOf([]string{"single"}, "a1"), eightHosts, func(cl *cluster) {
		time.Sleep(2 * time.Second) // The hosts learn of each other.
		outcomes, panics := map[Outcome]int{}, obs.PanicsRecovered.Get()
		for _, host := range eightHosts {
			cl.hosts[host.name].adapters.Peers = replylessPeers{cl.peers}
			outcomes[cl.ask(host.name, "/once/x").Outcome]++
		}
		assert.DeepEqual(t, outcomes, map[Outcome]int{Forwarded: 2, Failed: 6})
		assert.Equal(t, obs.PanicsRecovered.Get(), panics)
	})
}

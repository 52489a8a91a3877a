package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/team"
)

// teamConfig returns a configuration with the given keys of a team "red", a team "blue" of
// priority 2, and a public route /open/.
func teamConfig(version uint64, keys ...string) route.Config {
	c := shardedConfig(version, 2)
	for i := range c.Routes {
		c.Routes[i].Priority = 1
	}
	open := c.Routes[1]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	c.Routes = append(c.Routes, open)
	priority := 2
	c.Teams = []team.Team{{Name: "red", Keys: keys}, {Name: "blue", Keys: []string{"blue-secret", "shared-secret"}, Priority: &priority}, {Name: "green", Keys: []string{"shared-secret"}}}
	return c
}

// observedTraffic records what servers and relays were sent.
type observedTraffic struct {
	mu sync.Mutex
	// teams lists the values of the team header by path.
	teams map[string][]string
	// headers and relayed are the text of all headers sent to servers, and of all messages to relays.
	headers, relayed strings.Builder
}

func observeTraffic(cl *cluster, services ...string) *observedTraffic {
	seen := &observedTraffic{teams: map[string][]string{}}
	for _, service := range services {
		cl.backends.set(service, func(ctx context.Context, r *Request) (*Reply, error) {
			seen.mu.Lock()
			seen.teams[r.Path+r.Target] = append(seen.teams[r.Path+r.Target], strings.Join(r.Header[teamHeader], "+"))
			fmt.Fprintln(&seen.headers, r.Header)
			seen.mu.Unlock()
			return serve(service, leafServiceTime)(ctx, r)
		})
	}
	cl.peers.onGather = func(m *relaypb.GatherRequest) {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		fmt.Fprintln(&seen.relayed, m.String())
		assert.Check(cl.t, m.GetTeamsVersion() == cl.hosts["host1"].control.View().Table.Version(), "relays must know that the key was checked")
	}
	return seen
}

// askWith sends a request with the given Authorization values, also as an end-to-end header, and
// with a team named by the caller.
func (cl *cluster) askWith(host, path string, authorization ...string) Answer {
	return cl.hosts[host].Serve(cl.ctx, cl.requestWith(path, authorization...))
}

func (cl *cluster) requestWith(path string, authorization ...string) *Request {
	r := cl.newRequest(path)
	r.Authorization = authorization
	r.Header = http.Header{teamHeader: {"green", "blue"}, "X-Own": {"1"}}
	if len(authorization) > 0 {
		r.Header[headerAuthorization] = authorization
	}
	return r
}

// Servers, also behind relays, must get the name of the team of the key in place of the key and of
// what the caller claims.
func TestServersGetTheTeamInPlaceOfTheKey(t *testing.T) {
	servers := serversOf([]string{"shard0", "single"}, "a1")
	servers = append(servers, serversOf([]string{"shard1"}, "b1")...)
	withCluster(t, teamConfig(1, "red-secret"), servers, threeRegions, func(cl *cluster) {
		seen := observeTraffic(cl, "shard0", "shard1", "single")
		for _, path := range []string{"/q/x", "/one/x", "/once/x", "/open/x"} {
			for _, host := range []string{"host1", "host2"} {
				a := cl.askWith(host, path, "Bearer red-secret")
				assert.Assert(t, a.Outcome == Gathered && a.Gathered.Missing == 0 || a.Outcome == Forwarded, "%+v", a)
			}
		}
		assert.Assert(t, cl.peers.gathers.Load() > 0, "some calls must go through a relay")
		assert.Assert(t, strings.Contains(seen.headers.String(), "X-Own"))
		assert.Assert(t, !strings.Contains(seen.headers.String()+seen.relayed.String(), "red-secret"))
		for path, teams := range seen.teams {
			for _, name := range teams {
				assert.Equal(t, name, "red", path)
			}
		}
	})
}

// A request without a key that exactly one team holds must run only on a public route, without a
// team.
func TestRequestsWithoutAKeyOfATeamAreRefused(t *testing.T) {
	withCluster(t, teamConfig(1, "red-secret"), serversOf([]string{"shard0", "shard1", "single"}, "a1"), oneHost, func(cl *cluster) {
		seen := observeTraffic(cl, "shard0", "shard1", "single")
		for _, test := range []struct {
			cause         Cause
			authorization []string
		}{
			{CauseMissingKey, nil},
			{CauseMissingKey, []string{"Basic red-secret"}},
			{CauseMissingKey, []string{"Bearer red-secret", "Bearer red-secret"}},
			{CauseMissingKey, []string{"Bearer "}},
			{CauseUnknownKey, []string{"Bearer other-secret"}},
			{CauseUnknownKey, []string{"Bearer shared-secret"}},
		} {
			arrived := cl.backends.arrivals("")
			for _, path := range []string{"/q/x", "/one/x", "/once/x"} {
				a := cl.askWith("host1", path, test.authorization...)
				assert.Equal(t, a.Outcome, Unauthorized, "%v", test.authorization)
				assert.Equal(t, a.Cause, test.cause, "%v", test.authorization)
				assert.Assert(t, a.Reason != "" && !strings.Contains(a.Reason, "secret"), a.Reason)
			}
			assert.Equal(t, cl.backends.arrivals(""), arrived)
			assert.Equal(t, cl.askWith("host1", "/open/x", test.authorization...).Outcome, Forwarded)
			assert.Assert(t, !strings.Contains(seen.headers.String(), "secret") && !strings.Contains(seen.headers.String(), teamHeader), seen.headers.String())
		}
		assert.Equal(t, cl.askWith("host1", "/none/x").Outcome, NoRoute)
	})
}

// A key must be refused at all hosts soon after the version that removes it, and one that is added
// must be served; the key that stays is served all the while.
func TestRemovedKeyIsRefused(t *testing.T) {
	withCluster(t, teamConfig(1, "old-secret", "kept-secret"), serversOf([]string{"shard0", "shard1", "single"}, "a1", "b1"), threeRegions, func(cl *cluster) {
		assert.Equal(t, cl.askWith("host1", "/one/x", "Bearer old-secret").Outcome, Forwarded)
		assert.Equal(t, cl.askWith("host1", "/one/x", "Bearer new-secret").Cause, CauseUnknownKey)
		cl.store.PutConfig(teamConfig(2, "kept-secret", "new-secret"))
		time.Sleep(propagationTime)
		for _, h := range threeRegions {
			for _, path := range []string{"/one/x", "/q/x"} {
				assert.Equal(t, cl.askWith(h.name, path, "Bearer old-secret").Cause, CauseUnknownKey)
				assert.Equal(t, cl.askWith(h.name, path, "Bearer new-secret").Cause, CauseNone)
				assert.Equal(t, cl.askWith(h.name, path, "Bearer kept-secret").Cause, CauseNone)
			}
		}
	})
}

// Without teams the headers must reach servers and relays as the caller sent them.
func TestWithoutTeamsKeysAreForwarded(t *testing.T) {
	c := teamConfig(1)
	c.Teams = []team.Team{}
	servers := append(serversOf([]string{"shard0", "single"}, "a1"), serversOf([]string{"shard1"}, "b1")...)
	withCluster(t, c, servers, threeRegions, func(cl *cluster) {
		want := cl.requestWith("/", "Basic a-secret").Header
		for _, service := range []string{"shard0", "shard1", "single"} {
			cl.backends.set(service, func(ctx context.Context, r *Request) (*Reply, error) {
				assert.Check(t, fmt.Sprint(r.Header) == fmt.Sprint(want), "%v", r.Header)
				return serve(service, leafServiceTime)(ctx, r)
			})
		}
		assert.Equal(t, cl.askWith("host1", "/q/x", "Basic a-secret").Gathered.Missing, 0)
		assert.Equal(t, cl.askWith("host2", "/one/x", "Basic a-secret").Outcome, Forwarded)
	})
}

// The log must tell the team, the rank and the cause of a refusal, and never a key.
func TestLogTellsTheTeamAndNoKey(t *testing.T) {
	var log bytes.Buffer
	withCluster(t, teamConfig(1, "red-secret", "red-secret"), serversOf([]string{"shard0", "shard1", "single"}, "a1"), oneHost, func(cl *cluster) {
		cl.store.PutConfig(teamConfig(2, "red-secret"))
		g := cl.hosts["host1"]
		g.requestLog = newRequestLog(zerolog.New(&log), 1000)
		for _, key := range []string{"red-secret", "blue-secret", "other-secret", "shared-secret"} {
			cl.askWith("host1", "/one/x", "Bearer "+key)
		}
		cl.askWith("host1", "/one/x")
	})
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	for i, fields := range [][]string{
		{`"team":"red"`, `"rank":1,`}, {`"team":"blue"`, `"rank":2,`}, {`"cause":"unknown_key"`, `"reason":`}, {`"cause":"unknown_key"`}, {`"cause":"missing_key"`, `"reason":`},
	} {
		for _, field := range fields {
			assert.Assert(t, strings.Contains(lines[i], field), "%s is not in %s", field, lines[i])
		}
		assert.Equal(t, strings.Contains(lines[i], `"team"`), i < 2)
	}
	assert.Assert(t, !strings.Contains(log.String(), "secret"))
}

// Relays and the requesting host must compute one fingerprint, which differs between teams and is
// the same for all keys of a team.
func TestFingerprintHoldsTheTeam(t *testing.T) {
	withCluster(t, teamConfig(1, "red-secret", "second-secret"), serversOf([]string{"shard0"}, "a1"), threeRegions, func(cl *cluster) {
		var found []string
		cl.peers.onGather = func(m *relaypb.GatherRequest) {
			found = append(found, cl.hosts["host2"].fingerprint(requestFromPeer(m)).String())
		}
		fingerprintOf := func(key string) string {
			r := cl.requestWith("/q/x", "Bearer "+key)
			cl.hosts["host3"].Serve(cl.ctx, r)
			return cl.hosts["host3"].fingerprint(r).String()
		}
		red, second, blue := fingerprintOf("red-secret"), fingerprintOf("second-secret"), fingerprintOf("blue-secret")
		assert.DeepEqual(t, found, []string{red, second, blue})
		assert.Assert(t, red == second && red != blue)
	})
}

// In an overload of one route, requests must be refused by the priority of their team: that of the
// route has no effect on a team with its own.
func TestPriorityOfATeamDecidesOnAdmission(t *testing.T) {
	withCluster(t, teamConfig(1, "red-secret"), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		cl.backends.set("single", newBusyServer("single@a1").serve)
		var mu sync.Mutex
		served := map[string]int{}
		for i := range 2000 {
			r := cl.requestWith("/one/x", "Bearer "+[]string{"red-secret", "blue-secret"}[i%2])
			go func() {
				a := cl.hosts["host1"].Serve(cl.ctx, r)
				mu.Lock()
				defer mu.Unlock()
				if a.Outcome == Forwarded {
					served[r.Team]++
				} else if a.Cause == CauseOverloaded {
					assert.Check(t, strings.Contains(a.Reason, map[string]string{"red": "rank 1", "blue": "rank 2"}[r.Team]), a.Reason)
				}
			}()
			time.Sleep(4 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		t.Log(served)
		assert.Assert(t, served["red"] > 5*served["blue"], "%v", served)
	})
}

// Metrics by team must stay bounded, count every request of a team, and contain no key.
func TestMetricsByTeamAreBounded(t *testing.T) {
	series := func() (n int, requests uint64) {
		for _, name := range metrics.ListMetricNames() {
			assert.Assert(t, !strings.Contains(name, "secret"), name)
			if strings.HasPrefix(name, "mallowgap_team_requests_total{") {
				n++
				requests += metrics.GetOrCreateCounter(name).Get()
			}
		}
		return n, requests
	}
	c := teamConfig(1, "red-secret")
	for i := range 30 {
		c.Teams = append(c.Teams, team.Team{Name: fmt.Sprint("team", i), Keys: []string{fmt.Sprint("secret", i)}})
	}
	withCluster(t, c, serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		seriesBefore, before := series()
		for i := range 60 {
			assert.Equal(t, cl.askWith("host1", "/one/x", fmt.Sprint("Bearer secret", i%30)).Outcome, Forwarded)
		}
		cl.askWith("host1", "/one/x", "Bearer unknown-secret")
		added, requests := series()
		assert.Equal(t, requests-before, uint64(60))
		assert.Assert(t, added-seriesBefore <= 11, "%d series", added-seriesBefore)
	})
}

// A relay must not pass on a request that its newer configuration does not allow, a key that the
// requesting host did not look up, or what a caller named as its team.
func TestRelayChecksTeamsUnderItsNewerConfiguration(t *testing.T) {
	const sent, refused = relaypb.Outcome_PART, relaypb.Outcome_NOT_SENT
	withCluster(t, teamConfig(3, "red-secret"), serversOf([]string{"shard0", "shard1", "single"}, "a1"), oneHost, func(cl *cluster) {
		for name, test := range map[string]struct {
			version   uint64
			path      string
			key, team string
			outcome   relaypb.Outcome
			seen      string
		}{
			"key unchecked":                     {0, "/one/x", "red-secret", "blue", sent, "red"},
			"unknown key unchecked":             {0, "/one/x", "old-secret", "red", refused, ""},
			"no key unchecked":                  {0, "/one/x", "", "red", refused, ""},
			"public unchecked":                  {0, "/open/x?q", "old-secret", "red", sent, ""},
			"no route unchecked":                {0, "/none/x", "", "red", refused, ""},
			"team kept":                         {2, "/one/x", "", "red", sent, "red"},
			"team removed":                      {2, "/one/x", "", "gone", refused, ""},
			"team removed, public":              {2, "/open/x", "", "gone", sent, ""},
			"no longer public":                  {2, "/one/x", "", "", refused, ""},
			"public":                            {2, "/open/x", "", "", sent, ""},
			"same version":                      {3, "/one/x", "", "red", sent, "red"},
			"requesting host knows a newer one": {4, "/one/x", "", "new", sent, "new"},
		} {
			seen := observeTraffic(cl, "single")
			m := &relaypb.GatherRequest{RequestId: []byte(name), Method: http.MethodGet, Host: "desk.example", Target: []byte(test.path), TeamsVersion: test.version,
				ServerIds: []string{"single@a1"}, Top: 3, TimeoutUs: 1e6, SoftTimeoutUs: 1e5}
			if test.key != "" {
				m.Headers = append(m.Headers, &relaypb.Header{Name: headerAuthorization, Value: []byte("Bearer " + test.key)})
			}
			if test.team != "" {
				m.Headers = append(m.Headers, &relaypb.Header{Name: teamHeader, Value: []byte(test.team)})
			}
			var results []*relaypb.CallResult
			assert.NilError(t, cl.hosts["host1"].Gather(m, &fakeStream{ctx: cl.ctx, send: func(reply *relaypb.GatherReply) { results = append(results, reply.GetResults()...) }}))
			assert.Equal(t, len(results), 1, name)
			assert.Equal(t, results[0].GetOutcome(), test.outcome, name)
			if test.outcome == sent {
				assert.DeepEqual(t, seen.teams[test.path], []string{test.seen})
			}
			assert.Assert(t, !strings.Contains(seen.headers.String()+results[0].GetReason(), "secret"), name)
		}
	})
}

// A team whose name has unusual characters must not make the metrics unreadable: the text format
// knows only the escapes of backslash, quote and line feed.
func TestNamesOfTeamsAreEscapedInMetrics(t *testing.T) {
	for name, label := range map[string]string{
		"a\"b\\": `{team="a\"b\\",`, "a\u200bb": "{team=\"a\u200bb\",", "a\u0085b": "{team=\"a\u0085b\",", "é\ufffd": "{team=\"é\ufffd\",", "a\nb": `{team="a\nb",`,
	} {
		metric := teamMetric(name, teamServed)
		assert.Assert(t, strings.Contains(metric, label), metric)
		metrics.GetOrCreateCounter(metric)
		assert.Assert(t, metrics.UnregisterMetric(metric))
	}
}

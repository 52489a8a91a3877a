package gateway

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/coordination"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/route"
)

// redLimit is the limit of the team "red".
var redLimit = quota.Limit{PerSecond: 20, Burst: 20}

// limitedConfig returns a configuration in which the team "red" has a limit.
func limitedConfig() route.Config {
	c := teamConfig(1, "red-secret")
	c.Teams[0].Limit = redLimit
	return c
}

// quotaHosts are two hosts in each of three failure domains.
var quotaHosts = []hostSpec{{"h1", "a1", "a"}, {"h2", "a1", "a"}, {"h3", "b1", "b"}, {"h4", "b1", "b"}, {"h5", "c1", "c"}, {"h6", "c1", "c"}}

func withQuotas(t *testing.T, config route.Config, run func(cl *cluster)) {
	servers := serversOf(append(shardNames(2), "single"), "a1", "b1", "c1")
	withCluster(t, config, servers, quotaHosts, run)
}

// coordinator returns the host to which all others connect.
func (cl *cluster) coordinator() *Gateway {
	states := &coordinationStates{name: "h1"}
	return cl.hosts[coordination.Order(states.of(cl.hosts["h1"].control.View()).Candidates)[0].Name]
}

// askAsRed brings callers to the hosts in turn for d, perSecond of them a second, and returns the
// answers by the second in which they were given.
func (cl *cluster) askAsRed(hosts []hostSpec, d time.Duration, perSecond int) [][]Answer {
	answers := make([][]Answer, int(d/time.Second)+2)
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < d; n++ {
		wg.Go(func() {
			cl.callAsRed(hosts[n%len(hosts)].name, func(a Answer) {
				mu.Lock()
				defer mu.Unlock()
				second := int(time.Since(begin) / time.Second)
				answers[second] = append(answers[second], a)
			})
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return answers
}

// callAsRed sends a request and repeats it as the refusals say, if they are within a third of the
// time left.
func (cl *cluster) callAsRed(host string, note func(Answer)) {
	began := time.Now()
	for {
		r := cl.requestWith("/one/", "Bearer red-secret")
		r.Timeout -= time.Since(began)
		a := cl.hosts[host].Serve(cl.ctx, r)
		note(a)
		if a.Outcome != OverLimit || a.RetryAfter > (r.Timeout-time.Since(r.Arrived))/3 {
			return
		}
		time.Sleep(a.RetryAfter)
	}
}

// count returns the number of answers with an outcome.
func count(answers [][]Answer, outcome Outcome) int {
	n := 0
	for _, list := range answers {
		for _, a := range list {
			if a.Outcome == outcome {
				n++
			}
		}
	}
	return n
}

// assertWithinLimit checks that in no window of 5 seconds more was served than the limit allows.
func assertWithinLimit(t *testing.T, answers [][]Answer) {
	t.Helper()
	const window = 5
	for i := range answers {
		served := count(answers[i:min(i+window, len(answers))], Forwarded)
		assert.Assert(t, float64(served) <= redLimit.PerSecond*window+redLimit.Burst, "%d served within %d s from second %d", served, window, i)
	}
}

// A team gets what its limit allows over all hosts together, and no more. A refusal says who decided
// and when to come back.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	withQuotas(t, limitedConfig(), func(cl *cluster) {
		answers := cl.askAsRed(quotaHosts, 12*time.Second, 60)
		assertWithinLimit(t, answers)
		served := count(answers[6:12], Forwarded)
		assert.Assert(t, float64(served) >= 0.9*6*redLimit.PerSecond, "%d served in 6 s", served)
		for _, a := range answers[8] {
			if a.Outcome == OverLimit {
				assert.Equal(t, a.Cause, CauseOverLimit)
				assert.Assert(t, strings.Contains(a.Reason, "refused by coordinator "+cl.coordinator().name), a.Reason)
				assert.Assert(t, a.RetryAfter >= minRetryAfter)
			}
		}
	})
}

// While no host loses another, a team far below its limit is never refused.
func TestRequestsBelowTheLimitAreServed(t *testing.T) {
	withQuotas(t, limitedConfig(), func(cl *cluster) {
		time.Sleep(10 * time.Second)
		answers := cl.askAsRed(quotaHosts, 12*time.Second, 10)
		assert.Equal(t, count(answers, OverLimit), 0)
	})
}

// A coordinator that is cut off from the others costs little of the limit, and the limit holds, as
// its own callers are served by its fraction only.
func TestLimitHoldsWhenTheCoordinatorIsCutOff(t *testing.T) {
	withQuotas(t, limitedConfig(), func(cl *cluster) {
		cl.askAsRed(quotaHosts, 8*time.Second, 60)
		cl.peers.cutOff(cl.coordinator())
		answers := cl.askAsRed(quotaHosts, 15*time.Second, 60)
		assertWithinLimit(t, answers)
		served := count(answers[8:15], Forwarded)
		assert.Assert(t, float64(served) >= 0.5*7*redLimit.PerSecond, "%d served in 7 s", served)
	})
}

// A coordinator that stops gracefully hands over without a gap.
func TestLimitHoldsWhenTheCoordinatorStops(t *testing.T) {
	withQuotas(t, limitedConfig(), func(cl *cluster) {
		cl.askAsRed(quotaHosts, 8*time.Second, 60)
		cl.coordinator().BeginStop(cl.ctx)
		answers := cl.askAsRed(quotaHosts, 12*time.Second, 60)
		assertWithinLimit(t, answers)
		served := count(answers[:12], Forwarded)
		assert.Assert(t, float64(served) >= 0.8*12*redLimit.PerSecond, "%d served in 12 s", served)
	})
}

// A request does not wait for its allowance beyond its own end.
func TestWaitForTheAllowanceEndsWithTheRequest(t *testing.T) {
	withQuotas(t, limitedConfig(), func(cl *cluster) {
		cl.askAsRed(quotaHosts, 8*time.Second, 60)
		lost := cl.coordinator()
		cl.peers.cutOff(lost)
		for _, h := range quotaHosts {
			if h.name == lost.name {
				continue
			}
			r := cl.requestWith("/one/", "Bearer red-secret")
			r.Timeout = endMargin + 30*time.Millisecond
			a := cl.hosts[h.name].Serve(cl.ctx, r)
			assert.Assert(t, time.Since(r.Arrived) <= r.Timeout, "%s answered after %v of %v", h.name, time.Since(r.Arrived), r.Timeout)
			assert.Assert(t, a.Outcome == Forwarded || a.Cause != CauseNone && a.Reason != "", "a refusal tells its reason: %+v", a)
		}
	})
}

// A request that no server ran does not count against the limit.
func TestRequestThatWasNotRunIsGivenBack(t *testing.T) {
	config := limitedConfig()
	config.Teams[0].Limit.PerSecond = 1
	withQuotas(t, config, func(cl *cluster) {
		time.Sleep(40 * time.Second)
		cl.backends.set("single", shed)
		for range 5 * int(redLimit.Burst) {
			assert.Equal(t, cl.askWith("h1", "/one/", "Bearer red-secret").Outcome, NotRun)
		}
		cl.backends.set("single", nil)
		time.Sleep(time.Second)
		for n := range int(redLimit.Burst) {
			assert.Equal(t, cl.askWith("h1", "/one/", "Bearer red-secret").Outcome, Forwarded, "request %d", n)
		}
	})
}

// Hosts coordinate if a team has a limit, or from the configured number of hosts.
func TestCoordinationIsNeededByLimitsOrSize(t *testing.T) {
	withQuotas(t, teamConfig(1, "red-secret"), func(cl *cluster) {
		v := cl.hosts["h3"].control.View()
		for minHosts, enabled := range map[int]bool{0: false, 6: true, 7: false} {
			state := (&coordinationStates{name: "h3", minHosts: minHosts}).of(v)
			assert.Equal(t, state.Enabled, enabled, "min_hosts %d", minHosts)
			assert.Equal(t, state.Rank, 2)
			assert.Equal(t, state.Hosts, 6)
			assert.Equal(t, len(state.Candidates), 6)
			assert.Assert(t, state.Limit("unknown").Invalid)
		}
		config := limitedConfig()
		config.Version = 2
		cl.store.PutConfig(config)
		time.Sleep(time.Second)
		state := (&coordinationStates{name: "h3"}).of(cl.hosts["h3"].control.View())
		assert.Assert(t, state.Enabled)
		assert.Equal(t, state.Limit("red"), redLimit)
	})
}

package gateway

import (
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/internal/control"
)

// The retry budget of a service bounds what all hosts together send beyond the first attempt
// of each request. That of a shard is kept by the hosts that call its servers: a few for each
// failure domain, through which all calls go. Of any other service each host has a part.
//
// Kept by the hosts that ask, the budget of a shard was cut into 60 parts of two attempts
// each while the servers that need it are few: 1.2 hedges a query were denied in calm and 30
// while 13 in 100 answers were lost, with a sixth of the whole budget used.

const (
	// budgetShare and slackShare are the parts of the retry budget that hosts
	// use; the rest is for the edges of the sliding window.
	budgetShare = 0.9
	slackShare  = 0.8
	// hedgePart is the part of the budget that hedges may use: a hedge may
	// prove needless, a retry replaces what has failed.
	hedgePart = 0.85
	// othersShare is the part of the slack of a shard's budget that is left to hosts that call
	// its servers although they do not keep it: where no host of a failure domain is known.
	othersShare = 0.15
	// settleTime is for how long after its start a host does not know for sure how many
	// others keep the budget of a shard, settleShare the part of the slack that it uses
	// until then.
	settleTime  = 2 * time.Second
	settleShare = 0.5
)

// budget is what a host may use of the retry budget of a service.
type budget struct {
	share, slack float64
}

// budgetOf returns this host's part of a budget that a number of hosts share. The slack
// grows in the first window after the start: the process before may have used its own.
func (g *Gateway) budgetOf(sharers int, now time.Time) budget {
	s := g.settings.GetRetry()
	started := min(1, 0.5+0.5*float64(now.Sub(g.started))/float64(s.GetWindow().AsDuration()))
	return budget{share: budgetShare * s.GetShare(), slack: started * slackShare * s.GetSlack() / float64(max(sharers, 1))}
}

// takeExtra takes an extra attempt at a shard whose budget this host keeps together with
// others, up to a part (0 to 1) of it.
func (g *Gateway) takeExtra(servers *group, part float64, now time.Time) bool {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	b := g.budgetOf(servers.keepers, now)
	if now.Sub(g.started) < settleTime {
		b.slack *= settleShare
	}
	return servers.window.TakePart(part, b.share, (1-othersShare)*b.slack, now)
}

// extraPart is the part (0 to 1) of the budget that an extra attempt may use; 0 is none.
func (q *query) extraPart(kind attemptKind, now time.Time) float64 {
	part := 1.0
	if kind == hedgeAttempt {
		// A copy of a request only takes the place of another: without copies in an
		// overload a tenth more was answered in time at three times the callers.
		if q.overloaded() {
			return 0
		}
		part = hedgePart
	}
	if q.entry.Query != nil {
		part *= q.state.ExtraShare(now)
	}
	return part
}

// takeBudget takes an extra attempt from what this host may use, unless the host that the
// call goes through keeps the budget.
func (q *query) takeBudget(a *attempt, now time.Time) bool {
	part := q.extraPart(a.kind, now)
	if part <= 0 {
		return false
	}
	if q.entry.Query == nil {
		b := q.gateway.budgetOf(q.view.Sharers, now)
		return a.call.group.extra(part, b.share, b.slack, now)
	}
	if q.relayKeepsBudget(a.call) {
		a.extraPart = part
		return true
	}
	self := q.gateway.self
	if a.call.share.Calls(self.GetName(), self.GetDomain()) {
		return q.gateway.takeExtra(a.call.group, part, now)
	}
	b := q.gateway.budgetOf(q.view.Sharers, now)
	return a.call.group.extra(part, b.share, othersShare*b.slack, now)
}

// relayKeepsBudget reports whether a call goes through a host that keeps the budget.
func (q *query) relayKeepsBudget(c *call) bool {
	if q.entry.Query == nil || !q.useRelay(c) {
		return false
	}
	relays := q.relays(c.backend.Domain, c)
	return len(relays) > 0 && !slices.ContainsFunc(relays, func(h control.Host) bool { return !h.Budgets })
}

// countKeepers notes how many hosts keep the budget of the shard: those that call its
// servers in each failure domain.
func (g *group) countKeepers(shares []control.Share, now time.Time) {
	hosts := map[string]int{}
	for i, b := range g.members {
		if shares[i].Relayed() {
			hosts[b.Domain] = max(hosts[b.Domain], shares[i].Hosts)
		}
	}
	n := 0
	for _, of := range hosts {
		n += of
	}
	g.keepers = g.sharers.Count(n, control.SharerLife, now)
}

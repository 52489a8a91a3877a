package coordination

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// askTimeout is how long a request waits for its allowance. It covers a round trip between
	// regions, and is short against the objective of a request.
	askTimeout = 100 * time.Millisecond
	// lateGrantTimeout is how long after that a grant is still expected, to be returned.
	lateGrantTimeout = 2 * time.Second
)

// Decider is who took a decision on a request.
type Decider string

const (
	// ByHost: this host, as the team is far below its limit.
	ByHost Decider = "host"
	// ByCoordinator: the coordinator.
	ByCoordinator Decider = "coordinator"
	// ByFraction: this host by its own fraction of the limit, without a coordinator.
	ByFraction Decider = "fraction"
)

// Ruling is the decision on a request, with its inputs for the log.
type Ruling struct {
	quota.Decision
	By Decider
	// Coordinator is the coordinator that decided, or that was connected; empty if there was none.
	Coordinator string
	// Hosts is the number of known hosts.
	Hosts int
	// Waited is how long the request waited for the coordinator.
	Waited time.Duration
}

// account holds what this host admits and asks for. It is safe for concurrent use.
type account struct {
	// asked and news receive a value when there is an ask or something else to report.
	asked, news chan struct{}

	mu    sync.Mutex
	meter Meter
	hosts int
	// streaming is set while there is a stream; coordinator, once the other end has responded.
	streaming   bool
	coordinator string
	lastAsk     uint64
	// asks are the asks without an answer; unsent lists those to send.
	asks    map[uint64]*ask
	unsent  []*ask
	offered map[offeredKey]admission.Offered
	loads   map[string]replica.ServerLoad
	// undecided holds, by team, the requests whose context ended during their ask and that were not
	// given back yet. They are not counted by the meter.
	undecided map[string]int
}

// offeredKey identifies work that is reported as one.
type offeredKey struct {
	service   string
	class     admission.Class
	objective time.Duration
}

// ask is an ask for the allowance of one request.
type ask struct {
	wire *relaypb.TeamAsk
	// answered receives the answer of coordinator.
	answered    chan quota.Grant
	coordinator string
	// expired is when the request stopped waiting; zero while it waits.
	expired time.Time
}

func newAccount(meter Meter) *account {
	return &account{
		asked: make(chan struct{}, 1), news: make(chan struct{}, 1), meter: meter,
		asks: map[uint64]*ask{}, offered: map[offeredKey]admission.Offered{}, loads: map[string]replica.ServerLoad{},
		undecided: map[string]int{},
	}
}

// signal sends a value to a channel unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Caller describes who sent a request of a team.
type Caller struct {
	// Patience is for how long an allowance is kept for the caller if it is refused.
	Patience time.Duration
	// Returning is set if it returns after a refusal, Late if it can no longer get an answer within
	// the objective.
	Returning, Late bool
}

// Take decides on a request of a team, before it is run. If ctx ends before the coordinator had its
// time to answer, the action is quota.AskFirst: the request is undecided and must not be run. Like an
// admitted request that was not run, it is given back by Return.
func (c *Coordination) Take(ctx context.Context, team string, limit quota.Limit, caller Caller) Ruling {
	if !limit.Limited() {
		return Ruling{By: ByHost}
	}
	state := c.config.State()
	c.account.setHosts(state.Hosts, state.Rank)
	r := c.account.take(ctx, team, limit, caller)
	if r.Action == quota.Refuse && r.By == ByCoordinator {
		refusedByCoordinator.Inc()
	} else if r.Action == quota.Refuse {
		refusedByFraction.Inc()
	}
	return r
}

// Return gives back a request of a limited team that was not refused and not run.
func (c *Coordination) Return(team string) { c.account.giveBack(team, time.Now()) }

// Offer reports work that was offered to admission at this host.
func (c *Coordination) Offer(service string, o admission.Offered) { c.account.offer(service, o) }

// ObserveLoad reports the load of a server; with no waiting requests and a service time of 0, only the
// number of calls in flight.
func (c *Coordination) ObserveLoad(server string, waiting int, serviceTime time.Duration, inFlight int) {
	c.account.observeLoad(replica.ServerLoad{Server: server, Waiting: waiting, ServiceTime: serviceTime, InFlight: inFlight})
}

func (a *account) setHosts(n, rank int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = n
	a.meter.SetHosts(n, rank)
}

func (a *account) take(ctx context.Context, team string, limit quota.Limit, caller Caller) Ruling {
	began := time.Now()
	r, asked := a.takeOrAsk(team, limit, caller, began)
	if asked == nil {
		return r
	}
	return a.await(ctx, asked, limit, r, began)
}

// takeOrAsk decides on a request, or returns the ask that it queued for it.
func (a *account) takeOrAsk(team string, limit quota.Limit, caller Caller, now time.Time) (Ruling, *ask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == 0 { // Its fraction of the limit is not known.
		return Ruling{Decision: quota.Decision{Action: quota.Refuse, RetryAfter: askTimeout}, By: ByFraction}, nil
	}
	d := a.meter.Take(team, limit, now)
	r := Ruling{Decision: d, By: ByHost, Coordinator: a.coordinator, Hosts: a.hosts}
	if d.Action == quota.AskFirst {
		return r, a.ask(team, caller)
	}
	if r.Coordinator == "" || d.Action == quota.Refuse {
		r.By = ByFraction
	}
	signal(a.news)
	return r, nil
}

// ask queues an ask for one request. The caller holds mu.
func (a *account) ask(team string, caller Caller) *ask {
	a.lastAsk++
	asked := &ask{
		wire:     &relaypb.TeamAsk{Team: team, Id: a.lastAsk, Count: 1, PatienceMs: toMillis(caller.Patience), Returning: caller.Returning, Late: caller.Late},
		answered: make(chan quota.Grant, 1),
	}
	a.asks[a.lastAsk] = asked
	if a.streaming {
		a.unsent = append(a.unsent, asked)
	}
	asksTotal.Inc()
	signal(a.asked)
	return asked
}

// await waits for the answer to an ask. Without one, this host decides by its own fraction of the
// limit, unless ctx ended first, which tells nothing about the coordinator.
func (a *account) await(ctx context.Context, asked *ask, limit quota.Limit, r Ruling, began time.Time) Ruling {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case g := <-asked.answered:
		return r.granted(g, asked.coordinator, began)
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case g := <-asked.answered:
		return r.granted(g, asked.coordinator, began)
	default:
	}
	now, team := time.Now(), asked.wire.GetTeam()
	if asked.expired = now; !a.streaming {
		delete(a.asks, asked.wire.GetId())
	}
	r.Waited = now.Sub(began)
	if r.Waited < askTimeout {
		a.undecided[team]++
		return r
	}
	unansweredTotal.Inc()
	r.Decision, r.By = a.meter.Unanswered(team, limit, now), ByFraction
	signal(a.news)
	return r
}

// granted returns the decision that follows from an answer of the coordinator.
func (r Ruling) granted(g quota.Grant, coordinator string, began time.Time) Ruling {
	r.By, r.Coordinator, r.Waited = ByCoordinator, coordinator, time.Since(began)
	r.Decision = quota.Decision{Action: quota.Refuse, RetryAfter: g.RetryAfter}
	if g.Granted > 0 {
		r.Decision = quota.Decision{Action: quota.Admit}
	}
	return r
}

func (a *account) giveBack(team string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := a.undecided[team]; n > 0 {
		if a.undecided[team] = n - 1; n == 1 {
			delete(a.undecided, team)
		}
		return
	}
	a.meter.Return(team, now)
	signal(a.news)
}

func (a *account) offer(service string, o admission.Offered) {
	key := offeredKey{service: service, class: o.Class, objective: o.Objective}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.streaming {
		return
	}
	sum := a.offered[key]
	o.Requests += sum.Requests
	o.Work += sum.Work
	a.offered[key] = o
	signal(a.news)
}

func (a *account) observeLoad(l replica.ServerLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.streaming {
		return
	}
	if earlier, ok := a.loads[l.Server]; ok && l.StartsOnly() {
		l.Waiting, l.ServiceTime = earlier.Waiting, earlier.ServiceTime
	}
	a.loads[l.Server] = l
	signal(a.news)
}

// connected begins a stream: it returns what was admitted recently, and has all asks sent again.
func (a *account) connected(now time.Time) []*relaypb.TeamCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streaming = true
	a.unsent = nil
	for _, asked := range a.asks {
		a.unsent = append(a.unsent, asked)
	}
	slices.SortFunc(a.unsent, func(x, y *ask) int { return cmp.Compare(x.wire.GetId(), y.wire.GetId()) })
	return countsToWire(a.meter.Connected(now))
}

func (a *account) disconnected(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streaming, a.coordinator = false, ""
	clear(a.offered)
	clear(a.loads)
	maps.DeleteFunc(a.asks, func(_ uint64, asked *ask) bool { return !asked.expired.IsZero() })
	a.meter.Disconnected(now)
}

// report returns what has not been reported yet.
func (a *account) report(now time.Time) *relaypb.CoordinateReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &relaypb.CoordinateReport{Admitted: countsToWire(a.meter.Report(now))}
	for _, asked := range a.unsent {
		if asked.expired.IsZero() {
			m.Asks = append(m.Asks, asked.wire)
		}
	}
	a.unsent = nil
	for key, o := range a.offered {
		m.Offered = append(m.Offered, offeredToWire(key.service, o))
	}
	clear(a.offered)
	for _, l := range a.loads {
		m.Loads = append(m.Loads, loadToWire(l))
	}
	clear(a.loads)
	a.forgetExpired(now)
	return m
}

// forgetExpired removes the asks to which no answer is expected any more.
func (a *account) forgetExpired(now time.Time) {
	maps.DeleteFunc(a.asks, func(_ uint64, asked *ask) bool {
		return !asked.expired.IsZero() && now.Sub(asked.expired) > lateGrantTimeout
	})
}

// heard applies a message of the coordinator.
func (a *account) heard(coordinator string, m *relaypb.CoordinateVerdict, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coordinator = coordinator
	a.meter.Heard(m.GetMetered(), m.GetHasMetered(), now)
	for _, g := range m.GetGrants() {
		a.answer(g, now)
	}
}

// answer passes a grant to the request that asked. A request that no longer waits returns it.
func (a *account) answer(g *relaypb.TeamGrant, now time.Time) {
	asked := a.asks[g.GetId()]
	if asked == nil {
		return
	}
	delete(a.asks, g.GetId())
	granted := min(clampCount(g.GetGranted()), 1)
	if granted > 0 {
		grantsTotal.Inc()
		a.meter.Granted(asked.wire.GetTeam(), granted, now)
	}
	if asked.expired.IsZero() {
		asked.coordinator = a.coordinator
		asked.answered <- quota.Grant{Granted: granted, RetryAfter: millis(g.GetRetryAfterMs())}
	} else if granted > 0 {
		a.meter.Return(asked.wire.GetTeam(), now)
	}
}

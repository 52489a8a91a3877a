package quota_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

// fleet moves messages between meters and ledgers, with delays and losses.
type fleet struct {
	bound quota.Bound
	rng   *rand.Rand
	now   time.Time
	// events holds what is under way by the number of the step at which it arrives.
	events  map[int64][]func()
	hosts   []*host
	ledgers []*quota.Ledger
	limits  map[string]quota.Limit
	// demand is in requests per second over all hosts.
	demand   map[string]float64
	admitted map[string][]time.Time
	// ideal is the level of a bucket that sees all requests at once: beyond counts the requests that
	// it refuses, owed those that only the ledgers and hosts refuse.
	offered, asked, refused, owed, beyond int
	ideal                                 map[string]float64
	idealAt                               map[string]time.Time
	// doubled and lost are the shares of the reports that arrive twice or never.
	doubled, lost float64
}

type host struct {
	name        string
	meter       *quota.Meter
	ledger      int // none if negative
	listVersion uint64
	cut         bool
	started     time.Time
}

// list is the list of metered teams of a ledger.
type list struct {
	teams   []string
	version uint64
}

const step = 5 * time.Millisecond

func newFleet(seed uint64, hosts int, bound quota.Bound, limits map[string]quota.Limit) *fleet {
	f := &fleet{
		bound: bound, rng: rand.New(rand.NewPCG(seed, 1)), now: start, limits: limits, events: map[int64][]func(){}, demand: map[string]float64{},
		admitted: map[string][]time.Time{}, ideal: map[string]float64{}, idealAt: map[string]time.Time{},
	}
	f.addLedger()
	f.addHosts(hosts)
	f.run(time.Second)
	return f
}

func (f *fleet) addHosts(n int) {
	for range n {
		h := &host{name: fmt.Sprint(len(f.hosts)), started: f.now.Add(-time.Hour), meter: quota.NewMeter(f.bound)}
		f.hosts = append(f.hosts, h)
		f.connect(h, 0)
	}
	f.configure()
}

func (f *fleet) addLedger() *quota.Ledger {
	f.ledgers = append(f.ledgers, quota.NewLedger(f.bound))
	f.configure()
	return f.ledgers[len(f.ledgers)-1]
}

func (f *fleet) configure() {
	for _, l := range f.ledgers {
		l.SetConfig(func(team string) quota.Limit { return f.limits[team] }, len(f.hosts), f.now)
	}
	for i, h := range f.hosts {
		h.meter.SetHosts(len(f.hosts), i)
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.tick() + max(1, int64(d/step))
	f.events[at] = append(f.events[at], do)
}

func (f *fleet) tick() int64 { return f.now.UnixNano() / int64(step) }

// send delivers a message between a host and its ledger, unless their stream breaks meanwhile.
func (f *fleet) send(h *host, do func(*quota.Ledger)) {
	to := h.ledger
	f.after(5*time.Millisecond+time.Duration(f.rng.Int64N(int64(15*time.Millisecond))), func() {
		if to >= 0 && h.ledger == to && !h.cut {
			do(f.ledgers[to])
		}
	})
}

func (f *fleet) connect(h *host, ledger int) {
	h.meter.Disconnected(f.now)
	if h.ledger >= 0 {
		f.ledgers[h.ledger].Left(h.name, false, f.now)
	}
	h.ledger, h.listVersion, h.cut = -1, 0, false
	f.after(20*time.Millisecond, func() {
		h.ledger = ledger
		recent := h.meter.Connected(f.now)
		f.send(h, func(l *quota.Ledger) { l.Join(h.name, uint64(h.started.UnixNano()), recent, f.now) })
	})
}

func (f *fleet) connectAll(hosts []*host, ledger int) {
	for _, h := range hosts {
		f.connect(h, ledger)
	}
}

// restart starts hosts anew, which connect to the last ledger.
func (f *fleet) restart(hosts []*host) {
	for _, h := range hosts {
		h.started, h.meter = f.now, quota.NewMeter(f.bound)
	}
	f.connectAll(hosts, len(f.ledgers)-1)
	f.configure()
}

func cut(hosts []*host) {
	for _, h := range hosts {
		h.cut = true
	}
}

// load sets the demand as a multiple of the usual, which is 1/1.6 of the limit.
func (f *fleet) load(factor float64) {
	for team, limit := range f.limits {
		f.demand[team] = factor * limit.PerSecond / 1.6
	}
}

// request brings one request to a host.
func (f *fleet) request(team string, h *host) {
	limit := f.limits[team]
	f.ideal[team] = min(limit.Burst, f.ideal[team]+limit.PerSecond*f.now.Sub(f.idealAt[team]).Seconds())
	f.idealAt[team] = f.now
	within := f.ideal[team] >= 1
	if within {
		f.ideal[team]--
	} else {
		f.beyond++
	}
	f.offered++
	decide := func(d quota.Decision) {
		if d.Action == quota.Admit {
			f.admitted[team] = append(f.admitted[team], f.now)
			return
		}
		f.refused++
		if within {
			f.owed++
		}
	}
	d := h.meter.Take(team, limit, f.now)
	if d.Action != quota.AskFirst {
		decide(d)
		return
	}
	f.asked++
	done := false
	f.after(300*time.Millisecond, func() {
		if !done {
			done = true
			decide(h.meter.Unanswered(team, limit, f.now))
		}
	})
	f.ask(team, h, &done, decide)
}

// ask asks the ledger of the host, once there is one.
func (f *fleet) ask(team string, h *host, done *bool, decide func(quota.Decision)) {
	if h.ledger < 0 {
		f.after(step, func() {
			if !*done {
				f.ask(team, h, done, decide)
			}
		})
		return
	}
	f.send(h, func(l *quota.Ledger) {
		grant := l.Ask(h.name, quota.Ask{Team: team, Requests: 1}, f.now)
		f.send(h, func(*quota.Ledger) {
			if *done {
				return
			}
			*done = true
			h.meter.Granted(team, grant.Granted, f.now)
			decide(quota.Decision{Action: quota.Action(2 * (1 - grant.Granted))})
		})
	})
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		tick := f.tick()
		for _, do := range f.events[tick] {
			do()
		}
		delete(f.events, tick)
		for _, team := range slices.Sorted(maps.Keys(f.limits)) {
			for due := f.rng.ExpFloat64(); due < f.demand[team]*step.Seconds(); due += f.rng.ExpFloat64() {
				f.request(team, f.hosts[f.rng.IntN(len(f.hosts))])
			}
		}
		lists := make([]list, len(f.ledgers))
		for i, l := range f.ledgers {
			lists[i].teams, lists[i].version = l.Metered(f.now)
		}
		for i, h := range f.hosts {
			if h.ledger >= 0 {
				f.talk(h, lists[h.ledger], (tick+int64(i))%10 == 0, (tick+int64(i))%80 == 0)
			}
		}
	}
}

// talk sends the report of a host and the list of its ledger.
func (f *fleet) talk(h *host, list list, report, heartbeat bool) {
	if report {
		if counts := h.meter.Report(f.now); (len(counts) > 0 || heartbeat) && f.rng.Float64() >= f.lost {
			f.send(h, func(l *quota.Ledger) { l.Admitted(h.name, counts, f.now) })
			if f.rng.Float64() < f.doubled {
				f.send(h, func(l *quota.Ledger) { l.Admitted(h.name, counts, f.now) })
			}
		}
	}
	if replace := list.version != h.listVersion && list.version > 0; replace || heartbeat {
		h.listVersion = list.version
		f.send(h, func(*quota.Ledger) { h.meter.Heard(list.teams, replace, f.now) })
	}
}

// check asserts that no window after the given time holds more requests than the bound allows.
func (f *fleet) check(t *testing.T, from time.Time, limits map[string]quota.Limit) {
	t.Helper()
	for team, times := range f.admitted {
		limit := limits[team]
		allowed := (limit.PerSecond*f.bound.Window.Seconds()+limit.Burst)*(1+f.bound.Excess) + f.bound.Slack
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		for i, at := range times {
			if i < first {
				continue
			}
			for at.Sub(times[first]) >= f.bound.Window {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= allowed, "team %s: %d requests in a window, %.1f allowed, after %v", team, i-first+1, allowed, at.Sub(start))
		}
	}
}

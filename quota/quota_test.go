package quota_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

var (
	bound  = quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	strict = quota.Bound{Window: 5 * time.Second}
	start  = time.Unix(1e9, 0)
)

// teams have limits from a large team's to less than one request in a window.
var teams = map[string]quota.Limit{
	"large": {PerSecond: 19.2, Burst: 19.2}, "mid": {PerSecond: 2, Burst: 3}, "small": {PerSecond: 0.2, Burst: 2}, "single": {PerSecond: 0.1, Burst: 1},
}

// failures bring one failure each about; they are given a third of the hosts.
var failures = map[string]func(f *fleet, third []*host){
	"none":       func(*fleet, []*host) {},
	"owner lost": func(f *fleet, _ []*host) { f.addLedger(); f.connectAll(f.hosts, 1) },
	"two owners": func(f *fleet, third []*host) {
		f.addLedger()
		cut(third)
		f.after(quota.SilenceLimit, func() { f.connectAll(third, 1) })
	},
	"some move":      func(f *fleet, third []*host) { f.addLedger(); f.connectAll(third, 1) },
	"hosts cut":      func(_ *fleet, third []*host) { cut(third) },
	"all cut":        func(f *fleet, _ []*host) { cut(f.hosts) },
	"all restart":    func(f *fleet, _ []*host) { f.addLedger(); f.restart(f.hosts) },
	"owner restarts": func(f *fleet, _ []*host) { f.addLedger(); f.restart(f.hosts[:1]); f.connectAll(f.hosts[1:], 1) },
	"hosts added":    func(f *fleet, third []*host) { f.addHosts(len(third)) },
	"reports lost":   func(f *fleet, _ []*host) { f.lost = 0.3 },
	"reports twice":  func(f *fleet, _ []*host) { f.doubled = 0.3 },
}

// TestHotTeamStaysWithinTheBound has teams ask for ten times their usual while one thing fails.
func TestHotTeamStaysWithinTheBound(t *testing.T) {
	for name, fail := range failures {
		for seed, hosts := range []int{8, 72, 300, 8, 72, 300} {
			t.Run(fmt.Sprint(name, hosts, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(uint64(seed), hosts, []quota.Bound{bound, strict}[seed/3], teams)
				f.load(1)
				f.run(6 * time.Second)
				f.load(10)
				f.run(time.Duration(seed%2) * time.Second)
				fail(f, f.hosts[:hosts/3])
				f.run(7 * time.Second)
				f.check(t, start, teams)
			})
		}
	}
}

// TestHotTeamOfAThousandHosts guards against a bound that grows with the hosts.
func TestHotTeamOfAThousandHosts(t *testing.T) {
	f := newFleet(1, 1000, bound, teams)
	f.load(1)
	f.run(6 * time.Second)
	f.load(10)
	failures["two owners"](f, f.hosts[:300])
	f.run(7 * time.Second)
	f.check(t, start, teams)
}

// TestLowerLimitBindsAtOnce guards against a bucket that keeps the burst of an earlier limit.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	lower := map[string]quota.Limit{"large": {PerSecond: 2, Burst: 3}}
	f := newFleet(1, 72, strict, map[string]quota.Limit{"large": teams["large"]})
	f.run(time.Second)
	f.limits = lower
	f.configure()
	f.demand["large"] = 50
	changed := f.now
	f.run(10 * time.Second)
	f.check(t, changed, lower)
}

// TestCalmIsNotRefused guards against refusals below the limit, and against hops of requests
// that are far below it.
func TestCalmIsNotRefused(t *testing.T) {
	f := newFleet(1, 72, bound, teams)
	f.load(1)
	f.run(400 * time.Second)
	f.check(t, start, teams)
	assert.Assert(t, f.offered > 4000 && (f.refused-f.beyond)*1000 <= f.offered, "%d of %d refused, %d beyond the limit", f.refused, f.offered, f.beyond)
	assert.Assert(t, f.asked*8 < f.offered, "%d of %d asked", f.asked, f.offered)
}

// TestOwnerLostInCalm guards against a new ledger that refuses what is within the limit.
func TestOwnerLostInCalm(t *testing.T) {
	offered, refused := 0, 0
	for seed := range uint64(20) {
		f := newFleet(seed, 72, bound, map[string]quota.Limit{"large": teams["large"]})
		f.load(1)
		f.run(6 * time.Second)
		f.offered = 0
		failures["owner restarts"](f, nil)
		f.run(2 * time.Second)
		f.check(t, start, teams)
		offered, refused = offered+f.offered, refused+f.owed
	}
	t.Logf("%d of %d refused in the two seconds after", refused, offered)
	assert.Assert(t, refused*100 <= offered, "%d of %d refused", refused, offered)
}

// newLedger returns a ledger that has heard all of its hosts for an hour.
func newLedger(bound quota.Bound, limit quota.Limit, hosts int) *quota.Ledger {
	l := quota.NewLedger(bound)
	l.SetConfig(func(string) quota.Limit { return limit }, hosts, start)
	for i := range hosts {
		l.Join(fmt.Sprint(i), uint64(start.Add(-time.Hour).UnixNano()), nil, start)
	}
	return l
}

// TestReservedAllowance guards against a place that is granted early, to a newcomer, or twice, and one that is
// lost to the others if nobody comes.
func TestReservedAllowance(t *testing.T) {
	l := newLedger(strict, quota.Limit{PerSecond: 2, Burst: 2}, 1)
	ask := func(after time.Duration, returning bool) quota.Grant {
		return l.Ask("0", quota.Ask{Team: "a", Requests: 1, Patience: time.Second, Returning: returning}, start.Add(after))
	}
	for range 2 {
		assert.Equal(t, ask(0, false).Granted, 1)
	}
	place := ask(0, false)
	assert.Assert(t, place.Granted == 0 && place.RetryAfter.Round(time.Millisecond) == 500*time.Millisecond, "%v", place)
	assert.Assert(t, ask(490*time.Millisecond, true).Granted == 0, "early")
	assert.Assert(t, ask(510*time.Millisecond, false).Granted == 0, "a newcomer")
	assert.Assert(t, ask(510*time.Millisecond, true).Granted == 1, "in time")
	assert.Assert(t, ask(520*time.Millisecond, true).Granted == 0, "twice")
	for beat := 600 * time.Millisecond; beat < 11*time.Second; beat += 400 * time.Millisecond {
		l.Heard("0", start.Add(beat))
	}
	granted := 0
	for i := range 20 {
		granted += ask(11*time.Second+time.Duration(i), false).Granted
	}
	assert.Equal(t, granted, 2)
	l.Admitted("0", []quota.Count{{Team: "a", Requests: 3}}, start.Add(11*time.Second))
	assert.Equal(t, ask(12010*time.Millisecond, true).Granted, 0, "taken by requests that were reported late")
}

// TestCallersThatDoNotReturnCostLittle guards against reserved allowances that keep most of a limit from
// the callers that are there.
func TestCallersThatDoNotReturnCostLittle(t *testing.T) {
	limit := quota.Limit{PerSecond: 3, Burst: 3}
	l := newLedger(strict, limit, 1)
	granted := 0
	const span = 20 * time.Second
	for at := time.Duration(0); at < span; at += 125 * time.Millisecond {
		granted += l.Ask("0", quota.Ask{Team: "a", Requests: 1, Patience: 700 * time.Millisecond}, start.Add(at)).Granted
	}
	allowed := limit.PerSecond*span.Seconds() + limit.Burst
	assert.Assert(t, float64(granted) > 0.9*allowed, "%d of %v", granted, allowed)
}

// TestCallersOnTimeGoFirst guards against a limit that is used up by callers who are late already, and
// against late callers who are refused though others leave allowances.
func TestCallersOnTimeGoFirst(t *testing.T) {
	limit := quota.Limit{PerSecond: 4, Burst: 4}
	const span = 20 * time.Second
	grants := func(others bool) (onTime, late int) {
		l := newLedger(strict, limit, 1)
		for at := time.Duration(0); at < span; at += 200 * time.Millisecond {
			late += l.Ask("0", quota.Ask{Team: "a", Requests: 1, Returning: true, Late: true}, start.Add(at)).Granted
			if others {
				onTime += l.Ask("0", quota.Ask{Team: "a", Requests: 1}, start.Add(at+time.Millisecond)).Granted
			}
		}
		return onTime, late
	}
	allowed := limit.PerSecond * span.Seconds()
	onTime, late := grants(true)
	assert.Assert(t, float64(onTime) > 0.95*allowed && late < 6, "%d on time, %d late", onTime, late)
	_, late = grants(false)
	assert.Assert(t, float64(late) > 0.95*allowed, "%d late", late)
}

// TestFractionsOfTwoLedgers guards against a cut host whose share is granted twice, and a killed one whose share is
// granted by nobody.
func TestFractionsOfTwoLedgers(t *testing.T) {
	l := newLedger(strict, teams["large"], 8)
	at := start
	for beat := range 100 {
		at = at.Add(100 * time.Millisecond)
		for i := range 8 {
			if i < 4 || beat < 90 {
				l.Heard(fmt.Sprint(i), at)
			}
		}
	}
	l.Sweep(at)
	assert.Equal(t, l.Fraction(), 0.5)
	l.Left("4", true, at)
	assert.Equal(t, l.Fraction(), 0.625)
	l.Left("4", false, at)
	assert.Equal(t, l.Fraction(), 0.5)
	assert.Equal(t, l.Ask("0", quota.Ask{Team: "a", Requests: 100}, at).Granted, 9)
}

// TestPausedLedger guards against a ledger that takes its own pause for the silence of its hosts.
func TestPausedLedger(t *testing.T) {
	l := newLedger(strict, teams["large"], 8)
	l.Heard("0", start.Add(time.Second))
	assert.Equal(t, l.Fraction(), 1.0)
	l.Sweep(start.Add(1150 * time.Millisecond))
	assert.Equal(t, l.Fraction(), 0.125)
	l.Heard("0", start.Add(4*time.Second))
	_, version := l.Metered(start.Add(4 * time.Second))
	assert.Equal(t, version, uint64(0), "what was admitted in a long pause is not known")
}

// TestTeamsWithoutUsableLimit guards against requests of a team that is gone or has an invalid limit, and a hop or
// state of one without limit.
func TestTeamsWithoutUsableLimit(t *testing.T) {
	m := quota.NewMeter(bound)
	assert.Equal(t, m.Take("a", quota.Limit{}, start).Action, quota.Admit)
	for _, limit := range []quota.Limit{{Invalid: true}, {PerSecond: -1}, {PerSecond: math.Inf(1)}, {PerSecond: 1, Burst: math.NaN()}} {
		assert.Equal(t, m.Take("a", limit, start).Action, quota.Refuse)
		assert.Equal(t, m.Unanswered("a", limit, start).Action, quota.Refuse)
		assert.Equal(t, newLedger(bound, limit, 1).Ask("0", quota.Ask{Team: "a", Requests: 1}, start).Granted, 0)
	}
	assert.Equal(t, len(m.Connected(start)), 0)
	assert.Equal(t, newLedger(bound, quota.Limit{}, 1).Ask("0", quota.Ask{Team: "a", Requests: 3}, start).Granted, 3)
	l := newLedger(bound, teams["large"], 1)
	l.Admitted("0", []quota.Count{{Team: "a", Requests: 15}}, start)
	metered, _ := l.Metered(start)
	assert.DeepEqual(t, metered, []string{"a"})
	l.SetConfig(func(string) quota.Limit { return quota.Limit{Invalid: true} }, 1, start)
	metered, _ = l.Metered(start)
	assert.Assert(t, len(metered) == 0 && l.Ask("0", quota.Ask{Team: "a", Requests: 1}, start).Granted == 0)
}

// TestReportsOfReturnsAndReconnects guards against a returned request that stays counted, and requests that two reports
// tell or none.
func TestReportsOfReturnsAndReconnects(t *testing.T) {
	m := quota.NewMeter(bound)
	m.Connected(start)
	m.Heard(nil, true, start)
	assert.Equal(t, m.Take("a", teams["large"], start).Action, quota.Admit)
	assert.DeepEqual(t, m.Report(start), []quota.Count{{Team: "a", Requests: 1}})
	m.Return("a", start)
	assert.DeepEqual(t, m.Report(start), []quota.Count{{Team: "a", Requests: -1}})
	m.Granted("a", 2, start)
	m.Take("a", teams["large"], start.Add(time.Millisecond))
	m.Disconnected(start.Add(time.Second))
	// The ledger may have received neither the second report nor the third.
	recent := m.Connected(start.Add(time.Second))
	assert.Equal(t, recent[0].Requests+m.Report(start.Add(time.Second))[0].Requests, 3)

	l := newLedger(strict, quota.Limit{PerSecond: 1, Burst: 4}, 1)
	l.Admitted("0", []quota.Count{{Team: "a", Requests: 9}, {Team: "a", Requests: -1000}}, start)
	assert.Equal(t, l.Ask("0", quota.Ask{Team: "a", Requests: 9}, start).Granted, 4)
}

// TestRetryDelayIsHonest guards against a host alone that names a time at which it refuses again.
func TestRetryDelayIsHonest(t *testing.T) {
	for _, hosts := range []int{3, 8, 72, 300} {
		m, now := quota.NewMeter(bound), start
		m.SetHosts(hosts, hosts/2)
		m.Take("a", teams["large"], now)
		now = now.Add(250 * time.Millisecond)
		for range 10 {
			d := m.Take("a", teams["large"], now)
			if d.Action == quota.Refuse {
				now = now.Add(d.RetryAfter)
				d = m.Take("a", teams["large"], now)
			}
			assert.Equal(t, d.Action, quota.Admit)
		}
	}
}

// FuzzLedger feeds any messages of a host to a ledger, which must neither panic nor grant more than the limit.
func FuzzLedger(f *testing.F) {
	f.Add([]byte("\x00\x05\x00\x00\x00\x00\x00\x00\x00\x10\x00\x00"))
	f.Add([]byte("\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02\x01\x00\x00\x00\x00\x00\x00\x80\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		limit := quota.Limit{PerSecond: 4, Burst: 7}
		l, now := newLedger(strict, limit, 2), start
		granted := 0
		for ; len(data) >= 12; data = data[12:] {
			n, age := int(int64(binary.LittleEndian.Uint64(data[1:9]))), time.Duration(int32(binary.LittleEndian.Uint32(data[8:12])))
			name := fmt.Sprint(data[0] >> 4)
			now = now.Add(time.Duration(data[11]) * time.Millisecond)
			switch data[0] % 5 {
			case 0:
				granted += l.Ask(name, quota.Ask{Team: "a", Requests: n, Patience: age, Returning: data[0]&8 > 0}, now).Granted
			case 1:
				l.Admitted(name, []quota.Count{{Team: "a", Requests: max(n, 0), Age: age}, {Team: string(data[:4]), Requests: n, Age: age}}, now)
			case 2:
				l.Join(name, uint64(n), []quota.Count{{Team: "a", Requests: n, Age: age}}, now)
			case 3:
				l.Left(name, data[0]&8 > 0, now)
			case 4:
				l.Sweep(now)
				l.SetConfig(func(string) quota.Limit { return limit }, n, now)
			}
			assert.Assert(t, float64(granted) <= limit.Burst+limit.PerSecond*now.Sub(start).Seconds()+1e-3)
		}
	})
}

// BenchmarkTake has 100,000 known teams of which 100 are active.
func BenchmarkTake(b *testing.B) {
	m, l, limits := quota.NewMeter(bound), newLedger(bound, teams["large"], 72), make(map[string]quota.Limit, 100_000)
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
		limits[names[i]] = quota.Limit{PerSecond: 1e6, Burst: 1e6}
	}
	m.Connected(start)
	m.Heard(names[50_000:], true, start)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		team := names[i%100]
		now := start.Add(time.Duration(i) * time.Microsecond)
		m.Heard(nil, false, now)
		m.Take(team, limits[team], now)
		if i%50_000 == 0 {
			l.Heard("0", now)
			l.Admitted("0", m.Report(now), now)
		}
	}
}

// TestRaisedLimitStaysWithinTheBound guards against hosts that admit freely because a higher limit
// does not have the team metered at all times, before the ledger knows that limit.
func TestRaisedLimitStaysWithinTheBound(t *testing.T) {
	before, raised := quota.Limit{PerSecond: 1, Burst: 2}, quota.Limit{PerSecond: 2, Burst: 4}
	for seed := range uint64(10) {
		f := newFleet(seed, 5, quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 5}, map[string]quota.Limit{"team": before})
		f.load(200)
		f.run(10 * time.Second)
		f.limits["team"] = raised
		f.run(400 * time.Millisecond) // A ledger learns of a limit with its heartbeat.
		f.configure()
		f.run(10 * time.Second)
		f.check(t, start, map[string]quota.Limit{"team": raised})
	}
}

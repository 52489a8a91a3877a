package quota

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// reconnectTime is how long a host that has lost its ledger lets requests ask the next one before
	// it decides alone.
	reconnectTime = 200 * time.Millisecond
	// freshness is how old the last message of the ledger may be for requests to be admitted without
	// asking: its heartbeats come every 400 ms.
	freshness = 500 * time.Millisecond
	// idleTTL is how long a host remembers a team without requests, beyond the window.
	idleTTL = 10 * time.Second
)

// Meter decides on the requests of teams at one host. It is not safe for concurrent use.
type Meter struct {
	bound       Bound
	hosts, rank int
	teams       map[string]*hostCount
	// connected is set while there is a stream to a ledger, heard is when its last message arrived.
	connected bool
	heard     time.Time
	// lost is when the last stream ended, or when the first request came if there was none.
	lost time.Time
	// listed is set once the ledger has sent the metered teams.
	listed  bool
	metered map[string]bool
	// unanswered and unansweredSince are when the last ask, and the first of those within a
	// window of each other, found no answer.
	unanswered, unansweredSince time.Time
	swept                       time.Time
}

// hostCount counts the requests of one team at one host.
type hostCount struct {
	recent window
	used   time.Time
	// pending are the requests admitted without allowance that are not reported yet.
	pending int
	// free are those that the ledger may not know yet, the last of them admitted at freeAt.
	free   int
	freeAt time.Time
	// own is what remains of the fraction of the limit that the host uses alone.
	own ownShare
}

// NewMeter returns the meter of a host that is not connected.
func NewMeter(bound Bound) *Meter {
	bound.Window = max(bound.Window, time.Millisecond)
	return &Meter{bound: bound, hosts: 1, teams: map[string]*hostCount{}}
}

// SetHosts sets the number of known hosts and the rank (from 0) of this one among them in an order
// that all hosts share.
func (m *Meter) SetHosts(n, rank int) {
	m.hosts = max(1, n)
	m.rank = max(0, min(rank, m.hosts-1))
}

// Take decides on a request.
func (m *Meter) Take(team string, limit Limit, now time.Time) Decision {
	if !limit.Limited() {
		return Decision{Action: Admit}
	}
	if !limit.usable() {
		return Decision{Action: Refuse, RetryAfter: never}
	}
	if m.lost.IsZero() {
		m.lost = now
	}
	if !m.inTouch(now) {
		if !m.connected && now.Sub(m.lost) < reconnectTime {
			return Decision{Action: AskFirst}
		}
		return m.takeOwn(team, limit, now)
	}
	if !m.listed || now.Sub(m.heard) > freshness || m.metered[team] || m.bound.alwaysMetered(limit) {
		return Decision{Action: AskFirst}
	}
	t := m.count(team, now)
	m.acknowledge(t)
	if float64(t.free) >= max(1, m.bound.tolerance(limit)/float64(m.hosts)) {
		return Decision{Action: AskFirst}
	}
	t.free, t.freeAt = t.free+1, now
	t.pending++
	t.recent.add(1, 0, m.bound.Window, now)
	return Decision{Action: Admit}
}

// Granted records n requests that run on allowances of the ledger.
func (m *Meter) Granted(team string, n int, now time.Time) {
	if n = clampCount(n); n > 0 {
		m.count(team, now).recent.add(n, 0, m.bound.Window, now)
	}
}

// Return records that an admitted request was not run.
func (m *Meter) Return(team string, now time.Time) {
	t := m.teams[team]
	if t == nil || t.recent.sum(m.bound.Window, now) == 0 {
		return
	}
	t.recent.remove(m.bound.Window, now)
	if m.inTouch(now) {
		t.pending--
	}
}

// Unanswered decides on a request for which the ledger did not answer in time. An admitted one is
// reported, as a ledger that only answers late goes on granting to other hosts.
func (m *Meter) Unanswered(team string, limit Limit, now time.Time) Decision {
	if !limit.Limited() {
		return Decision{Action: Admit}
	}
	if !limit.usable() {
		return Decision{Action: Refuse, RetryAfter: never}
	}
	if now.Sub(m.unanswered) > m.bound.Window {
		m.unansweredSince = now
	}
	m.unanswered = now
	d := m.takeOwn(team, limit, now)
	if d.Action == Admit && m.inTouch(now) {
		m.count(team, now).pending++
	}
	return d
}

// Connected records that a stream to a ledger has begun. It returns what was admitted in the last
// window, without what is yet to be reported.
func (m *Meter) Connected(now time.Time) (recent []Count) {
	m.sweep(now)
	for _, team := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[team]
		m.acknowledge(t)
		// The ledger may not have received the last reports.
		t.pending = max(t.pending, t.free)
		unreported := t.pending
		t.recent.each(m.bound.Window, now, func(n int, age time.Duration) {
			known := n - max(0, min(n, unreported))
			unreported -= n - known
			if known > 0 {
				recent = append(recent, Count{Team: team, Requests: known, Age: age})
			}
		})
	}
	m.connected, m.heard, m.listed, m.metered = true, now, false, nil
	return recent
}

// Heard records a message of the ledger. replace is set if metered is its list of metered teams.
func (m *Meter) Heard(metered []string, replace bool, now time.Time) {
	m.heard = now
	if !replace {
		return
	}
	m.listed, m.metered = true, make(map[string]bool, len(metered))
	for _, team := range metered {
		m.metered[team] = true
	}
}

// Disconnected records that the stream to the ledger has ended.
func (m *Meter) Disconnected(now time.Time) {
	if !m.connected {
		return
	}
	m.connected, m.lost = false, now
	if now.Sub(m.heard) > hostSilenceLimit {
		m.lost = m.heard
	}
}

// Report returns the requests admitted without allowance since the last report.
func (m *Meter) Report(now time.Time) (counts []Count) {
	if now.Sub(m.swept) > m.bound.Window {
		m.sweep(now)
	}
	for team, t := range m.teams {
		if t.pending != 0 {
			counts = append(counts, Count{Team: team, Requests: t.pending})
			t.pending = 0
		}
	}
	slices.SortFunc(counts, func(a, b Count) int { return strings.Compare(a.Team, b.Team) })
	return counts
}

// inTouch reports whether the ledger is heard.
func (m *Meter) inTouch(now time.Time) bool {
	return m.connected && now.Sub(m.heard) <= SilenceLimit
}

// takeOwn admits a request if the host's own fraction of the limit allows it.
func (m *Meter) takeOwn(team string, limit Limit, now time.Time) Decision {
	t := m.count(team, now)
	m.acknowledge(t)
	ok, wait := t.own.take(m.bound, limit, m.hosts, m.rank, m.aloneSince(now), now, t.free, t.freeAt)
	if !ok {
		return Decision{Action: Refuse, RetryAfter: wait}
	}
	t.recent.add(1, 0, m.bound.Window, now)
	return Decision{Action: Admit}
}

// aloneSince returns from when on the host uses its own fraction: when the ledger no longer grants it to others.
func (m *Meter) aloneSince(now time.Time) time.Time {
	switch {
	case !m.connected:
		return m.lost.Add(hostSilenceLimit)
	case !m.inTouch(now):
		return m.heard.Add(hostSilenceLimit)
	default:
		return m.unansweredSince.Add(hostSilenceLimit)
	}
}

// acknowledge forgets the free requests that the ledger knew when it was heard last.
func (m *Meter) acknowledge(t *hostCount) {
	if m.heard.Sub(t.freeAt) >= verdictDelay {
		t.free = 0
	}
}

func (m *Meter) count(team string, now time.Time) *hostCount {
	t := m.teams[team]
	if t == nil {
		t = &hostCount{}
		m.teams[team] = t
	}
	t.used = now
	return t
}

// sweep forgets idle teams.
func (m *Meter) sweep(now time.Time) {
	m.swept = now
	for team, t := range m.teams {
		if t.pending == 0 && now.Sub(t.used) > m.bound.Window+idleTTL {
			delete(m.teams, team)
		}
	}
}

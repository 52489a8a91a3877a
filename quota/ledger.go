package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// SilenceLimit is the silence after which a host takes its ledger for lost.
	SilenceLimit = 1200 * time.Millisecond
	// hostSilenceLimit is the silence after which a ledger no longer counts a host. It is shorter by a
	// heartbeat, so that a ledger has stopped granting a host's fraction when the host turns elsewhere.
	hostSilenceLimit = 800 * time.Millisecond
	// settleTime is how long a new ledger waits for the reports of hosts.
	settleTime = 500 * time.Millisecond
	// absentShare is the share of the hosts (besides one) for which a new ledger does not wait.
	absentShare = 0.05
	// endedTTL is for how long a host counts as heard whose process ended. By then it runs again
	// or is no longer known.
	endedTTL = 10 * time.Second
	// checkInterval is the interval at which silent hosts and refilled buckets are looked for.
	checkInterval = 50 * time.Millisecond
	// pausedTime is the time without a call after which the ledger was paused itself; hosts then have
	// resumeTime to be heard.
	pausedTime = 200 * time.Millisecond
	resumeTime = 100 * time.Millisecond
	// lateReserve is the number of free allowances from which late callers get one. With fewer, it
	// would be missing for a request that can still be answered on time.
	lateReserve = 2
	// riseMemory is for how long a rise of the fraction matters to idle buckets.
	riseMemory = time.Minute
)

// Ledger accounts for the requests of all teams on the coordinator. It is not safe for
// concurrent use.
type Ledger struct {
	bound  Bound
	limits func(team string) Limit
	known  int
	hosts  map[string]*heardHost
	teams  map[string]*account
	// metered holds the metered teams among teams; version changes with it.
	metered map[string]*account
	version uint64
	// list holds the names of metered, in order, as of listVersion; listedAt is when refilled
	// buckets were looked for last.
	list        []string
	listVersion uint64
	listedAt    time.Time

	// fraction is the share of the known hosts that are heard.
	fraction  float64
	checkedAt time.Time
	// startedAt is when the first host was heard; zero if none is.
	startedAt time.Time
	// settledAt is when the buckets were derived from the reports of the hosts; zero before.
	// missing is the share of the hosts whose requests before that are unknown.
	settledAt time.Time
	missing   float64
	// risen is when the fraction last rose, and risenFrom the lowest since.
	risen     time.Time
	risenFrom float64
}

// heardHost is a host that has connected.
type heardHost struct {
	incarnation uint64
	at          time.Time
	// ended is set if the process has ended.
	ended bool
	// complete is set if the process has reported all that it admitted in the window before.
	complete bool
}

// account is the bucket of one team.
type account struct {
	bucket
	// limit is the last usable limit. unlimited is set while there is none: the bucket then stays, in
	// case that the limit comes back.
	limit     Limit
	unlimited bool
	// taken are the requests in the current window.
	taken window
	// below and above are the levels at which the team becomes metered and free.
	below, above float64
}

// NewLedger returns a ledger that has not heard any host.
func NewLedger(bound Bound) *Ledger {
	bound.Window = max(bound.Window, time.Millisecond)
	return &Ledger{
		bound: bound, limits: func(string) Limit { return Limit{Invalid: true} }, version: 1,
		hosts: map[string]*heardHost{}, teams: map[string]*account{}, metered: map[string]*account{},
	}
}

// SetConfig sets the limits in force and the number of known hosts. limits returns an invalid limit
// for a team that is not configured.
func (l *Ledger) SetConfig(limits func(team string) Limit, hosts int, now time.Time) {
	l.check(now)
	if gone := l.known - hosts; gone > 0 {
		l.forgetEnded(gone)
	}
	l.limits, l.known = limits, max(0, hosts)
	for team, a := range l.teams {
		a.refill(now)
		limit := limits(team)
		if a.unlimited = !limit.Limited() || !limit.usable(); !a.unlimited {
			a.limit = limit
			l.scale(a)
		}
		l.meter(team, a)
	}
	l.recheck(now)
}

// Join records that a host has connected. incarnation is the start time of its process in Unix
// nanoseconds; recent is what it admitted in the last window, without what it will yet report.
func (l *Ledger) Join(host string, incarnation uint64, recent []Count, now time.Time) {
	l.check(now)
	if h := l.hosts[host]; h != nil && !h.ended && incarnation < h.incarnation {
		return
	}
	if l.startedAt.IsZero() {
		l.startedAt, l.risen, l.risenFrom = now, now, 0
	}
	age := now.UnixNano() - int64(min(incarnation, math.MaxInt64))
	l.hosts[host] = &heardHost{incarnation: incarnation, at: now, complete: age >= int64(l.bound.Window)}
	if l.settledAt.IsZero() {
		for _, c := range recent {
			if a := l.account(c.Team, now); a != nil {
				a.taken.add(clampCount(c.Requests), c.Age, l.bound.Window, now)
			}
		}
	}
	l.recheck(now)
}

// Heard records that a message of the host arrived.
func (l *Ledger) Heard(host string, now time.Time) {
	h := l.hosts[host]
	if h == nil || h.ended {
		return
	}
	if now.Sub(h.at) <= hostSilenceLimit && !l.startedAt.IsZero() {
		h.at = now
		l.check(now)
		return
	}
	// Whether the others were silent too has to be seen first.
	l.recheck(now)
	h.at = now
	l.recheck(now)
}

// Left records that the stream of a host ended. ended is set if its process has ended: it then
// counts as heard, as it admits nothing elsewhere. Once a later process of it is known, Left is called without ended.
func (l *Ledger) Left(host string, ended bool, now time.Time) {
	h := l.hosts[host]
	switch {
	case h == nil:
		return
	case ended:
		h.ended, h.at = true, now
	default:
		delete(l.hosts, host)
	}
	l.recheck(now)
}

// Admitted records the requests that a host admitted without asking.
func (l *Ledger) Admitted(host string, counts []Count, now time.Time) {
	l.Heard(host, now)
	for _, c := range counts {
		a := l.account(c.Team, now)
		if a == nil {
			continue
		}
		n := clampCount(c.Requests)
		if n < 0 {
			n = -min(-n, a.taken.sum(l.bound.Window, now))
		}
		a.taken.add(n, c.Age, l.bound.Window, now)
		a.put(-n)
		l.meter(c.Team, a)
	}
}

// Ask answers a host that asks for allowances.
func (l *Ledger) Ask(host string, ask Ask, now time.Time) Grant {
	l.Heard(host, now)
	n := clampCount(ask.Requests)
	if n <= 0 {
		return Grant{}
	}
	limit := l.limits(ask.Team)
	if !limit.Limited() {
		return Grant{Granted: n}
	}
	a := l.account(ask.Team, now)
	if a == nil {
		return Grant{RetryAfter: never}
	}
	granted := 0
	if ask.Returning {
		granted = a.claim(n, now)
	}
	if !ask.Late || a.free() >= min(lateReserve, a.depth) {
		granted += a.take(n - granted)
	}
	a.taken.add(granted, 0, l.bound.Window, now)
	grant := Grant{Granted: granted}
	if granted < n {
		grant.RetryAfter = a.reserve(n-granted, ask.Patience, now)
	}
	l.meter(ask.Team, a)
	return grant
}

// Metered returns the teams for which hosts must ask, in order, and a version that changes with the list.
// The list must not be changed. It is called for each message, so it looks for refilled buckets only at times.
// Version 0 means that the ledger does not know yet: no list must be sent then, and hosts ask for
// every team.
func (l *Ledger) Metered(now time.Time) (teams []string, version uint64) {
	l.check(now)
	if l.settledAt.IsZero() {
		return nil, 0
	}
	if now.Sub(l.listedAt) >= checkInterval {
		l.listedAt = now
		for team, a := range l.metered {
			a.refill(now)
			l.meter(team, a)
		}
	}
	if l.listVersion != l.version {
		l.list, l.listVersion = slices.Sorted(maps.Keys(l.metered)), l.version
	}
	return l.list, l.version
}

// Sweep forgets hosts that are silent and teams that are idle.
func (l *Ledger) Sweep(now time.Time) {
	l.recheck(now)
	for name, h := range l.hosts {
		if now.Sub(h.at) > endedTTL {
			delete(l.hosts, name)
		}
	}
	for team, a := range l.teams {
		a.refill(now)
		l.meter(team, a)
		if (a.unlimited || a.level >= a.depth && (l.metered[team] == nil || a.below > a.depth)) && a.taken.sum(l.bound.Window, now) == 0 {
			l.drop(team)
		}
	}
}

// Fraction returns the share of the known hosts that the ledger hears.
func (l *Ledger) Fraction() float64 { return l.fraction }

// account returns the account of a team, up to date; nil if it has no usable limit.
func (l *Ledger) account(team string, now time.Time) *account {
	if a := l.teams[team]; a != nil {
		if a.unlimited {
			return nil
		}
		a.refill(now)
		return a
	}
	limit := l.limits(team)
	if !limit.Limited() || !limit.usable() {
		return nil
	}
	a := &account{limit: limit, bucket: bucket{at: now}}
	l.scale(a)
	a.level = l.idleLevel(a, now)
	a.put(0)
	l.teams[team] = a
	l.meter(team, a)
	return a
}

// idleLevel returns the level of a bucket from which nothing was taken since the ledger started.
func (l *Ledger) idleLevel(a *account, now time.Time) float64 {
	if l.startedAt.IsZero() {
		return 0
	}
	level := l.startLevel(a) + a.rate*now.Sub(l.startedAt).Seconds()
	if l.settledAt.IsZero() {
		return level
	}
	level = max(level, l.levelFrom(a, now)+a.rate*now.Sub(l.settledAt).Seconds())
	_, depth := l.bound.scale(a.limit, l.risenFrom)
	return min(level, depth+a.rate*now.Sub(l.risen).Seconds())
}

// startLevel returns the level with which a bucket begins while it is not known what was admitted before.
func (l *Ledger) startLevel(a *account) float64 {
	return min(max(1, a.limit.Burst/2), startShare*l.bound.Slack)
}

// scale sets the size of a bucket by the fraction of the limit that the ledger may grant.
func (l *Ledger) scale(a *account) {
	a.rate, a.depth = l.bound.scale(a.limit, l.fraction)
	if l.settledAt.IsZero() {
		a.depth = max(a.depth, l.startLevel(a))
	}
	a.maxDebt = a.limit.PerSecond * l.bound.Window.Seconds()
	tolerance := l.fraction*(l.bound.allowed(a.limit)+l.bound.tolerance(a.limit)) - a.rate*l.bound.Window.Seconds() - a.depth
	a.below = l.bound.meteredBelow(a.limit, a.depth, tolerance)
	a.above = (a.below + a.depth) / 2
	a.put(0)
}

// meter notes whether a team is metered. Hosts are told also of one that is always metered, as they
// may know of a higher limit first.
func (l *Ledger) meter(team string, a *account) {
	metered := l.metered[team] != nil
	switch {
	case metered && (a.unlimited || a.level >= a.above):
		delete(l.metered, team)
	case !a.unlimited && a.level < a.below:
		l.metered[team] = a
	}
	if metered != (l.metered[team] != nil) {
		l.version++
	}
}

func (l *Ledger) drop(team string) {
	delete(l.teams, team)
	if l.metered[team] != nil {
		delete(l.metered, team)
		l.version++
	}
}

// forgetEnded stops counting the n hosts that ended first.
func (l *Ledger) forgetEnded(n int) {
	var ended []string
	for name, h := range l.hosts {
		if h.ended {
			ended = append(ended, name)
		}
	}
	slices.SortFunc(ended, func(a, b string) int { return l.hosts[a].at.Compare(l.hosts[b].at) })
	for _, name := range ended[:min(n, len(ended))] {
		delete(l.hosts, name)
	}
}

// check looks for hosts that have become silent.
func (l *Ledger) check(now time.Time) {
	if now.Sub(l.checkedAt) >= checkInterval {
		l.recheck(now)
	}
}

// recheck counts the hosts that are heard, and settles a new ledger.
func (l *Ledger) recheck(now time.Time) {
	if now.Sub(l.checkedAt) > pausedTime {
		l.resume(now)
	}
	l.checkedAt = now
	heard, ended, complete := 0, 0, 0
	for _, h := range l.hosts {
		switch {
		case h.ended && now.Sub(h.at) <= endedTTL:
			ended++
		case !h.ended && now.Sub(h.at) <= hostSilenceLimit:
			heard++
			if h.complete {
				complete++
			}
		}
	}
	known := max(l.known, heard)
	if heard == 0 {
		l.reset(now)
		return
	}
	if l.startedAt.IsZero() {
		l.startedAt, l.risen, l.risenFrom = now, now, 0
	}
	l.setFraction(min(1, float64(heard+ended)/float64(known)), now)
	few := float64(heard) < float64(known)*(1-absentShare)-1
	if l.settledAt.IsZero() && (!few || now.Sub(l.startedAt) >= settleTime) {
		l.settle(1-float64(complete)/float64(known), now)
	}
}

// resume keeps counting, for a moment, the hosts that have not had the time to turn elsewhere.
func (l *Ledger) resume(now time.Time) {
	for _, h := range l.hosts {
		if !h.ended && now.Sub(h.at) <= SilenceLimit {
			h.at = later(h.at, now.Add(resumeTime-hostSilenceLimit))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// setFraction changes the size of all buckets.
func (l *Ledger) setFraction(fraction float64, now time.Time) {
	if fraction == l.fraction {
		return
	}
	if fraction > l.fraction {
		if now.Sub(l.risen) > riseMemory {
			l.risenFrom = l.fraction
		}
		l.risen = now
	}
	l.risenFrom = min(l.risenFrom, l.fraction, fraction)
	for _, a := range l.teams {
		a.refill(now)
	}
	l.fraction = fraction
	for team, a := range l.teams {
		l.scale(a)
		l.meter(team, a)
	}
}

// reset forgets all that was derived from the reports of hosts, as none is heard.
func (l *Ledger) reset(now time.Time) {
	l.setFraction(0, now)
	l.startedAt, l.settledAt = time.Time{}, time.Time{}
	for team := range l.teams {
		l.drop(team)
	}
	for _, h := range l.hosts {
		h.complete = false
	}
}

// settle derives the buckets from what the hosts admitted in the last window. missing is the
// share of the hosts for which that is unknown.
func (l *Ledger) settle(missing float64, now time.Time) {
	l.settledAt, l.missing = now, missing
	for team, a := range l.teams {
		a.refill(now)
		l.scale(a)
		a.level = max(a.level, l.levelFrom(a, now))
		a.put(0)
		l.meter(team, a)
	}
	l.risen, l.risenFrom = now, l.fraction
}

// levelFrom returns the level that a bucket has at least, given the requests taken in the last
// window. Of missing hosts it assumes that they admitted their share of the whole limit.
func (l *Ledger) levelFrom(a *account, now time.Time) float64 {
	level, sum := a.depth, 0
	a.taken.each(l.bound.Window, now, func(n int, age time.Duration) {
		sum += n
		level = min(level, a.depth+a.rate*age.Seconds()-float64(sum))
	})
	unknown := 0.0
	if l.missing > 0 {
		unknown = atMost(l.missing * l.bound.allowed(a.limit))
	}
	return level - max(0, unknown-l.bound.tolerance(a.limit))
}

func clampCount(n int) int { return max(-maxCount, min(maxCount, n)) }

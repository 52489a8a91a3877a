package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// An update is sent retransmitFactor * bits.Len(n) times, where n is the number
	// of hosts in the table.
	retransmitFactor = 3
	// maxFacts bounds the result of PendingFacts.
	maxFacts = 16
	// deadProbeInterval is the number of probes of which one goes to a dead
	// member, so that the two sides of a healed partition rejoin.
	deadProbeInterval = 8
	// deadRetention is how long the tombstone of a dead member is kept, so that
	// the platform's host list, which may be out of date, does not add it again.
	deadRetention = 10 * time.Minute
)

// Settings configures a Table.
type Settings struct {
	// SuspicionTimeout is the time a suspect member has to refute before it is
	// declared dead.
	SuspicionTimeout time.Duration
}

type record struct {
	fact Fact
	// factSince is when fact last changed; the suspicion timeout and the retention
	// of dead members count from it.
	factSince time.Time
	// transmits counts how often the fact was sent.
	transmits int
	queued    bool
}

// Table is one host's view of the members. It is not safe for concurrent use.
type Table struct {
	settings Settings
	rng      *rand.Rand
	self     Fact
	records  map[string]*record
	// pending are the records still to be sent to other members.
	pending []*record
	// probeOrder lists the members not yet probed in this round; the last is next.
	probeOrder    []string
	probeCount    int
	suspectCount  int
	deadCount     int
	version       uint64
	cachedMembers []Fact
}

// NewTable returns a table that contains only this host.
func NewTable(self Fact, settings Settings, rng *rand.Rand) *Table {
	t := &Table{settings: settings, rng: rng, self: self, records: map[string]*record{}}
	t.enqueue(&record{fact: self})
	return t
}

// Self returns the fact about this host.
func (t *Table) Self() Fact { return t.self }

// Version returns a number that increases whenever the result of Members may change.
func (t *Table) Version() uint64 { return t.version }

// Members returns the facts about this host and all others not known to be
// dead, sorted by host name. The caller must not modify the slice.
func (t *Table) Members() []Fact {
	if t.cachedMembers == nil {
		t.cachedMembers = t.filter(func(f Fact) bool { return f.State != Dead })
	}
	return t.cachedMembers
}

// All returns every fact, including those about dead members, sorted by host
// name.
func (t *Table) All() []Fact {
	return t.filter(func(Fact) bool { return true })
}

// filter returns the fact about this host and all others for which keep returns
// true, sorted by host name.
func (t *Table) filter(keep func(Fact) bool) []Fact {
	facts := make([]Fact, 0, len(t.records)+1)
	facts = append(facts, t.self)
	for _, r := range t.records {
		if keep(r.fact) {
			facts = append(facts, r.fact)
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return strings.Compare(a.Host, b.Host) })
	return facts
}

// Probe returns the member to probe next, and false if there is none. In each
// round, all members that are not dead are probed once, in random order. Every
// deadProbeInterval-th call returns a random dead member instead, if there is one.
func (t *Table) Probe() (Fact, bool) {
	t.probeCount++
	if t.probeCount%deadProbeInterval == 0 && t.deadCount > 0 {
		if dead, ok := t.randomDead(); ok {
			return dead, true
		}
	}
	for range 2 { // The second pass reads the refilled order.
		for len(t.probeOrder) > 0 {
			host := t.probeOrder[len(t.probeOrder)-1]
			t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
			if r := t.records[host]; r != nil && r.fact.State != Dead {
				return r.fact, true
			}
		}
		t.refillProbeOrder()
	}
	return Fact{}, false
}

func (t *Table) refillProbeOrder() {
	for host, r := range t.records {
		if r.fact.State != Dead {
			t.probeOrder = append(t.probeOrder, host)
		}
	}
	slices.Sort(t.probeOrder)
	t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

func (t *Table) randomDead() (Fact, bool) {
	var dead []Fact
	for _, r := range t.records {
		if r.fact.State == Dead {
			dead = append(dead, r.fact)
		}
	}
	if len(dead) == 0 {
		return Fact{}, false
	}
	slices.SortFunc(dead, func(a, b Fact) int { return strings.Compare(a.Host, b.Host) })
	return dead[t.rng.IntN(len(dead))], true
}

// LoadFacts adds the facts of another host's table when this host joins. Facts about
// members not yet in the table are not broadcast, as other hosts have them.
func (t *Table) LoadFacts(facts []Fact, now time.Time) {
	for _, f := range facts {
		if f.Host != t.self.Host && t.records[f.Host] == nil {
			t.records[f.Host] = &record{fact: f, factSince: now}
			t.adjustCount(f.State, 1)
			t.invalidate()
		} else {
			t.merge(f, now)
		}
	}
}

// Merge applies facts received from other hosts and reports whether any of them
// changed the table.
func (t *Table) Merge(facts []Fact, now time.Time) bool {
	changed := false
	for _, f := range facts {
		if t.merge(f, now) {
			changed = true
		}
	}
	return changed
}

func (t *Table) merge(f Fact, now time.Time) bool {
	if f.Host == t.self.Host {
		return t.refute(f)
	}
	old := t.records[f.Host]
	if old == nil {
		r := &record{fact: f, factSince: now}
		t.records[f.Host] = r
		t.adjustCount(f.State, 1)
		t.enqueue(r)
		return true
	}
	if !f.supersedes(old.fact) {
		return false
	}
	t.adjustCount(old.fact.State, -1)
	t.adjustCount(f.State, 1)
	old.fact = f
	old.factSince = now
	t.enqueue(old)
	return true
}

// refute answers a claim that supersedes this host's own fact by raising the
// incarnation above that of the claim.
func (t *Table) refute(f Fact) bool {
	if !f.supersedes(t.self) {
		return false
	}
	t.self.Incarnation = f.Incarnation + 1
	t.broadcastSelf()
	return true
}

func (t *Table) broadcastSelf() {
	for _, r := range t.pending {
		if r.fact.Host == t.self.Host {
			r.fact = t.self
			r.transmits = 0
			t.invalidate()
			return
		}
	}
	t.enqueue(&record{fact: t.self})
}

func (t *Table) adjustCount(s State, delta int) {
	switch s {
	case Suspect:
		t.suspectCount += delta
	case Dead:
		t.deadCount += delta
	}
}

func (t *Table) enqueue(r *record) {
	r.transmits = 0
	if !r.queued {
		r.queued = true
		t.pending = append(t.pending, r)
	}
	t.invalidate()
}

// invalidate drops the cached member list and increments the version.
func (t *Table) invalidate() {
	t.version++
	t.cachedMembers = nil
}

// ProbeFailed records that a member did not answer a probe. An alive member becomes
// suspect; a leaving one is considered to have left and becomes dead.
func (t *Table) ProbeFailed(host string, now time.Time) {
	r := t.records[host]
	if r == nil {
		return
	}
	claim := r.fact
	switch r.fact.State {
	case Alive:
		claim.State = Suspect
	case Leaving:
		claim.State = Dead
	default:
		return
	}
	t.merge(claim, now)
}

// Tick declares members dead whose suspicion has timed out and removes expired
// tombstones. It returns the facts about the members newly declared dead.
func (t *Table) Tick(now time.Time) []Fact {
	if t.suspectCount == 0 && t.deadCount == 0 {
		return nil
	}
	var newlyDead []Fact
	for host, r := range t.records {
		if r.fact.State == Suspect && now.Sub(r.factSince) >= t.settings.SuspicionTimeout {
			claim := r.fact
			claim.State = Dead
			t.merge(claim, now)
			newlyDead = append(newlyDead, claim)
		}
		if r.fact.State == Dead && now.Sub(r.factSince) >= deadRetention {
			t.adjustCount(Dead, -1)
			delete(t.records, host)
		}
	}
	return newlyDead
}

// Leave marks this host as leaving and broadcasts the change.
func (t *Table) Leave() {
	t.self.State = Leaving
	t.broadcastSelf()
}

// PendingFacts returns at most maxFacts updates to piggyback on the next message. If
// more are pending, those sent least often take precedence.
func (t *Table) PendingFacts() []Fact {
	limit := retransmitFactor * bits.Len(uint(len(t.records)+1))
	n := min(len(t.pending), maxFacts)
	if len(t.pending) > maxFacts {
		slices.SortStableFunc(t.pending, func(a, b *record) int { return a.transmits - b.transmits })
	}
	facts := make([]Fact, 0, n)
	for _, r := range t.pending[:n] {
		facts = append(facts, r.fact)
		r.transmits++
	}
	t.pending = slices.DeleteFunc(t.pending, func(r *record) bool {
		if r.transmits < limit {
			return false
		}
		r.queued = false
		return true
	})
	return facts
}

// ClaimAgainst returns the fact about a host if it is considered suspect or dead.
// The probe of that host carries it, so that the host can refute it.
func (t *Table) ClaimAgainst(host string) (Fact, bool) {
	r := t.records[host]
	if r == nil || r.fact.State == Alive || r.fact.State == Leaving {
		return Fact{}, false
	}
	return r.fact, true
}

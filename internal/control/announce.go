package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/pause"
)

// MaxWrites is the maximum number of entries the store accepts in one write.
const MaxWrites = 32

const (
	// entryCheckInterval is how often a host checks that the entries it owns are still in the
	// store.
	entryCheckInterval = 500 * time.Millisecond
	// minWriteInterval is the minimum time between two writes, so that followers that connect
	// at about the same time share one write.
	minWriteInterval = 100 * time.Millisecond
	// maxAnnounceDelay is the longest delay before a host of strength 1 that knows no leader
	// announces itself. The delay is random, between half of this and all of it, and longer
	// for weaker hosts, so that they find a leader to write their entries instead.
	maxAnnounceDelay = 150 * time.Millisecond
	// leaderSearchTime is how long a host that lost its leader looks for another before it
	// announces itself. Its entry remains until its lease expires.
	leaderSearchTime = time.Second
	// followerGrace is how long the entry of a disconnected follower is kept. The follower
	// may reconnect, find another leader that rewrites its entry, or announce itself after
	// leaderSearchTime.
	followerGrace = 3 * time.Second
	// renewalsPerLease is the number of times a lease is renewed during its TTL.
	renewalsPerLease = 3
)

// announcer keeps host entries in the store under a lease: the host's own entry while it has
// no leader, and the entries of its followers. The number of store calls thus grows with the
// number of regions, not with the number of hosts.
type announcer struct {
	name     string
	strength float64
	value    []byte
	ttl      time.Duration
	store    Store
	log      zerolog.Logger
	view     func() *View
	wake     chan struct{}
	// epoch is when the announcer was created. Times read by several goroutines are stored as
	// nanoseconds since epoch on the monotonic clock, because the wall clock may jump.
	epoch time.Time
	// delegated is set while a leader keeps this host's entry; undelegatedSince is when the
	// last leader stopped doing so.
	delegated        atomic.Bool
	undelegatedSince atomic.Int64
	// failingSince is when store calls started to fail, or 0 if they succeed.
	failingSince atomic.Int64

	mu        sync.Mutex
	followers map[string]*follower

	// resumed is set after the machine was suspended; the lease may have expired meanwhile.
	resumed atomic.Bool
	// announceAt is the earliest time at which a host that has had no leader since its start
	// announces itself.
	announceAt atomic.Int64

	// The fields below belong to the announcing goroutine.
	lease   uint64
	renewAt time.Time
	retryAt time.Time
	written map[string]writtenEntry
}

// follower is a host that follows this one.
type follower struct {
	value []byte
	// streams is the number of open streams; disconnectedAt is when the last one closed.
	streams        int
	disconnectedAt time.Time
	// leaving is set when the follower is shutting down as planned.
	leaving bool
}

// writtenEntry is an entry written under the current lease.
type writtenEntry struct {
	value    string
	revision uint64
}

func newAnnouncer(c *Control, ttl time.Duration) *announcer {
	value, err := proto.Marshal(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("failed to encode the entry of this host: peers will not discover it")
	}
	a := &announcer{
		name: c.name, strength: max(c.self.GetStrength(), minStrength), value: value, ttl: ttl, store: c.store, log: c.log, view: c.View,
		wake: make(chan struct{}, 1), followers: map[string]*follower{}, written: map[string]writtenEntry{},
	}
	a.epoch = time.Now()
	a.announceAt.Store(a.sinceEpoch(a.epoch.Add(maxStartDelay)))
	return a
}

// sinceEpoch converts a time to nanoseconds since epoch.
func (a *announcer) sinceEpoch(at time.Time) int64 { return int64(at.Sub(a.epoch)) }

const (
	// minStrength limits the delay of hosts with a zero, negative or very small strength.
	minStrength = 0.1
	// maxStartDelay is the time after which a host announces itself even if it does not know
	// yet whether there is a leader to follow.
	maxStartDelay = 5 * time.Second
)

// announceDelay returns a random delay before this host does work that one host could do for
// all. Stronger hosts get shorter delays.
func (a *announcer) announceDelay() time.Duration {
	longest := float64(maxAnnounceDelay) / a.strength
	return time.Duration(longest/2 + rand.Float64()*longest/2)
}

// scheduleAnnounce sets when a host that has just learned of its peers announces itself: at
// once, or, if there is a leader to follow, after giving the leader time to take over its
// entry.
func (a *announcer) scheduleAnnounce(hasLeader bool, now time.Time) {
	if hasLeader {
		now = now.Add(leaderSearchTime)
	}
	a.announceAt.Store(a.sinceEpoch(now))
	notify(a.wake)
}

// notify wakes the goroutine waiting on wake without blocking. wake has a buffer of one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// takeUpTo removes up to n entries from a map and returns them.
func takeUpTo[V any](from map[string]V, n int) map[string]V {
	taken := map[string]V{}
	for name, value := range from {
		if len(taken) == n {
			break
		}
		taken[name] = value
		delete(from, name)
	}
	return taken
}

// onResume makes the announcing goroutine renew its lease immediately.
func (a *announcer) onResume() {
	a.resumed.Store(true)
	notify(a.wake)
}

// setDelegated records whether a leader keeps this host's entry.
func (a *announcer) setDelegated(delegated bool) {
	if a.delegated.Swap(delegated) == delegated {
		return
	}
	a.undelegatedSince.Store(a.sinceEpoch(time.Now()))
	notify(a.wake)
}

// addFollower registers a stream of a follower whose entry this host is to keep. The returned
// function must be called when the stream ends.
func (a *announcer) addFollower(h *relaypb.Host, leaving bool) (release func()) {
	value, err := proto.Marshal(h)
	if err != nil {
		a.log.Error().Err(err).Str("peer", h.GetName()).Msg("failed to encode the entry of a follower: peers will not discover it")
		return func() {}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.followers[h.GetName()]
	if f == nil {
		f = &follower{}
		a.followers[h.GetName()] = f
	}
	f.value, f.leaving = value, leaving
	f.streams++
	notify(a.wake)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		f.streams--
		f.disconnectedAt = time.Now()
	}
}

// canKeepEntries reports whether followers can rely on this host to keep their entries in the
// store.
func (a *announcer) canKeepEntries(now time.Time) bool {
	since := a.failingSince.Load()
	return since == 0 || time.Duration(a.sinceEpoch(now)-since) < a.ttl/2
}

// run maintains the entries until ctx is done, then removes the entry of this host.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.step(ctx, time.Now())
		pause.Sleep(ctx, minWriteInterval)
		timer := time.NewTimer(entryCheckInterval)
		select {
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	a.withdraw()
}

// step makes the store calls that are due.
func (a *announcer) step(ctx context.Context, now time.Time) {
	if a.resumed.Swap(false) {
		a.renewAt, a.retryAt = now, time.Time{}
	}
	if now.Before(a.retryAt) {
		return
	}
	p := a.plan(now)
	if p.idle && a.lease != 0 {
		a.lease, a.written = 0, map[string]writtenEntry{} // The unused lease expires by itself.
	}
	err := a.renew(ctx, now)
	if errors.Is(err, ErrLeaseExpired) {
		a.log.Info().Int("entries", len(a.written)).Msg("lease of host entries expired: writing the entries again")
		a.lease, a.written = 0, map[string]writtenEntry{}
		p, err = a.plan(now), nil
	}
	if err == nil {
		err = a.write(ctx, p)
	}
	a.recordResult(err, now)
}

// recordResult records the outcome of the store calls of one step and, after an error, delays
// the next step.
func (a *announcer) recordResult(err error, now time.Time) {
	if err == nil {
		a.failingSince.Store(0)
		return
	}
	a.retryAt = now.Add(maxRetryDelay)
	if a.failingSince.CompareAndSwap(0, max(a.sinceEpoch(now), 1)) {
		a.log.Warn().Err(err).Msg("failed to write host entries to the store: will retry")
	}
}

// renew renews the lease if it is due.
func (a *announcer) renew(ctx context.Context, now time.Time) error {
	if a.lease == 0 || now.Before(a.renewAt) {
		return nil
	}
	err := a.store.Renew(ctx, a.lease)
	if err == nil {
		a.renewAt = now.Add(a.ttl / renewalsPerLease)
	}
	return err
}

// writePlan lists the differences to write to the store.
type writePlan struct {
	puts   map[string][]byte
	remove []string
	// idle is set if there are no entries to keep.
	idle bool
}

// plan compares the wanted entries with those in the store.
func (a *announcer) plan(now time.Time) writePlan {
	v := a.view()
	stored := v.revisions()
	p := writePlan{puts: map[string][]byte{}}
	wanted := a.followerEntries(now, stored, &p)
	if a.announcesItself(now) {
		wanted[a.name] = a.value
	} else {
		delete(a.written, a.name) // The leader writes it under its own lease.
	}
	p.idle = len(wanted) == 0
	for name, value := range wanted {
		known, ok := a.written[name]
		lost := ok && v.StoreLost.IsZero() && v.Revision >= known.revision && stored[name] == 0
		if !ok || known.value != string(value) || lost {
			p.puts[name] = value
		}
	}
	return p
}

// announcesItself reports whether this host writes its own entry.
func (a *announcer) announcesItself(now time.Time) bool {
	if a.delegated.Load() {
		return false
	}
	if _, ok := a.written[a.name]; ok {
		return true
	}
	undelegated := a.undelegatedSince.Load()
	if notBefore := a.announceAt.Load(); undelegated <= notBefore {
		return a.sinceEpoch(now) >= notBefore // There has been no leader since the start.
	}
	return time.Duration(a.sinceEpoch(now)-undelegated) >= leaderSearchTime
}

// followerEntries returns the entries of the current followers, and adds the removal of
// former followers to the plan.
func (a *announcer) followerEntries(now time.Time, stored map[string]uint64, p *writePlan) map[string][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := map[string][]byte{}
	for name, f := range a.followers {
		switch {
		case f.leaving:
			if stored[name] != 0 {
				p.remove = append(p.remove, name)
			}
			delete(a.followers, name)
		case f.streams > 0 || now.Sub(f.disconnectedAt) < followerGrace:
			wanted[name] = f.value
		default:
			// Remove the entry only if no other host has rewritten it since.
			if w, ok := a.written[name]; ok && stored[name] == w.revision {
				p.remove = append(p.remove, name)
			}
			delete(a.followers, name)
			delete(a.written, name)
		}
	}
	return wanted
}

// write executes a plan in as many store calls as it needs.
func (a *announcer) write(ctx context.Context, p writePlan) error {
	if len(p.puts) == 0 && len(p.remove) == 0 {
		return nil
	}
	if a.lease == 0 && len(p.puts) > 0 {
		lease, err := a.store.Lease(ctx, a.ttl)
		if err != nil {
			return err
		}
		a.lease, a.renewAt = lease, time.Now().Add(a.ttl/renewalsPerLease)
	}
	for len(p.puts) > 0 || len(p.remove) > 0 {
		if err := a.writeBatch(ctx, &p); err != nil {
			return err
		}
	}
	return nil
}

// writeBatch writes as many changes as the store accepts in one call and removes them from
// the plan.
func (a *announcer) writeBatch(ctx context.Context, p *writePlan) error {
	puts := takeUpTo(p.puts, MaxWrites)
	remove := p.remove[:min(len(p.remove), MaxWrites-len(puts))]
	p.remove = p.remove[len(remove):]
	revision, err := a.store.Write(ctx, relaypb.EntryKind_HOST, a.lease, puts, remove)
	if errors.Is(err, ErrLeaseExpired) {
		a.lease, a.written = 0, map[string]writtenEntry{}
	}
	if err != nil {
		return err
	}
	for name, value := range puts {
		a.written[name] = writtenEntry{value: string(value), revision: revision}
	}
	a.log.Info().Int("hosts", len(puts)).Int("removed", len(remove)).Uint64("lease", a.lease).Uint64("revision", revision).Msg("host entries written")
	return nil
}

// withdraw removes the entry of this host. The lease is left to expire: it protects the
// entries of followers until another host has rewritten them.
func (a *announcer) withdraw() {
	if _, ok := a.written[a.name]; !ok {
		return
	}
	if _, err := a.store.Write(context.Background(), relaypb.EntryKind_HOST, 0, nil, []string{a.name}); err != nil {
		a.log.Warn().Err(err).Msg("failed to remove the entry of this host: it expires with its lease")
	}
}

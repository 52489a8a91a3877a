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

// MaxWrites is the number of entries that the store takes in one call.
const MaxWrites = 32

const (
	// announceTick is how often a host looks whether entries it keeps are still there.
	announceTick = 500 * time.Millisecond
	// announceGap is the least time between two writes, so that followers that come
	// close together share one.
	announceGap = 100 * time.Millisecond
	// announceSpread is for how long a host of strength 1 waits, half of it to all of it
	// at random, before it announces itself where it knows no host to follow; a weaker
	// one waits longer by its strength, and then finds one that keeps its entry.
	announceSpread = 150 * time.Millisecond
	// orphanWait is for how long a host that followed another looks for a new one before
	// it announces itself. Its entry lives on for the lease meanwhile.
	orphanWait = time.Second
	// leaveGrace is for how long the entry of a follower whose stream broke is kept: it
	// may come back, or follow another host that writes the entry anew, or do so itself
	// after orphanWait.
	leaveGrace = 3 * time.Second
	// renewals is how often a lease is renewed in its time.
	renewals = 3
)

// announcer keeps entries of hosts in the store under a lease: that of this host where
// it follows nobody, and those of the hosts that follow it. So the store's calls grow
// with the regions and not with the hosts.
type announcer struct {
	name     string
	strength float64
	value    []byte
	ttl      time.Duration
	store    Store
	log      zerolog.Logger
	view     func() *View
	wake     chan struct{}
	// epoch is when the announcer was made. Moments that several goroutines read are kept as
	// the nanoseconds since then, by the steady clock: the time of day may jump.
	epoch time.Time
	// followed tells that another host keeps the entry of this one, orphanSince since when
	// none does.
	followed    atomic.Bool
	orphanSince atomic.Int64
	// failing is since when the store takes no call; 0: it does.
	failing atomic.Int64

	mu        sync.Mutex
	followers map[string]*follower

	// wokeUp tells that the machine was suspended: the lease may have ended meanwhile.
	wokeUp atomic.Bool
	// selfFrom is from when on this host announces itself if it has
	// followed nobody since its start.
	selfFrom atomic.Int64

	// What follows belongs to the announcing goroutine.
	lease   uint64
	renewAt time.Time
	retryAt time.Time
	written map[string]writtenEntry
}

// follower is a host that follows this one.
type follower struct {
	value []byte
	// streams is the number of its streams that are open, leftAt when the last ended.
	streams int
	leftAt  time.Time
	// leaving tells that it stops as planned.
	leaving bool
}

// writtenEntry is an entry as it was written under the present lease.
type writtenEntry struct {
	value    string
	revision uint64
}

func newAnnouncer(c *Control, ttl time.Duration) *announcer {
	value, err := proto.Marshal(c.self)
	if err != nil {
		c.log.Error().Err(err).Msg("the entry of this host cannot be encoded: peers will not find it")
	}
	a := &announcer{
		name: c.name, strength: max(c.self.GetStrength(), leastStrength), value: value, ttl: ttl, store: c.store, log: c.log, view: c.View,
		wake: make(chan struct{}, 1), followers: map[string]*follower{}, written: map[string]writtenEntry{},
	}
	a.epoch = time.Now()
	a.selfFrom.Store(a.since(a.epoch.Add(longestStart)))
	return a
}

// since returns a moment as what is kept of it.
func (a *announcer) since(at time.Time) int64 { return int64(at.Sub(a.epoch)) }

const (
	// leastStrength bounds the wait of hosts whose strength is odd.
	leastStrength = 0.1
	// longestStart is after what time a host announces itself that has not learned yet
	// whether there is one to follow.
	longestStart = 5 * time.Second
)

// spread is a random wait before this host does what one host could do for all: the
// strongest come first.
func (a *announcer) spread() time.Duration {
	longest := float64(announceSpread) / a.strength
	return time.Duration(longest/2 + rand.Float64()*longest/2)
}

// introduced notes whether a host that has just learned of the others has one to
// follow. If it has, it waits for that one to keep its entry.
func (a *announcer) introduced(follows bool, now time.Time) {
	if follows {
		now = now.Add(orphanWait)
	}
	a.selfFrom.Store(a.since(now))
	nudge(a.wake)
}

// nudge makes a goroutine that waits for wake, a channel with room for one value, look at once.
func nudge(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// takeSome takes entries out of a map, at most so many.
func takeSome[V any](from map[string]V, most int) map[string]V {
	taken := map[string]V{}
	for name, value := range from {
		if len(taken) == most {
			break
		}
		taken[name] = value
		delete(from, name)
	}
	return taken
}

// woke makes the announcing goroutine renew its lease at once.
func (a *announcer) woke() {
	a.wokeUp.Store(true)
	nudge(a.wake)
}

// setFollowed notes whether another host keeps the entry of this one.
func (a *announcer) setFollowed(followed bool) {
	if a.followed.Swap(followed) == followed {
		return
	}
	a.orphanSince.Store(a.since(time.Now()))
	nudge(a.wake)
}

// join notes a stream of a host that wants its entry kept; the function returned notes
// its end.
func (a *announcer) join(h *relaypb.Host, leaving bool) (left func()) {
	value, err := proto.Marshal(h)
	if err != nil {
		a.log.Error().Err(err).Str("peer", h.GetName()).Msg("the entry of a follower cannot be encoded: peers will not find it")
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
	nudge(a.wake)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		f.streams--
		f.leftAt = time.Now()
	}
}

// keeps reports whether followers can rely on this host to keep their entries.
func (a *announcer) keeps(now time.Time) bool {
	since := a.failing.Load()
	return since == 0 || time.Duration(a.since(now)-since) < a.ttl/2
}

// run keeps the entries until ctx ends, then removes that of this host.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.step(ctx, time.Now())
		pause.For(ctx, announceGap)
		timer := time.NewTimer(announceTick)
		select {
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	a.withdraw()
}

// step makes the calls of the store that are due.
func (a *announcer) step(ctx context.Context, now time.Time) {
	if a.wokeUp.Swap(false) {
		a.renewAt, a.retryAt = now, time.Time{}
	}
	if now.Before(a.retryAt) {
		return
	}
	p := a.plan(now)
	if p.idle && a.lease != 0 {
		a.lease, a.written = 0, map[string]writtenEntry{} // It lapses.
	}
	err := a.renew(ctx, now)
	if errors.Is(err, ErrLeaseEnded) {
		a.log.Info().Int("entries", len(a.written)).Msg("the lease of the entries kept here has ended: writing them again")
		a.lease, a.written = 0, map[string]writtenEntry{}
		p, err = a.plan(now), nil
	}
	if err == nil {
		err = a.write(ctx, p)
	}
	a.note(err, now)
}

// note remembers since when the store takes no calls.
func (a *announcer) note(err error, now time.Time) {
	if err == nil {
		a.failing.Store(0)
		return
	}
	a.retryAt = now.Add(retryLongest)
	if a.failing.CompareAndSwap(0, max(a.since(now), 1)) {
		a.log.Warn().Err(err).Msg("the entries kept here could not be written; it will be tried again")
	}
}

func (a *announcer) renew(ctx context.Context, now time.Time) error {
	if a.lease == 0 || now.Before(a.renewAt) {
		return nil
	}
	err := a.store.Renew(ctx, a.lease)
	if err == nil {
		a.renewAt = now.Add(a.ttl / renewals)
	}
	return err
}

// writes is what the store lacks.
type writes struct {
	puts   map[string][]byte
	remove []string
	// idle tells that no entry is to be kept.
	idle bool
}

// plan works out what has to be written.
func (a *announcer) plan(now time.Time) writes {
	v := a.view()
	present := v.revisions()
	p := writes{puts: map[string][]byte{}}
	keep := a.followersToKeep(now, present, &p)
	if a.keepsItself(now) {
		keep[a.name] = a.value
	} else {
		delete(a.written, a.name) // The host that is followed writes it under its own lease.
	}
	p.idle = len(keep) == 0
	for name, value := range keep {
		known, ok := a.written[name]
		lost := ok && v.StoreLost.IsZero() && v.Revision >= known.revision && present[name] == 0
		if !ok || known.value != string(value) || lost {
			p.puts[name] = value
		}
	}
	return p
}

// keepsItself reports whether this host has to announce itself.
func (a *announcer) keepsItself(now time.Time) bool {
	if a.followed.Load() {
		return false
	}
	if _, ok := a.written[a.name]; ok {
		return true
	}
	orphan := a.orphanSince.Load()
	if from := a.selfFrom.Load(); orphan <= from {
		return a.since(now) >= from // It has followed nobody since its start.
	}
	return time.Duration(a.since(now)-orphan) >= orphanWait
}

// followersToKeep returns the entries of the hosts that follow this one, and plans the
// removal of those that do so no longer.
func (a *announcer) followersToKeep(now time.Time, present map[string]uint64, p *writes) map[string][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	keep := map[string][]byte{}
	for name, f := range a.followers {
		switch {
		case f.leaving:
			if present[name] != 0 {
				p.remove = append(p.remove, name)
			}
			delete(a.followers, name)
		case f.streams > 0 || now.Sub(f.leftAt) < leaveGrace:
			keep[name] = f.value
		default:
			// Where another host has written it since, the entry is that host's.
			if w, ok := a.written[name]; ok && present[name] == w.revision {
				p.remove = append(p.remove, name)
			}
			delete(a.followers, name)
			delete(a.written, name)
		}
	}
	return keep
}

// write writes in as many calls as the store needs.
func (a *announcer) write(ctx context.Context, p writes) error {
	if len(p.puts) == 0 && len(p.remove) == 0 {
		return nil
	}
	if a.lease == 0 && len(p.puts) > 0 {
		lease, err := a.store.Lease(ctx, a.ttl)
		if err != nil {
			return err
		}
		a.lease, a.renewAt = lease, time.Now().Add(a.ttl/renewals)
	}
	for len(p.puts) > 0 || len(p.remove) > 0 {
		if err := a.writeOnce(ctx, &p); err != nil {
			return err
		}
	}
	return nil
}

// writeOnce writes as much as the store takes in one call.
func (a *announcer) writeOnce(ctx context.Context, p *writes) error {
	puts := takeSome(p.puts, MaxWrites)
	remove := p.remove[:min(len(p.remove), MaxWrites-len(puts))]
	p.remove = p.remove[len(remove):]
	revision, err := a.store.Write(ctx, relaypb.EntryKind_HOST, a.lease, puts, remove)
	if errors.Is(err, ErrLeaseEnded) {
		a.lease, a.written = 0, map[string]writtenEntry{}
	}
	if err != nil {
		return err
	}
	for name, value := range puts {
		a.written[name] = writtenEntry{value: string(value), revision: revision}
	}
	a.log.Info().Int("hosts", len(puts)).Int("removed", len(remove)).Uint64("lease", a.lease).Uint64("revision", revision).Msg("entries of hosts written")
	return nil
}

// withdraw removes the entry of this host. The lease is left to lapse: the entries of
// followers stand under it until another host has written them.
func (a *announcer) withdraw() {
	if _, ok := a.written[a.name]; !ok {
		return
	}
	if _, err := a.store.Write(context.Background(), relaypb.EntryKind_HOST, 0, nil, []string{a.name}); err != nil {
		a.log.Warn().Err(err).Msg("the entry of this host could not be removed; it lapses with its lease")
	}
}

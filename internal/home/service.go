package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/quarantine"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/retry"
)

// budgetBurst is the capacity of the token bucket for retries and hedges, in attempts.
const budgetBurst = 20

// capacityInterval is the shortest time between two updates of the admission capacity.
const capacityInterval = 50 * time.Millisecond

// maxConcurrentDials bounds the connections to leaves that are opened at the same time.
const maxConcurrentDials = 16

// describeTimeout bounds the Describe call that opens the connection to a leaf.
const describeTimeout = time.Second

// Options configures the query handling of a service.
type Options struct {
	Queue     admission.Settings
	Selection replica.Policy
	Hedging   bool
	// HedgeQuantile is the percentile (0 to 100) of a shard's recent latency after
	// which a hedge is sent.
	HedgeQuantile float64
	// RetryBudgetRatio is the number of retries and hedges permitted per first attempt.
	RetryBudgetRatio float64
	// AttemptIDPrefix makes attempt identifiers unique across hosts and restarts: host name and
	// incarnation.
	AttemptIDPrefix string
	// OnLeafLeaving is called without any lock held when a leaf reports that it is draining.
	OnLeafLeaving func(address string, incarnation uint64)
	// OnLeafRestarted is called without any lock held when a leaf reports a new incarnation that
	// is not draining.
	OnLeafRestarted func(address string, incarnation uint64)
	Seed            uint64
	// PanicLog gets a line for each recovered panic.
	PanicLog zerolog.Logger
}

// Service coordinates the queries of one service at this host. It is safe for
// concurrent use.
type Service struct {
	name          string
	options       Options
	client        leaf.Client
	lastAttemptID atomic.Uint64

	// mu guards the fields below. It is never held during a call.
	mu    sync.Mutex
	rng   *rand.Rand
	share SlotShare
	// topology is that of the current shard map. Running queries may still use
	// oldTopologies.
	topology      *topology
	oldTopologies []*topology
	// leaves holds the state of each leaf by address. All topologies share it.
	leaves map[string]*replica.Leaf
	// incarnations holds the incarnation that each leaf last reported, by address.
	incarnations map[string]uint64
	queue        *admission.Queue
	budget       *retry.Budget
	// quarantine records the queries under which leaves crashed.
	quarantine *quarantine.Book
	// barredChanged is closed and replaced whenever a query content becomes barred.
	barredChanged chan struct{}
	// sequence numbers the queries in the order of their admission.
	sequence uint64
	// capacityMeasuredAt is the time of the last capacity update; the zero time forces
	// one.
	capacityMeasuredAt time.Time
	// leavingIncarnation returns the incarnation of a leaf that is known to be leaving.
	leavingIncarnation func(address string) (uint64, bool)
}

// NewService returns a service without a shard map; Configure must be called before
// Serve.
func NewService(name string, client leaf.Client, options Options) *Service {
	return &Service{
		name:               name,
		options:            options,
		client:             client,
		rng:                rand.New(rand.NewPCG(options.Seed, uint64(len(name)))),
		leaves:             map[string]*replica.Leaf{},
		incarnations:       map[string]uint64{},
		queue:              admission.NewQueue(options.Queue, 1),
		budget:             retry.NewBudget(options.RetryBudgetRatio, budgetBurst),
		quarantine:         quarantine.NewBook(name),
		barredChanged:      make(chan struct{}),
		leavingIncarnation: func(string) (uint64, bool) { return 0, false },
	}
}

// Configure applies a shard map, this host's share of the slots and the known leaving
// leaves. Running queries keep the shard map they started with.
func (s *Service) Configure(spec *configpb.Service, share SlotShare, leavingIncarnation func(address string) (uint64, bool)) {
	if t, specChanged := s.applySpec(spec, share, leavingIncarnation); specChanged {
		s.connect(t)
	}
}

// applySpec is Configure without the connections. It returns the current topology.
func (s *Service) applySpec(spec *configpb.Service, share SlotShare, leavingIncarnation func(address string) (uint64, bool)) (t *topology, specChanged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingIncarnation = leavingIncarnation
	specChanged = s.topology == nil || s.topology.spec != spec
	if specChanged || s.share != share {
		s.share = share
		s.replaceTopology(spec)
	}
	s.markLeaving()
	s.capacityMeasuredAt = time.Time{}
	s.measureCapacity(time.Now())
	s.queue.Admit()
	s.dispatchAll()
	return s.topology, specChanged
}

// measureCapacity updates the admission capacity from the state of the leaves, at most
// once per capacityInterval.
func (s *Service) measureCapacity(now time.Time) {
	if now.Sub(s.capacityMeasuredAt) < capacityInterval {
		return
	}
	s.capacityMeasuredAt = now
	s.queue.SetCapacity(s.topology.capacity(now))
}

// replaceTopology installs the topology of a new shard map. The state of leaves that
// remain is kept.
func (s *Service) replaceTopology(spec *configpb.Service) {
	previous := s.topology
	s.topology = newTopology(spec, s.share, s.leaves, s.options, s.rng)
	if previous == nil {
		return
	}
	previous.copyVersions(s.topology)
	if previous.active > 0 {
		s.oldTopologies = append(s.oldTopologies, previous)
	}
	s.removeUnusedLeaves()
}

// copyVersions copies the known index versions of leaves that both topologies contain.
func (t *topology) copyVersions(to *topology) {
	for address, refs := range to.byAddress {
		from, ok := t.byAddress[address]
		if !ok {
			continue
		}
		versions := t.tracker.Versions(from[0].shard, from[0].leaf)
		for _, ref := range refs {
			to.tracker.Observe(ref.shard, ref.leaf, versions)
		}
	}
}

// removeUnusedLeaves drops the state of leaves that no topology contains and closes
// their connections.
func (s *Service) removeUnusedLeaves() {
	for address := range s.leaves {
		used := len(s.topology.byAddress[address]) > 0
		for _, t := range s.oldTopologies {
			used = used || len(t.byAddress[address]) > 0
		}
		if !used {
			delete(s.leaves, address)
			delete(s.incarnations, address)
			go func() {
				_ = s.recoverPanic("close of a connection", "", func() { s.client.CloseConn(address) })
			}()
		}
	}
}

// connect opens the connections to all leaves before queries need them and learns the
// leaves' index versions.
func (s *Service) connect(t *topology) {
	sem := make(chan struct{}, maxConcurrentDials)
	for address := range t.byAddress {
		go func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			_ = s.recoverPanic("connection to a leaf", "", func() { s.describe(address) })
		}()
	}
}

// describe opens the connection to a leaf and learns its state.
func (s *Service) describe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	reply, err := s.client.Describe(ctx, address)
	if err != nil {
		return
	}
	s.observeDescription(address, reply.GetStatus())()
}

// observeDescription is observeStatus for callers that do not hold s.mu.
func (s *Service) observeDescription(address string, status *leafpb.Status) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observeStatus(address, status, time.Now())
}

// markLeaving updates which leaves are leaving. An announcement applies to the
// announced incarnation and earlier ones, not to a restarted leaf.
func (s *Service) markLeaving() {
	for address, l := range s.leaves {
		incarnation, leaving := s.leavingIncarnation(address)
		known := s.incarnations[address]
		l.Leaving = leaving && (incarnation == 0 || known == 0 || known <= incarnation)
		for _, t := range s.topologies() {
			for _, ref := range t.byAddress[address] {
				t.tracker.SetUnavailable(ref.shard, ref.leaf, l.Leaving)
			}
		}
	}
}

// topologies returns the current topology and the old ones still in use.
func (s *Service) topologies() []*topology {
	return append([]*topology{s.topology}, s.oldTopologies...)
}

// observeStatus applies the status that a leaf sent with a reply. The caller must call
// the returned function after releasing the lock.
func (s *Service) observeStatus(address string, status *leafpb.Status, now time.Time) func() {
	notify := func() {}
	if status == nil {
		return notify
	}
	for _, t := range s.topologies() {
		for _, ref := range t.byAddress[address] {
			t.tracker.Observe(ref.shard, ref.leaf, status.GetIndexVersions())
		}
	}
	known, incarnation := s.incarnations[address], status.GetIncarnation()
	l := s.leaves[address]
	if l == nil {
		return notify
	}
	if incarnation > known {
		s.incarnations[address] = incarnation
		if known != 0 {
			s.leafRestarted(address, now)
		}
		s.markLeaving()
		if !status.GetDraining() && s.options.OnLeafRestarted != nil {
			notify = func() { s.options.OnLeafRestarted(address, incarnation) }
		}
	}
	if status.GetDraining() && !l.Leaving && incarnation >= known {
		l.Leaving = true
		s.capacityMeasuredAt = time.Time{}
		if s.options.OnLeafLeaving != nil {
			notify = func() { s.options.OnLeafLeaving(address, incarnation) }
		}
	}
	return notify
}

// leafRestarted discards what was observed of the previous process of a leaf.
func (s *Service) leafRestarted(address string, now time.Time) {
	for _, t := range s.topologies() {
		for _, ref := range t.byAddress[address] {
			t.shards[ref.shard].replicas.Restarted(ref.leaf, now)
		}
	}
}

// newAttemptID returns an identifier that is unique across all hosts and incarnations.
func (s *Service) newAttemptID() string {
	return fmt.Sprintf("%s/%s/%d", s.options.AttemptIDPrefix, s.name, s.lastAttemptID.Add(1))
}

// slotRank returns the rank with which a request queues for slots: 0 for all if
// admission is FIFO.
func (s *Service) slotRank(rank uint32) uint32 {
	if s.options.Queue.Order == admission.FIFO {
		return 0
	}
	return rank
}

// InFlight returns the numbers of running and queued queries.
func (s *Service) InFlight() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running(), s.queue.Waiting()
}

// takeExtraAttempt reports whether the budget permits one more retry or hedge, and
// counts a denial.
func (s *Service) takeExtraAttempt(kind obs.AttemptKind, rank uint32) bool {
	if s.budget.Take(rank) {
		return true
	}
	obs.CountExtraDenied(kind)
	return false
}

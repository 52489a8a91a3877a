package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/quarantine"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/retry"
)

// budgetSize is the number of extra attempts that may come in one burst.
const budgetSize = 20

// capacityEvery is the interval at which the capacity is measured.
const capacityEvery = 50 * time.Millisecond

// warmAtOnce bounds the connections opened at the same time.
const warmAtOnce = 16

// describeTimeout bounds the first call to a leaf.
const describeTimeout = time.Second

// Options are the policies of a service.
type Options struct {
	Queue     admission.Settings
	Selection replica.Policy
	Hedging   bool
	// HedgeQuantile is the percentile of a shard's latency after which a hedge
	// is due.
	HedgeQuantile float64
	ExtraShare    float64
	// Prefix makes attempt identifiers unique: host name and incarnation.
	Prefix string
	// Leaving is called, outside of all locks, when a leaf said that it leaves.
	Leaving func(address string, incarnation uint64)
	// Seen is called, outside of all locks, when a leaf is found to have
	// started anew.
	Seen func(address string, incarnation uint64)
	Seed uint64
}

// Service carries the queries of one service. It is safe for concurrent use.
type Service struct {
	name    string
	options Options
	client  leaf.Client
	ids     atomic.Uint64

	mu     sync.Mutex
	rng    *rand.Rand
	share  Share
	plan   *plan
	old    []*plan
	leaves map[string]*replica.Leaf
	// incarnations are those that leaves last reported.
	incarnations map[string]uint64
	queue        *admission.Queue
	budget       *retry.Budget
	// book knows the queries under which leaves ended.
	book *quarantine.Book
	// barred is closed, and made anew, when a content is barred.
	barred chan struct{}
	order  uint64
	// measured is when the capacity was last measured.
	measured time.Time
	leaving  func(address string) (uint64, bool)
}

// NewService returns a service without a plan; Configure must follow.
func NewService(name string, client leaf.Client, options Options) *Service {
	return &Service{
		name:         name,
		options:      options,
		client:       client,
		rng:          rand.New(rand.NewPCG(options.Seed, uint64(len(name)))),
		leaves:       map[string]*replica.Leaf{},
		incarnations: map[string]uint64{},
		queue:        admission.New(options.Queue, 1),
		budget:       retry.NewBudget(options.ExtraShare, budgetSize),
		book:         quarantine.NewBook(name),
		barred:       make(chan struct{}),
		leaving:      func(string) (uint64, bool) { return 0, false },
	}
}

// Configure puts a shard map, this host's share and the leaving leaves in
// force. Running queries keep the shard map they began with.
func (s *Service) Configure(spec *configpb.Service, share Share, leaving func(address string) (uint64, bool)) {
	s.mu.Lock()
	s.leaving = leaving
	fresh := s.plan == nil || s.plan.spec != spec
	if fresh || s.share != share {
		s.share = share
		s.replace(spec)
	}
	s.applyLeaving()
	s.measured = time.Time{}
	s.measureCapacity(time.Now())
	s.queue.Admit()
	s.dispatchAll()
	p := s.plan
	s.mu.Unlock()
	if fresh {
		s.warm(p)
	}
}

// measureCapacity follows the state of the leaves, at most once an interval.
func (s *Service) measureCapacity(now time.Time) {
	if now.Sub(s.measured) < capacityEvery {
		return
	}
	s.measured = now
	s.queue.SetCapacity(s.plan.capacity(now))
}

// replace makes the plan of a new shard map; what is known of leaves stays.
func (s *Service) replace(spec *configpb.Service) {
	previous := s.plan
	s.plan = newPlan(spec, s.share, s.leaves, s.options, s.rng)
	if previous == nil {
		return
	}
	previous.copyVersions(s.plan)
	if previous.active > 0 {
		s.old = append(s.old, previous)
	}
	s.forgetUnused()
}

func (p *plan) copyVersions(to *plan) {
	for address, places := range to.byLeaf {
		from, ok := p.byLeaf[address]
		if !ok {
			continue
		}
		versions := p.tracker.Versions(from[0].shard, from[0].leaf)
		for _, at := range places {
			to.tracker.Observe(at.shard, at.leaf, versions)
		}
	}
}

// forgetUnused closes connections to leaves that no plan names.
func (s *Service) forgetUnused() {
	for address := range s.leaves {
		used := len(s.plan.byLeaf[address]) > 0
		for _, p := range s.old {
			used = used || len(p.byLeaf[address]) > 0
		}
		if !used {
			delete(s.leaves, address)
			delete(s.incarnations, address)
			go s.client.Forget(address)
		}
	}
}

// warm opens the connections of a plan ahead of need, a few at a time, and
// learns the versions.
func (s *Service) warm(p *plan) {
	turns := make(chan struct{}, warmAtOnce)
	for address := range p.byLeaf {
		go func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
			defer cancel()
			reply, err := s.client.Describe(ctx, address)
			if err != nil {
				return
			}
			s.mu.Lock()
			report := s.observe(address, reply.GetStatus(), time.Now())
			s.mu.Unlock()
			report()
		}()
	}
}

// applyLeaving marks the leaves that are known to leave.
func (s *Service) applyLeaving() {
	for address, l := range s.leaves {
		incarnation, leaving := s.leaving(address)
		known := s.incarnations[address]
		l.Leaving = leaving && (incarnation == 0 || known == 0 || known <= incarnation)
		for _, p := range s.plans() {
			for _, at := range p.byLeaf[address] {
				p.tracker.SetOut(at.shard, at.leaf, l.Leaving)
			}
		}
	}
}

func (s *Service) plans() []*plan { return append([]*plan{s.plan}, s.old...) }

// observe takes in the status that came with a reply. It returns what to do
// once the lock is released.
func (s *Service) observe(address string, status *leafpb.Status, now time.Time) func() {
	report := func() {}
	if status == nil {
		return report
	}
	for _, p := range s.plans() {
		for _, at := range p.byLeaf[address] {
			p.tracker.Observe(at.shard, at.leaf, status.GetIndexVersions())
		}
	}
	known, incarnation := s.incarnations[address], status.GetIncarnation()
	l := s.leaves[address]
	if l == nil {
		return report
	}
	if incarnation > known {
		s.incarnations[address] = incarnation
		if known != 0 {
			s.restarted(address, now)
		}
		s.applyLeaving()
		if !status.GetDraining() && s.options.Seen != nil {
			report = func() { s.options.Seen(address, incarnation) }
		}
	}
	if status.GetDraining() && !l.Leaving && incarnation >= known {
		l.Leaving = true
		s.measured = time.Time{}
		if s.options.Leaving != nil {
			report = func() { s.options.Leaving(address, incarnation) }
		}
	}
	return report
}

func (s *Service) restarted(address string, now time.Time) {
	for _, p := range s.plans() {
		for _, at := range p.byLeaf[address] {
			p.shards[at.shard].set.Restarted(at.leaf, now)
		}
	}
}

// attemptID is unique over all attempts of all hosts and incarnations.
func (s *Service) attemptID() string {
	return fmt.Sprintf("%s/%s/%d", s.options.Prefix, s.name, s.ids.Add(1))
}

// waitRank is the rank by which a request waits for a slot.
func (s *Service) waitRank(rank uint32) uint32 {
	if s.options.Queue.Order == admission.FIFO {
		return 0
	}
	return rank
}

// InFlight returns the numbers of running and waiting queries.
func (s *Service) InFlight() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running(), s.queue.Waiting()
}

// extra asks the budget for one extra attempt.
func (s *Service) extra(kind obs.Attempt, rank uint32) bool {
	if s.budget.Take(rank) {
		return true
	}
	obs.CountDenied(kind)
	return false
}

package home

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/retry"
	"github.com/mallowgap/mallowgap/snapshot"
)

const (
	// minHedgeDelay is the lower bound of the hedge delay.
	minHedgeDelay = 2 * time.Millisecond
	// admissionOvercommit multiplies the capacity of the shard with the fewest slots,
	// so that other shards stay busy while a slow one holds the query. It does not
	// weaken class order: attempts queue for slots by class too. Smaller values leave more
	// slots idle (docs/MEASUREMENTS.md).
	admissionOvercommit = 5
)

// SlotShare is this host's part of a service's slots: that of home number Index of Homes.
type SlotShare struct {
	Homes, Index int
}

// topology is one shard map of a service with the state of its replicas. A query uses
// the same topology from start to end.
type topology struct {
	spec *configpb.Service
	// names holds the shard names, in the order of shards.
	names   []string
	shards  []*shard
	tracker *snapshot.Tracker
	// byAddress lists the replicas that each leaf serves.
	byAddress map[string][]replicaRef
	// active is the number of queries that use the topology.
	active int
}

// replicaRef identifies a replica by its indexes in the topology.
type replicaRef struct {
	shard, leaf int
}

// shard holds the replicas of one shard and the attempts queued for their slots.
type shard struct {
	replicas   *replica.Set
	hedgeDelay *retry.HedgeDelay
	waiting    []*slotWaiter
}

// slotWaiter is an attempt that is queued for a slot of a shard.
type slotWaiter struct {
	query    *query
	rank     uint32
	sequence uint64
	// excluded is the bit set of replicas that must not be used.
	excluded uint64
	kind     obs.AttemptKind
}

// newTopology builds the topology of spec. Leaves in known are reused; new ones are
// added to it.
func newTopology(spec *configpb.Service, share SlotShare, known map[string]*replica.Leaf, options Options, rng *rand.Rand) *topology {
	t := &topology{spec: spec, byAddress: map[string][]replicaRef{}}
	counts := make([]int, 0, len(spec.GetShards()))
	slots := int(min(spec.GetSlots(), spec.GetConnections()))
	for i, s := range spec.GetShards() {
		shares := limit.Shares(len(s.GetReplicas()), slots, share.Homes, share.Index)
		leaves := make([]*replica.Leaf, 0, len(shares))
		for j, r := range s.GetReplicas() {
			l := known[r.GetAddress()]
			if l == nil {
				l = &replica.Leaf{Address: r.GetAddress(), Domain: r.GetFailureDomain(), Slots: limit.NewSlots(0)}
				known[r.GetAddress()] = l
			}
			l.Slots.SetShare(shares[j])
			leaves = append(leaves, l)
			t.byAddress[l.Address] = append(t.byAddress[l.Address], replicaRef{shard: i, leaf: j})
		}
		t.names = append(t.names, s.GetName())
		t.shards = append(t.shards, &shard{
			replicas:   replica.NewSet(leaves, options.Selection, rng),
			hedgeDelay: retry.NewHedgeDelay(options.HedgeQuantile, minHedgeDelay),
		})
		counts = append(counts, len(leaves))
	}
	t.tracker = snapshot.NewTracker(counts)
	return t
}

// capacity returns the number of queries to admit at a time, at least 1, from the shard
// with the fewest usable slots. Shards without a usable replica are ignored, since
// queries report them as missing.
func (t *topology) capacity(now time.Time) int {
	smallest := 0.0
	for _, s := range t.shards {
		slots := s.replicas.Capacity(now)
		if slots > 0 && (smallest == 0 || slots < smallest) {
			smallest = slots
		}
	}
	if len(t.shards) > 1 {
		smallest *= admissionOvercommit
	}
	return max(int(math.Round(smallest)), 1)
}

// enqueue inserts a waiter by rank, then by order of admission.
func (s *shard) enqueue(w *slotWaiter) {
	i, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *slotWaiter) int {
		if a.rank != b.rank {
			return int(a.rank) - int(b.rank)
		}
		if a.sequence < b.sequence {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, i, w)
}

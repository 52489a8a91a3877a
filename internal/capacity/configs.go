package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/config"
)

// serviceCounts are the numbers of services measured, of shardsPerService each.
var serviceCounts = []int{1, 3, 10, 30, 100}

const (
	shardsPerService = 140
	replicasPerShard = 2
)

// syntheticConfig returns a configuration with the given number of services and of
// shards per service.
func syntheticConfig(services, shards int) *configpb.Config {
	c := &configpb.Config{Revision: 1, ChangeId: "first"}
	for i := range 4 {
		c.Classes = append(c.Classes, &configpb.Class{Name: fmt.Sprint("class-", i), Rank: uint32(i)})
	}
	for i := range 100 {
		c.Desks = append(c.Desks, &configpb.Desk{Name: fmt.Sprint("desk-", i), Class: fmt.Sprint("class-", i%4)})
	}
	for i := range services {
		s := &configpb.Service{Name: fmt.Sprintf("service-%03d", i), Epoch: 1, Slots: 24, Connections: 25, Homes: 43}
		for j := range shards {
			shard := &configpb.Shard{
				Name: fmt.Sprintf("service-%03d-shard-%04d", i, j),
				From: uint32(config.KeySpace * j / shards), To: uint32(config.KeySpace * (j + 1) / shards),
			}
			for r := range replicasPerShard {
				shard.Replicas = append(shard.Replicas, &configpb.Replica{
					Address: fmt.Sprintf("10.%d.%d.%d:7000", 64+r, i, j%250), FailureDomain: fmt.Sprint("domain-", (j+r)%6),
				})
			}
			s.Shards = append(s.Shards, shard)
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// measureConfigs measures the size and memory of a configuration, and the processor
// time of a change, by number of services.
func measureConfigs() []Slope {
	var head, whole, memory, change []Point
	for _, n := range serviceCounts {
		c := syntheticConfig(n, shardsPerService)
		h, parts := mustSplit(c)
		bytes := proto.Size(h)
		size := float64(n)
		head = append(head, Point{size, float64(bytes) / 1024})
		for _, b := range parts {
			bytes += len(b)
		}
		whole = append(whole, Point{size, float64(bytes) / 1024})
		memory = append(memory, Point{size, heapOf(func() *config.Holder { return holderOf(c) }) / 1024})
		holder := holderOf(c)
		next := proto.Clone(c).(*configpb.Config)
		revision := uint64(1)
		change = append(change, Point{size, microsPerCall(func() {
			revision++
			next.Revision = revision
			next.Services[0].Slots = uint32(revision%20 + 1)
			h, parts := mustSplit(next)
			_, _ = holder.Install(h, parts)
		})})
	}
	return []Slope{
		fit("head, size", "KiB", "services", head),
		fit("whole configuration, size", "KiB", "services", whole),
		fit("whole configuration, memory", "KiB", "services", memory),
		fit("change of one service made and taken in, processor time", "µs", "services", change),
	}
}

// mustSplit splits a configuration into its head and parts. It panics on an error.
func mustSplit(c *configpb.Config) (*configpb.Head, config.Parts) {
	head, parts, err := config.Split(c)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return head, parts
}

// holderOf returns a holder with c in force.
func holderOf(c *configpb.Config) *config.Holder {
	h := config.NewHolder()
	head, parts := mustSplit(c)
	if _, err := h.Install(head, parts); err != nil {
		panic("capacity: " + err.Error())
	}
	return h
}

const (
	// pullTime is the time in which a host pulls a revision from another: two
	// calls at 12 ms one way.
	pullTime = 48 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a host.
	heartbeatInterval = 500 * time.Millisecond
	// pushFanOut is the number of random members to which a host pushes a new
	// revision.
	pushFanOut = 3
	// deadShare is the share of hosts that are dead or unreachable.
	deadShare = 0.04
)

// modelPropagation simulates, without real tables, the time until a revision is in force
// at 999 in 1,000 of the live hosts, by pushes to random members and by heartbeats.
// It returns the worst of the runs, in seconds.
func modelPropagation(hosts, runs int) float64 {
	worst := 0.0
	for run := range runs {
		rng := rand.New(rand.NewPCG(uint64(run), 9))
		worst = math.Max(worst, simulatePropagation(hosts, rng))
	}
	return worst
}

// simulatePropagation simulates the propagation of one revision from host 0, and returns the
// seconds until 999 in 1,000 of the live hosts know it.
func simulatePropagation(hosts int, rng *rand.Rand) float64 {
	const step = 10 * time.Millisecond
	dead := make([]bool, hosts)
	informedAt := make([]time.Duration, hosts)
	phase := make([]time.Duration, hosts)
	live := 0
	for i := range dead {
		dead[i] = i > 0 && rng.Float64() < deadShare
		phase[i] = time.Duration(rng.Int64N(int64(heartbeatInterval)))
		informedAt[i] = math.MaxInt64
		if !dead[i] {
			live++
		}
	}
	informedAt[0] = 0
	inform := func(j int, when time.Duration) {
		if !dead[j] && when < informedAt[j] {
			informedAt[j] = when
		}
	}
	pushed := make([]bool, hosts)
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range hosts {
			if dead[i] {
				continue
			}
			if informedAt[i] <= now && !pushed[i] {
				pushed[i] = true
				for range pushFanOut {
					inform(rng.IntN(hosts), now+pullTime)
				}
			}
			if (now+phase[i])%heartbeatInterval < step {
				j := rng.IntN(hosts)
				switch {
				case dead[j]:
				case informedAt[i] <= now:
					inform(j, now+pullTime)
				case informedAt[j] <= now:
					inform(i, now+pullTime)
				}
			}
		}
		if knownToMost(informedAt, now, live) {
			break
		}
	}
	slices.Sort(informedAt)
	return informedAt[int(math.Ceil(0.999*float64(live)))-1].Seconds()
}

// knownToMost reports whether 999 in 1,000 of the live hosts were informed by now.
func knownToMost(informedAt []time.Duration, now time.Duration, live int) bool {
	n := 0
	for _, t := range informedAt {
		if t <= now {
			n++
		}
	}
	return float64(n) >= 0.999*float64(live)
}

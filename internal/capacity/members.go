package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/member"
	"github.com/mallowgap/mallowgap/rendezvous"
)

// fleetSizes are the numbers of entry hosts measured.
var fleetSizes = []int{7, 70, 700, 4300}

// startTime is the fixed time at which the tables are measured.
var startTime = time.Unix(1_800_000_000, 0)

// memberFact returns the fact about member i.
func memberFact(i int) member.Fact {
	return member.Fact{
		Host: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
		Domain: fmt.Sprintf("domain-%d", i%6), Incarnation: uint64(startTime.UnixNano()) + uint64(i),
	}
}

func memberFacts(n int) []member.Fact {
	all := make([]member.Fact, n)
	for i := range all {
		all[i] = memberFact(i)
	}
	return all
}

// newTable returns the table of member self that knows all members. It has sent all
// facts, as it would in a stable fleet.
func newTable(self int, all []member.Fact, seed uint64) *member.Table {
	t := member.NewTable(memberFact(self), member.Settings{SuspicionTimeout: 2 * time.Second}, rand.New(rand.NewPCG(seed, 2)))
	t.LoadFacts(all, startTime)
	for range 200 {
		t.PendingFacts()
	}
	return t
}

// measureMembers measures the member table and the placement of one host, by number
// of hosts.
func measureMembers() []Slope {
	var memory, interval, change, placement []Point
	for _, n := range fleetSizes {
		all := memberFacts(n)
		size := float64(n)
		memory = append(memory, Point{size, heapOf(func() *member.Table { return newTable(0, all, 1) }) / 1024})
		t := newTable(0, all, 1)
		interval = append(interval, Point{size, microsPerCall(func() {
			t.Probe()
			t.PendingFacts()
			t.Merge(nil, startTime)
			t.Tick(startTime)
		})})
		incarnation := all[n-1].Incarnation
		change = append(change, Point{size, microsPerCall(func() {
			incarnation++
			f := all[n-1]
			f.Incarnation = incarnation
			t.Merge([]member.Fact{f}, startTime)
			t.Members()
		})})
		hosts := make([]rendezvous.Member, n)
		for i, f := range all {
			hosts[i] = rendezvous.Member{ID: f.Host, Domain: f.Domain}
		}
		placement = append(placement, Point{size, microsPerCall(func() { rendezvous.Rank("service/search", hosts, 43) })})
	}
	return []Slope{
		fit("member table, memory", "KiB", "hosts", memory),
		fit("heartbeat interval without news, processor time", "µs", "hosts", interval),
		fit("change of a member taken in, processor time", "µs", "hosts", change),
		fit("placement of one service on 43 homes, processor time", "µs", "hosts", placement),
	}
}

// measureMessages measures the size of a heartbeat, by number of facts in it.
func measureMessages() Slope {
	var points []Point
	for _, n := range []int{0, 1, 4, 8, 16} {
		m := &peerpb.GossipMessage{From: "entry-0000", Revision: 1 << 30}
		for _, f := range memberFacts(n) {
			m.Members = append(m.Members, &peerpb.MemberFact{
				Host: f.Host, Address: f.Address, FailureDomain: f.Domain, Incarnation: f.Incarnation, State: peerpb.MemberState_SUSPECT,
			})
		}
		points = append(points, Point{float64(n), float64(proto.Size(m))})
	}
	return fit("heartbeat message, size", "B", "facts", points)
}

// measureSpread measures the number of heartbeat intervals until a change that one
// host knows has reached 999 in 1,000 of the live hosts, by number of hosts.
func measureSpread() Slope {
	var points []Point
	for _, n := range fleetSizes {
		worst := 0.0
		for seed := range uint64(3) {
			worst = max(worst, float64(gossipRounds(n, seed+1)))
		}
		points = append(points, Point{float64(n), worst})
	}
	return fit("change of a member known to 999 in 1,000, intervals (worst of 3)", "intervals", "hosts", points)
}

// gossipRounds exchanges heartbeats between n real tables, one in 25 of which is
// silent, and returns the number of intervals, at most 201.
func gossipRounds(n int, seed uint64) int {
	all := memberFacts(n)
	rng := rand.New(rand.NewPCG(seed, 3))
	tables := make([]*member.Table, n)
	silent := make([]bool, n)
	index := make(map[string]int, n)
	for i := range tables {
		tables[i] = newTable(i, all, seed*1e6+uint64(i))
		silent[i] = i > 1 && rng.IntN(25) == 0
		index[all[i].Host] = i
	}
	update := all[1]
	update.Incarnation++
	tables[0].Merge([]member.Fact{update}, startTime)
	known := make([]bool, n)
	known[0], known[1] = true, true
	count, live := 2, 0
	for i := range silent {
		if !silent[i] {
			live++
		}
	}
	for interval := 1; ; interval++ {
		for i, t := range tables {
			target, ok := t.Probe()
			if !ok || silent[i] {
				continue
			}
			j := index[target.Host]
			message := t.PendingFacts()
			if silent[j] {
				continue
			}
			reply := tables[j].PendingFacts()
			if tables[j].Merge(message, startTime) && !known[j] {
				known[j] = true
				count++
			}
			if t.Merge(reply, startTime) && !known[i] {
				known[i] = true
				count++
			}
		}
		if float64(count) >= 0.999*float64(live) || interval > 200 {
			return interval
		}
	}
}

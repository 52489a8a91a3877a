package replica_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	longServers, longSlots = 10, 3
	longWork               = 220 * ms
	choosers               = 122
	farAway                = 40 * ms
)

// chooser is who chooses servers: hosts that are told loads, each host alone, or one who sees all queues.
type chooser int

const (
	told chooser = iota
	alone
	seesAll
)

// pool is ten servers that run long requests, in three regions, and hosts that choose one for each.
type pool struct {
	rng   *rand.Rand
	now   time.Time
	todo  agenda
	hosts []*replica.Set
	board *replica.Board
	// running and queues hold the requests of each server; slow multiplies its run times.
	running [longServers]int
	queues  [longServers][]*longRequest
	slow    [longServers]float64
	speed   [longServers]float64
	who     chooser
	took    []time.Duration
}

type longRequest struct {
	host, server int
	came         time.Time
}

// agenda is a heap of what happens next.
type agenda []event

type event struct {
	at  time.Time
	run func()
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (p *pool) after(d time.Duration, run func()) { heap.Push(&p.todo, event{p.now.Add(d), run}) }

func newPool(seed uint64, who chooser) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, 1)), now: start, board: replica.NewBoard(), who: who}
	for i := range longServers {
		p.speed[i], p.slow[i] = 0.8+0.5*float64((i*7)%longServers)/(longServers-1), 1
	}
	for h := range choosers {
		var leaves []*replica.Leaf
		for i := range longServers {
			leaf := &replica.Leaf{Slots: limit.NewSlots(6), Hosts: choosers, Concurrency: longSlots}
			if i%3 != h%3 {
				leaf.DistancePenalty = farAway
			}
			leaves = append(leaves, leaf)
		}
		p.hosts = append(p.hosts, replica.NewSet(leaves, replica.Observed, rand.New(rand.NewPCG(seed, uint64(h)))))
	}
	return p
}

// arrive places a request of a random host.
func (p *pool) arrive() {
	r := &longRequest{host: p.rng.IntN(choosers), came: p.now}
	set := p.hosts[r.host]
	if p.who == seesAll {
		r.server = p.best(r.host)
	} else if r.server = set.Probe(p.now, 0, 8*time.Second*choosers/6); r.server == replica.None {
		r.server = set.Pick(p.now, 0, 0)
	}
	set.Acquire(r.server, p.now)
	p.report(r, 0, 0)
	p.queues[r.server] = append(p.queues[r.server], r)
	p.serve(r.server)
}

// best returns the server that would complete a request of a host first.
func (p *pool) best(host int) int {
	var expected [longServers]time.Duration
	var order []int
	for i := range longServers {
		ahead := max(0, p.running[i]+len(p.queues[i])+1-longSlots)
		expected[i] = time.Duration(p.slow[i]*p.speed[i]*(1+float64(ahead)/longSlots)*float64(longWork)) + p.hosts[host].Leaves[i].DistancePenalty
		order = append(order, i)
	}
	return slices.MinFunc(order, func(i, j int) int { return cmp.Compare(expected[i], expected[j]) })
}

// serve starts what has a slot at a server.
func (p *pool) serve(i int) {
	for p.running[i] < longSlots && len(p.queues[i]) > 0 {
		r := p.queues[i][0]
		p.queues[i] = p.queues[i][1:]
		p.running[i]++
		p.after(time.Duration(p.slow[i]*p.speed[i]*(0.8+0.4*p.rng.Float64())*float64(longWork)), func() { p.end(r) })
	}
}

func (p *pool) end(r *longRequest) {
	i, set, took := r.server, p.hosts[r.host], p.now.Sub(r.came)
	p.took = append(p.took, took)
	p.running[i]--
	p.serve(i)
	set.Leaves[i].Slots.Release()
	sample := set.ReportQueue(i, len(p.queues[i]), took, p.now)
	set.Answered(i, took, p.now)
	p.report(r, len(p.queues[i]), sample)
}

// report passes a load to the coordinator, which hears of it a moment later.
func (p *pool) report(r *longRequest, waiting int, serviceTime time.Duration) {
	l := replica.ServerLoad{Server: string(rune('a' + r.server)), Waiting: waiting, ServiceTime: serviceTime, InFlight: p.hosts[r.host].Leaves[r.server].Slots.InUse()}
	p.after(35*ms, func() { p.board.Observe(string(rune(r.host)), l, longSlots, p.now) })
}

// tell tells all hosts what the coordinator decides to.
func (p *pool) tell() {
	changes, _ := p.board.Changes(p.now)
	p.after(15*ms, func() {
		for _, set := range p.hosts {
			for _, l := range changes {
				set.ApplyTold(int(l.Server[0]-'a'), l, p.now)
			}
		}
	})
	p.after(replica.BoardInterval, p.tell)
}

// offer runs requests at a rate per second, 2.5 times as many in one second of four.
func (p *pool) offer(perSecond float64) {
	factor := 1.0
	if p.now.Unix()%4 == 0 {
		factor = 2.5
	}
	p.after(time.Duration(p.rng.ExpFloat64()*float64(time.Second)/perSecond/factor), func() {
		p.arrive()
		p.offer(perSecond)
	})
}

// run runs the pool for a time, and returns the median and the 99th percentile of how long the requests
// took that ended meanwhile.
func (p *pool) run(d time.Duration) (median, p99 time.Duration) {
	p.took = nil
	for end := p.now.Add(d); p.todo[0].at.Before(end); {
		e := heap.Pop(&p.todo).(event)
		p.now = e.at
		e.run()
	}
	slices.Sort(p.took)
	return p.took[len(p.took)/2], p.took[len(p.took)*99/100]
}

// p99s returns the 99th percentiles in calm, and from 5 s after four servers of ten became five times
// slower.
func p99s(seed uint64, perSecond float64, who chooser) (calm, slow time.Duration) {
	p := newPool(seed, who)
	p.offer(perSecond)
	if who == told {
		p.tell()
	}
	p.run(30 * time.Second)
	_, calm = p.run(time.Minute)
	for i := range 4 {
		p.slow[2*i+1] = 5
	}
	p.run(5 * time.Second)
	_, slow = p.run(time.Minute)
	return calm, slow
}

// Hosts that each send a few long requests a minute, and are told what the others have in flight, choose
// nearly as well as one who sees all queues.
func TestLongRequestsSpread(t *testing.T) {
	for _, c := range []struct{ perSecond, calm, slow float64 }{{10, 1.35, 1.35}, {16, 1.35, 1.6}, {25, 1.5, 1.7}, {40, 1.7, 1.8}} {
		for seed := range uint64(3) {
			calm, slow := p99s(seed, c.perSecond, told)
			leastCalm, leastSlow := p99s(seed, c.perSecond, seesAll)
			ratios := [2]float64{float64(calm) / float64(leastCalm), float64(slow) / float64(leastSlow)}
			t.Logf("%v a second: %v, slow %v; %.2f and %.2f times the least", c.perSecond, calm.Round(ms), slow.Round(ms), ratios[0], ratios[1])
			assert.Check(t, ratios[0] <= c.calm && ratios[1] <= c.slow, "%.2f", ratios)
		}
	}
}

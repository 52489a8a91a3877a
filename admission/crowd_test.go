package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mallowgap/mallowgap/admission"
)

// crowd drives the gates of n hosts, which report to one SharedGate, and one queue at the servers.
type crowd struct {
	gates  []*admission.Gate
	shared *admission.SharedGate
	rng    *rand.Rand
	now    time.Time
	start  time.Time
	// perSecond is the number of requests of the higher rank that the servers can process.
	perSecond float64
	queue     time.Duration
	// maxQueue, if not 0, is the queue at which servers are full: a request that finds it is dropped.
	maxQueue time.Duration
	history  [observationDelay]time.Duration
	// reported holds what each host has offered since its last report; observed is the queue that
	// each host saw with its last admitted request, observedAt when.
	reported   [][]admission.Offered
	observed   []time.Duration
	observedAt []time.Time
	// cutOff reports whether a host neither reports nor gets verdicts; misled, whether it gets
	// verdicts out of range. Without shared every host is cut off.
	cutOff, misled func(host int) bool
	sent           []sentVerdict
	returns        callers
	// hasty reports whether a caller repeats at once; team returns its team.
	hasty  func(id int) bool
	team   func(id int) int
	nextID int
	log    []attempt
}

type sentVerdict struct {
	verdict admission.Verdict
	at      time.Time
}

// caller is one caller with a request; next is when it tries next.
type caller struct {
	id          int
	rank        uint32
	first, next time.Time
	refused     int
	obeys       bool
}

// attempt is the outcome of one attempt. wait is the wait at the servers if it was admitted.
type attempt struct {
	caller
	at       time.Time
	admitted bool
	// dropped is set if the servers were full when the request reached them.
	dropped bool
	wait    time.Duration
}

type callers []*caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].next.Before(c[j].next) }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(*caller)) }
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

const (
	// queryTimeout is the callers' patience, reportInterval the time between reports of a host and
	// between verdicts, and messageTime that of a message.
	queryTimeout   = 4 * time.Second
	reportInterval = 50 * time.Millisecond
	messageTime    = 8 * time.Millisecond
	// baseLoad is the load before and after a step, as a share of what the servers can do.
	baseLoad = 0.3
)

// queryWork and queryObjective are those of the ranks 1 and 2.
var (
	queryWork      = map[uint32]time.Duration{1: 28 * time.Millisecond, 2: 9 * time.Millisecond}
	queryObjective = map[uint32]time.Duration{1: 300 * time.Millisecond, 2: 120 * time.Millisecond}
)

func newCrowd(hosts int, seed uint64) *crowd {
	start := time.Unix(1000, 0)
	c := &crowd{
		shared: admission.NewSharedGate(), rng: rand.New(rand.NewPCG(seed, 2)), start: start, now: start, perSecond: max(140, 140*float64(hosts)/122),
		reported: make([][]admission.Offered, hosts), observed: make([]time.Duration, hosts), observedAt: make([]time.Time, hosts),
		cutOff: func(int) bool { return false }, misled: func(int) bool { return false },
		hasty: func(int) bool { return false }, team: func(int) int { return 0 },
	}
	for i := range hosts {
		c.gates = append(c.gates, admission.NewGate(rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	return c
}

// run simulates arrivals at a multiple of what the servers can do.
func (c *crowd) run(length time.Duration, load float64) {
	for range length / step {
		c.now = c.now.Add(step)
		copy(c.history[1:], c.history[:observationDelay-1])
		c.queue = max(c.queue-step, 0)
		c.history[0] = c.queue
		c.exchange()
		for len(c.returns) > 0 && !c.returns[0].next.After(c.now) {
			c.attempt(heap.Pop(&c.returns).(*caller))
		}
		for expected := load * c.perSecond * step.Seconds() / 0.83; expected > 0; expected-- {
			if c.rng.Float64() < expected {
				c.arrive()
			}
		}
	}
}

// exchange sends the reports and verdicts that are due.
func (c *crowd) exchange() {
	tick := int(c.now.Sub(c.start) / step)
	interval := int(reportInterval / step)
	for host := range c.gates {
		if host%interval == tick%interval && !c.cutOff(host) {
			c.shared.Offered(c.reported[host], c.now.Add(messageTime))
			c.reported[host] = nil
		}
	}
	if tick%interval != 0 {
		return
	}
	now := c.now.Add(messageTime)
	c.shared.ObserveWait(c.history[observationDelay-1], now)
	verdict, known := c.shared.Verdict(now)
	c.sent = append(c.sent, sentVerdict{verdict, now})
	for host, gate := range c.gates {
		if c.misled(host) {
			verdict := verdict
			verdict.RefusedShare = []float64{math.NaN(), -1, 7}[tick/interval%3]
			gate.ApplyVerdict(verdict, now)
		} else if known && !c.cutOff(host) {
			gate.ApplyVerdict(verdict, now)
		}
	}
}

// arrive brings a new caller. The callers of each team have one rank, and every fourth the lower one.
func (c *crowd) arrive() {
	c.nextID++
	rank := uint32(1)
	if c.nextID%4 == 3 {
		rank = 2
	}
	c.attempt(&caller{id: c.nextID, rank: rank, first: c.now, obeys: !c.hasty(c.nextID)})
}

// attempt offers the request of a caller at a random host.
func (c *crowd) attempt(caller *caller) {
	host := c.rng.IntN(len(c.gates))
	waited := c.now.Sub(caller.first)
	objective := queryObjective[caller.rank]
	decision := c.gates[host].Offer(admission.Request{
		Rank: caller.rank, Objective: objective, Late: waited > objective,
		Returning: waited >= admission.ShortestRetry(objective), Team: fmt.Sprint("team ", c.team(caller.id)), Wait: c.ownWait(host),
	}, c.now)
	c.reported[host] = append(c.reported[host], decision.Offered)
	dropped := decision.Admitted && c.maxQueue > 0 && c.queue >= c.maxQueue
	c.log = append(c.log, attempt{caller: *caller, at: c.now, admitted: decision.Admitted, dropped: dropped, wait: c.queue})
	if decision.Admitted && !dropped {
		c.gates[host].ObserveCost(caller.rank, queryWork[caller.rank])
		c.observed[host], c.observedAt[host] = c.queue, c.now
		c.queue += time.Duration(float64(time.Second) / c.perSecond * queryWork[caller.rank].Seconds() / queryWork[1].Seconds())
		return
	}
	delay := max(decision.RetryAfter, reportInterval)
	if !caller.obeys {
		delay = 10 * time.Millisecond
	}
	caller.refused++
	caller.next = c.now.Add(delay)
	if caller.next.Sub(caller.first) < queryTimeout {
		heap.Push(&c.returns, caller)
	}
}

// ownWait returns the wait that a host knows from its own requests, which loses half of itself in
// 150 ms.
func (c *crowd) ownWait(host int) time.Duration {
	return time.Duration(float64(c.observed[host]) * math.Pow(0.5, c.now.Sub(c.observedAt[host]).Seconds()/0.15))
}

// tally sums up the attempts from one time after the start to another.
type tally struct {
	// goodput is the work answered in time, as a share of what the servers can do.
	goodput float64
	// admitted is the share of the attempts that was admitted; longest the longest wait of them.
	attempts, admitted, dropped, expired int
	longest                              time.Duration
}

func (c *crowd) tally(from, to time.Duration, of func(attempt) bool) tally {
	t := tally{}
	work := 0.0
	for _, a := range c.log {
		if at := a.at.Sub(c.start); at < from || at >= to || !of(a) {
			continue
		}
		t.attempts++
		if !a.admitted {
			continue
		}
		t.admitted++
		if a.dropped {
			t.dropped++
			continue
		}
		t.longest = max(t.longest, a.wait)
		waited := a.at.Sub(a.first) + a.wait + serviceTime
		if waited > queryTimeout {
			t.expired++
		} else if waited <= queryObjective[a.rank] {
			work += queryWork[a.rank].Seconds() / queryWork[1].Seconds()
		}
	}
	t.goodput = work / (c.perSecond * (to - from).Seconds())
	return t
}

func all(attempt) bool { return true }

func everyHost(int) bool { return true }

func firstHalf(hosts int) func(int) bool { return func(host int) bool { return host < hosts/2 } }

// surge runs a base load, a surge of the given length from second 4 on, and the base load again.
func (c *crowd) surge(load float64, length time.Duration) *crowd {
	c.run(4*time.Second, baseLoad)
	c.run(length, load)
	c.run(4*time.Second, baseLoad)
	return c
}

func (c *crowd) longestWait() time.Duration { return c.tally(0, time.Hour, all).longest }

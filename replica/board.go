package replica

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// BoardInterval is the minimum time between two calls of Board.Changes. Queues grow and drain
	// over several of these.
	BoardInterval = 100 * time.Millisecond
	// maxBoardChanges bounds the changes told at once, and by that the bytes of a message.
	maxBoardChanges = 48
	// boardMinWeight is the minimum weight of an observation in the average of a queue, which
	// halves the older ones within boardHalfLife: a single waiting request is no load.
	boardMinWeight = 0.3
	boardHalfLife  = 50 * time.Millisecond
	// shortestToldQueue is the average queue from which a server counts as loaded, and
	// clearedQueue the one below which it no longer does.
	shortestToldQueue = 1
	clearedQueue      = 0.5
	// queueFactor and serviceTimeFactor are the changes that matter.
	queueFactor       = 2
	serviceTimeFactor = 4.0 / 3
	// A queue of less than longQueue requests for each slot, or a service time, must differ for
	// queuePersists or serviceTimePersists before it is told: after a pause of a server, requests
	// that waited for its end are served before anybody could hear of it.
	longQueue           = 3
	queuePersists       = BoardInterval
	serviceTimePersists = 500 * time.Millisecond
	// boardRepeat is the interval at which a queue that stays is told again; hosts forget it after
	// ToldTTL.
	boardRepeat = 400 * time.Millisecond
	// LongRun is the service time from which hosts report also the start of calls: where requests run
	// that long, the reports of their ends are rare and late. Their run times are told from the first
	// one, as hosts seldom call the server themselves.
	LongRun = 100 * time.Millisecond
	// A long run time is the time for which slots were busy, divided by the requests that ended: waits
	// do not count, however long they were. Each end reduces the weight of earlier ones to
	// longRunMemory, and so does time by longRunHalfLife.
	longRunMemory   = 0.85
	longRunHalfLife = 5 * time.Second
	// overdueFactor is the multiple of the run time after which requests that have not ended show that
	// it became longer.
	overdueFactor = 2
	// maxInFlightAge is how long the calls of a host count without a report of it.
	maxInFlightAge = 20 * time.Second
	// boardForget is the time without observations after which a server is forgotten, and
	// longRunForget the one after which a server with long run times is.
	boardForget   = 10 * time.Second
	longRunForget = 10 * time.Minute
)

// ServerLoad is what all hosts are told of a server.
type ServerLoad struct {
	Server string
	// Waiting is the number of waiting requests.
	Waiting int
	// ServiceTime is the run time of a request without its wait; 0 is unknown.
	ServiceTime time.Duration
	// InFlight is the number of requests in flight there, of one host if it is observed and of all
	// if it is told. It is told only if requests run long.
	InFlight int
}

// StartsOnly reports whether a load reports only the start of calls.
func (l ServerLoad) StartsOnly() bool { return l.Waiting == 0 && l.ServiceTime == 0 }

// Board combines what hosts observe of servers, and decides what to tell all hosts. It answers
// demand that moves between regions: hosts with few requests each know queues only from their own
// last calls, and choose full servers near them while others are idle. While no server is loaded it
// tells nothing. It is not safe for concurrent use.
type Board struct{ servers map[string]*boardEntry }

// boardEntry is the state of one server.
type boardEntry struct {
	// queue is the average queue at observedAt.
	queue       float64
	serviceTime time.Duration
	observedAt  time.Time
	// told is what hosts know, since toldAt. The first service time is known to them from their own
	// calls.
	told   ServerLoad
	toldAt time.Time
	// queueSince and serviceTimeSince are when the queue appeared, and when the service time began to
	// differ, without hosts being told; zero if they know.
	queueSince, serviceTimeSince time.Time

	slots int
	// long is set if requests run long: the first one did, or hosts report starts. A server that turns
	// slow is not meant.
	long bool
	// busy is the time for which slots were busy since the last end of a request, known up to busyAt.
	// sumBusy and sumEnds are the decayed sums at endedAt.
	busy             time.Duration
	busyAt, endedAt  time.Time
	sumBusy, sumEnds float64
	// calls holds the calls in flight by host.
	calls map[string]hostCalls
}

// hostCalls is the number of calls in flight from one host.
type hostCalls struct {
	n          int
	reportedAt time.Time
}

// NewBoard returns a Board on which no server is loaded.
func NewBoard() *Board { return &Board{servers: map[string]*boardEntry{}} }

// Observe records the load of a server with a number of slots that a host observed at about now. A
// load with calls in flight only reports the start of one.
func (b *Board) Observe(host string, l ServerLoad, slots int, now time.Time) {
	e := b.servers[l.Server]
	if e == nil {
		e = &boardEntry{told: ServerLoad{Server: l.Server}, calls: map[string]hostCalls{}}
		b.servers[l.Server] = e
	}
	e.slots = slots
	e.addBusy(now)
	started, ended := e.calls[host].n > 0, e.calls[host].n-l.InFlight
	if e.calls[host] = (hostCalls{l.InFlight, now}); l.InFlight == 0 {
		delete(e.calls, host)
	}
	if l.StartsOnly() {
		e.long = e.long || l.InFlight > 0 && e.serviceTime >= LongRun/2
		return
	}
	weight := 1.0
	if !e.observedAt.IsZero() {
		weight = max(boardMinWeight, 1-math.Exp2(-float64(now.Sub(e.observedAt))/float64(boardHalfLife)))
	}
	e.queue += weight * (float64(l.Waiting) - e.queue)
	if e.long && started && l.ServiceTime > 0 {
		e.observeEnds(max(ended, 1), now)
	} else {
		e.observeServiceTime(l.ServiceTime, weight)
	}
	e.observedAt = now
}

// observeServiceTime adds a service time to the average.
func (e *boardEntry) observeServiceTime(sample time.Duration, weight float64) {
	if sample > 0 && e.serviceTime == 0 {
		e.serviceTime, e.long = sample, sample >= LongRun
	} else if sample > 0 {
		e.serviceTime += time.Duration(weight * float64(sample-e.serviceTime))
	}
	e.long = e.long && e.serviceTime >= LongRun/2
	if e.told.ServiceTime == 0 && !e.long {
		e.told.ServiceTime = e.serviceTime
	}
}

// addBusy adds the time for which slots were busy until now.
func (e *boardEntry) addBusy(now time.Time) {
	if !e.busyAt.IsZero() {
		e.busy += time.Duration(min(e.inFlight(now), e.slots)) * now.Sub(e.busyAt)
	}
	e.busyAt = now
}

// observeEnds records that requests ended at a server where they run long.
func (e *boardEntry) observeEnds(n int, now time.Time) {
	if e.sumEnds == 0 {
		e.sumBusy, e.sumEnds = float64(e.serviceTime), 1
	} else {
		kept := math.Pow(longRunMemory, float64(n)) * math.Exp2(-float64(now.Sub(e.endedAt))/float64(longRunHalfLife))
		e.sumBusy = kept*e.sumBusy + float64(e.busy)
		e.sumEnds = kept*e.sumEnds + float64(n)
	}
	e.serviceTime = time.Duration(e.sumBusy / e.sumEnds)
	e.busy, e.endedAt = 0, now
}

// expectedRun returns the service time, or a longer one if requests should have ended by now.
func (e *boardEntry) expectedRun(now time.Time) time.Duration {
	if !e.long {
		return e.serviceTime
	}
	e.addBusy(now)
	running := time.Duration(min(e.inFlight(now), e.slots))
	if running == 0 || e.busy < overdueFactor*running*e.serviceTime {
		return e.serviceTime
	}
	return e.busy / running // They may have started together.
}

// Left forgets the calls in flight from a host.
func (b *Board) Left(host string) {
	for _, e := range b.servers {
		delete(e.calls, host)
	}
}

// Changes returns what hosts have to be told, the most loaded servers first, and whether it must be
// called again although nothing is observed meanwhile.
func (b *Board) Changes(now time.Time) (changes []ServerLoad, again bool) {
	for server, e := range b.servers {
		if e.idle(now) {
			delete(b.servers, server)
		} else if l, changed := e.change(now); changed {
			changes = append(changes, l)
		}
	}
	slices.SortFunc(changes, func(x, y ServerLoad) int {
		return cmp.Or(cmp.Compare(b.weight(y), b.weight(x)), cmp.Compare(x.Server, y.Server))
	})
	again = len(changes) > maxBoardChanges
	changes = changes[:min(len(changes), maxBoardChanges)]
	for _, l := range changes {
		e := b.servers[l.Server]
		e.told, e.toldAt = l, now
		e.queueSince, e.serviceTimeSince = time.Time{}, time.Time{}
	}
	for _, e := range b.servers {
		again = again || !e.queueSince.IsZero() || !e.serviceTimeSince.IsZero() || e.told.Waiting > 0 || len(e.calls) > 0 && e.long
	}
	return changes, again
}

// idle reports whether a server can be forgotten.
func (e *boardEntry) idle(now time.Time) bool {
	unseen := now.Sub(e.observedAt)
	return unseen > boardForget && len(e.calls) == 0 && e.told.Waiting == 0 && (!e.long || unseen > longRunForget)
}

// Loaded returns what a host that has heard nothing has to be told: the servers with queues,
// and those with long run times.
func (b *Board) Loaded() []ServerLoad {
	var loaded []ServerLoad
	for _, e := range b.servers {
		if e.told.Waiting > 0 || e.long && !e.toldAt.IsZero() {
			loaded = append(loaded, e.told)
		}
	}
	slices.SortFunc(loaded, func(x, y ServerLoad) int { return cmp.Compare(x.Server, y.Server) })
	return loaded
}

// weight orders changes by the wait at the server, before or after the change.
func (b *Board) weight(l ServerLoad) time.Duration {
	told := b.servers[l.Server].told
	return max(time.Duration(max(l.Waiting, l.InFlight))*l.ServiceTime, time.Duration(max(told.Waiting, told.InFlight))*told.ServiceTime)
}

// change returns the load of a server, and whether it has to be told.
func (e *boardEntry) change(now time.Time) (ServerLoad, bool) {
	l := ServerLoad{Server: e.told.Server, Waiting: e.waiting(now), ServiceTime: e.expectedRun(now)}
	if e.long {
		l.InFlight = e.inFlight(now)
	}
	switch full := max(l.InFlight, e.told.InFlight) >= e.slots && e.slots > 0; {
	case l.InFlight != e.told.InFlight && full:
		return l, true
	case full && now.Sub(e.toldAt) >= boardRepeat:
		return l, true
	case persists(&e.serviceTimeSince, differs(l.ServiceTime, e.told.ServiceTime), e.long, serviceTimePersists, now):
		return l, true
	case e.told.Waiting == 0:
		return l, persists(&e.queueSince, l.Waiting > 0, e.long || l.Waiting >= longQueue*max(e.slots, 1), queuePersists, now)
	case l.Waiting == 0 || l.Waiting >= queueFactor*e.told.Waiting || queueFactor*l.Waiting <= e.told.Waiting:
		return l, true
	}
	return l, now.Sub(e.toldAt) >= boardRepeat
}

// persists reports whether a difference, which exists since the given time, has to be told: at once, or
// because it has persisted for a time.
func persists(since *time.Time, exists, atOnce bool, persisted time.Duration, now time.Time) bool {
	if !exists {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return atOnce || now.Sub(*since) >= persisted
}

// inFlight returns the number of calls in flight from all hosts.
func (e *boardEntry) inFlight(now time.Time) int {
	n := 0
	for host, c := range e.calls {
		if now.Sub(c.reportedAt) > maxInFlightAge {
			delete(e.calls, host)
		} else {
			n += c.n
		}
	}
	return n
}

// waiting returns the queue of a server; without further observations it drains.
func (e *boardEntry) waiting(now time.Time) int {
	queue := e.queue * math.Exp2(-float64(now.Sub(e.observedAt))/float64(queueHalfLife))
	if queue < clearedQueue || queue < shortestToldQueue && e.told.Waiting == 0 {
		return 0
	}
	return int(max(math.Round(queue), 1))
}

// differs reports whether service times differ materially.
func differs(a, b time.Duration) bool {
	return float64(max(a, b)) >= serviceTimeFactor*float64(min(a, b)) && a != b
}

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
	// boardRepeat is the interval at which a queue that stays is told again; hosts forget it after
	// ToldTTL.
	boardRepeat = 400 * time.Millisecond
	// boardForget is the time without observations after which a server is forgotten.
	boardForget = 10 * time.Second
)

// ServerLoad is what all hosts are told of a server.
type ServerLoad struct {
	Server string
	// Waiting is the number of waiting requests.
	Waiting int
	// ServiceTime is the run time of a request without its wait; 0 is unknown.
	ServiceTime time.Duration
}

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
}

// NewBoard returns a Board on which no server is loaded.
func NewBoard() *Board { return &Board{servers: map[string]*boardEntry{}} }

// Observe records the load of a server that a host observed at about now.
func (b *Board) Observe(l ServerLoad, now time.Time) {
	e := b.servers[l.Server]
	if e == nil {
		e = &boardEntry{told: ServerLoad{Server: l.Server}}
		b.servers[l.Server] = e
	}
	weight := 1.0
	if !e.observedAt.IsZero() {
		weight = max(boardMinWeight, 1-math.Exp2(-float64(now.Sub(e.observedAt))/float64(boardHalfLife)))
	}
	e.queue += weight * (float64(l.Waiting) - e.queue)
	if l.ServiceTime > 0 && e.serviceTime == 0 {
		e.serviceTime = l.ServiceTime
	} else if l.ServiceTime > 0 {
		e.serviceTime += time.Duration(weight * float64(l.ServiceTime-e.serviceTime))
	}
	if e.told.ServiceTime == 0 {
		e.told.ServiceTime = e.serviceTime
	}
	e.observedAt = now
}

// Changes returns what hosts have to be told, the most loaded servers first, and whether it must be
// called again although nothing is observed meanwhile.
func (b *Board) Changes(now time.Time) (changes []ServerLoad, again bool) {
	for server, e := range b.servers {
		if now.Sub(e.observedAt) > boardForget && e.told.Waiting == 0 {
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
	}
	for _, e := range b.servers {
		again = again || e.told.Waiting > 0
	}
	return changes, again
}

// Loaded returns what a host that has heard nothing has to be told: the servers with queues.
func (b *Board) Loaded() []ServerLoad {
	var loaded []ServerLoad
	for _, e := range b.servers {
		if e.told.Waiting > 0 {
			loaded = append(loaded, e.told)
		}
	}
	slices.SortFunc(loaded, func(x, y ServerLoad) int { return cmp.Compare(x.Server, y.Server) })
	return loaded
}

// weight orders changes by the wait at the server, before or after the change.
func (b *Board) weight(l ServerLoad) time.Duration {
	told := b.servers[l.Server].told
	return max(time.Duration(l.Waiting)*l.ServiceTime, time.Duration(told.Waiting)*told.ServiceTime)
}

// change returns the load of a server, and whether it has to be told.
func (e *boardEntry) change(now time.Time) (ServerLoad, bool) {
	l := ServerLoad{Server: e.told.Server, Waiting: e.waiting(now), ServiceTime: e.serviceTime}
	switch {
	case differs(l.ServiceTime, e.told.ServiceTime):
		return l, true
	case e.told.Waiting == 0 || l.Waiting == 0:
		return l, l.Waiting != e.told.Waiting
	case l.Waiting >= queueFactor*e.told.Waiting || queueFactor*l.Waiting <= e.told.Waiting:
		return l, true
	}
	return l, now.Sub(e.toldAt) >= boardRepeat
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

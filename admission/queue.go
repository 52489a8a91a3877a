package admission

import (
	"container/heap"
	"time"
)

// Order is the order in which waiting requests are admitted.
type Order int

const (
	// ByClass admits higher classes first and, within a class, the earliest deadline.
	ByClass Order = iota
	// FIFO admits in order of arrival and refuses no request because its deadline is
	// near. It is the baseline for comparisons.
	FIFO
)

const (
	// serviceSmoothing is the weight of a new sample in the moving average of the
	// service time.
	serviceSmoothing = 0.1
	// outlierFactor bounds a sample to a multiple of the estimate, so that one stalled
	// request does not cause later requests to be refused as too late.
	outlierFactor = 3
)

// Refusal is the reason why a request was not queued.
type Refusal int

const (
	// Accepted means that the request was queued.
	Accepted Refusal = iota
	// QueueFull means that the queue of the class is at its length limit.
	QueueFull
	// TooLate means that the request is not expected to finish by its deadline.
	TooLate
)

// Settings configure a queue.
type Settings struct {
	Order Order
	// Length is the maximum number of waiting requests of each class.
	Length int
	// FloorShare is the share of admissions (0 to 1) reserved for the lowest waiting
	// class.
	FloorShare float64
}

// Item is one waiting request. The caller keeps it to be able to withdraw the request.
type Item struct {
	// Rank is the rank of the class; 0 is the highest.
	Rank     uint32
	Deadline time.Time
	// Admitted is called, from within Admit, when the request may run.
	Admitted func()

	arrival uint64
	index   int
	order   Order
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue struct {
	settings      Settings
	capacity      int
	running       int
	waiting       requestHeap
	waitingByRank map[uint32]int
	arrivals      uint64
	// floorCredit accumulates FloorShare per admission; at 1 the lowest waiting class
	// is admitted next.
	floorCredit float64
	// serviceTime is the smoothed time from admission to completion of all requests,
	// serviceByRank that of each class. For lower classes it includes waiting for slots.
	serviceTime   time.Duration
	serviceByRank map[uint32]time.Duration
}

// NewQueue returns an empty queue that admits up to capacity requests at a time.
func NewQueue(settings Settings, capacity int) *Queue {
	return &Queue{settings: settings, capacity: capacity, waitingByRank: map[uint32]int{}, serviceByRank: map[uint32]time.Duration{}}
}

// SetCapacity sets how many requests may run at a time. Running requests are unaffected.
func (q *Queue) SetCapacity(capacity int) { q.capacity = capacity }

// Offer queues a request, or refuses it and returns the delay after which a retry may
// succeed. A queued request is admitted by a later call of Admit.
func (q *Queue) Offer(item *Item, now time.Time) (Refusal, time.Duration) {
	wait := q.Wait(item.Rank)
	service := q.Service(item.Rank)
	tooLate := now.Add(wait + service).After(item.Deadline)
	if !now.Before(item.Deadline) {
		return TooLate, service
	}
	if q.settings.Order == ByClass && tooLate && !q.idle() {
		return TooLate, max(wait, service)
	}
	if q.waitingByRank[item.Rank] >= q.settings.Length {
		return QueueFull, max(wait, service)
	}
	q.arrivals++
	item.arrival = q.arrivals
	item.order = q.settings.Order
	q.waitingByRank[item.Rank]++
	heap.Push(&q.waiting, item)
	return Accepted, 0
}

// idle reports whether nothing runs or waits. An idle queue accepts a request whatever
// the estimate says, because an estimate that refuses everything would get no samples.
func (q *Queue) idle() bool { return q.running == 0 && len(q.waiting) == 0 }

// Wait estimates how long a new request of the given rank would wait.
func (q *Queue) Wait(rank uint32) time.Duration {
	ahead := 0
	for r, n := range q.waitingByRank {
		if r <= rank || q.settings.Order == FIFO {
			ahead += n
		}
	}
	free := q.capacity - q.running
	if ahead < free || q.capacity <= 0 {
		return 0
	}
	return q.serviceTime * time.Duration(ahead+1) / time.Duration(q.capacity)
}

// Service returns the smoothed time from admission to completion of the requests of a
// class, or of all requests if none of the class has completed.
func (q *Queue) Service(rank uint32) time.Duration {
	if own, ok := q.serviceByRank[rank]; ok {
		return own
	}
	return q.serviceTime
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of admitted requests that have not completed.
func (q *Queue) Running() int { return q.running }

// Admit calls Admitted of waiting requests, in order, while there is free capacity.
func (q *Queue) Admit() {
	for q.running < q.capacity && len(q.waiting) > 0 {
		item := q.next()
		q.waitingByRank[item.Rank]--
		q.running++
		item.Admitted()
	}
}

// next removes the request to admit next from the heap; the heap must not be empty.
func (q *Queue) next() *Item {
	if q.settings.Order == ByClass {
		q.floorCredit += q.settings.FloorShare
		if q.floorCredit >= 1 {
			q.floorCredit--
			return heap.Remove(&q.waiting, q.lowest()).(*Item)
		}
	}
	return heap.Pop(&q.waiting).(*Item)
}

// lowest returns the index of the most urgent request of the lowest waiting class.
func (q *Queue) lowest() int {
	best := 0
	for i, item := range q.waiting {
		if item.Rank > q.waiting[best].Rank || (item.Rank == q.waiting[best].Rank && q.waiting.Less(i, best)) {
			best = i
		}
	}
	return best
}

// Withdraw removes a waiting request. It reports false if the request is not waiting;
// if it has been admitted, the caller must still call Done.
func (q *Queue) Withdraw(item *Item) bool {
	if item.index < 0 || item.index >= len(q.waiting) || q.waiting[item.index] != item {
		return false
	}
	heap.Remove(&q.waiting, item.index)
	q.waitingByRank[item.Rank]--
	return true
}

// Done records that an admitted request of the given class has completed. ran is the
// time since its admission; 0 leaves the service time estimates unchanged.
func (q *Queue) Done(rank uint32, ran time.Duration) {
	q.running--
	if ran <= 0 {
		return
	}
	q.serviceByRank[rank] = smooth(q.serviceByRank[rank], ran)
	q.serviceTime = smooth(q.serviceTime, ran)
}

// smooth returns the moving average after a sample, which is first capped at
// outlierFactor times the estimate. An estimate of 0 has no samples yet.
func smooth(estimate, sample time.Duration) time.Duration {
	if estimate == 0 {
		return sample
	}
	sample = min(sample, outlierFactor*estimate)
	return estimate + time.Duration(serviceSmoothing*float64(sample-estimate))
}

// requestHeap holds the waiting requests; it implements heap.Interface.
type requestHeap []*Item

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.order == FIFO {
		return a.arrival < b.arrival
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.arrival < b.arrival
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.index = -1
	return item
}

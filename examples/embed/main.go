// Command embed shows how another system uses the coordination packages of
// mallowgap: a job runner that admits jobs by priority, limits the concurrency of
// each worker, bounds its retries and stores its settings with package config.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/limit"
	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/retry"
)

const (
	workers   = 3
	slots     = 2
	jobs      = 12
	jobTime   = 5 * time.Millisecond
	failShare = 0.2
)

var errWorker = errors.New("worker failed")

// runner runs jobs on workers. mu guards all other fields.
type runner struct {
	mu      sync.Mutex
	queue   *admission.Queue
	workers *replica.Set
	budget  *retry.Budget
	rng     *rand.Rand
}

func newRunner(rng *rand.Rand) *runner {
	leaves := make([]*replica.Leaf, workers)
	for i := range leaves {
		leaves[i] = &replica.Leaf{Address: fmt.Sprint("worker-", i), Slots: limit.NewSlots(slots)}
	}
	return &runner{
		queue:   admission.NewQueue(admission.Settings{Length: 100, FloorShare: 0.05}, workers*slots),
		workers: replica.NewSet(leaves, replica.Observed, rng),
		budget:  retry.NewBudget(0.1, 3),
		rng:     rng,
	}
}

// run queues one job and runs it once admitted. Rank 0 has the highest priority.
func (r *runner) run(name string, rank uint32) error {
	admitted := make(chan struct{})
	item := &admission.Item{Rank: rank, Deadline: time.Now().Add(time.Second), Admitted: func() { close(admitted) }}
	r.mu.Lock()
	refusal, retryAfter := r.queue.Offer(item, time.Now())
	r.queue.Admit()
	r.mu.Unlock()
	if refusal != admission.Accepted {
		return fmt.Errorf("job %s refused: retry after %v", name, retryAfter)
	}
	<-admitted
	start := time.Now()
	err := r.attempts(name, rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Done(rank, time.Since(start))
	r.queue.Admit()
	return err
}

// attempts runs a job, with retries as long as the budget permits them.
func (r *runner) attempts(name string, rank uint32) error {
	r.mu.Lock()
	r.budget.AddFirstAttempts(1)
	r.mu.Unlock()
	for {
		err := r.attempt(name)
		if err == nil {
			return nil
		}
		r.mu.Lock()
		allowed := r.budget.Take(rank)
		r.mu.Unlock()
		if !allowed {
			return err
		}
	}
}

func (r *runner) attempt(name string) error {
	r.mu.Lock()
	start := time.Now()
	worker := r.workers.Pick(start, 0, 0)
	if worker == replica.None || !r.workers.Acquire(worker, start) {
		r.mu.Unlock()
		time.Sleep(time.Millisecond)
		return r.attempt(name)
	}
	failed := r.rng.Float64() < failShare
	r.mu.Unlock()
	time.Sleep(jobTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers.Leaves[worker].Slots.Release()
	if failed {
		r.workers.Failed(worker, time.Now())
		return errWorker
	}
	r.workers.Answered(worker, time.Since(start), time.Now())
	fmt.Printf("job %s ran on %s\n", name, r.workers.Leaves[worker].Address)
	return nil
}

// memStore is a minimal in-memory config.Store.
type memStore struct {
	values map[string]config.Value
}

// Get implements config.Store.
func (m *memStore) Get(_ context.Context, key string) (config.Value, error) {
	return m.values[key], nil
}

// CompareAndSwap implements config.Store.
func (m *memStore) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte) (bool, error) {
	if m.values[key].Version != expect {
		return false, nil
	}
	m.values[key] = config.Value{Version: expect + 1, Data: data}
	return true, nil
}

// changeClasses applies two changes to the same revision; the second one conflicts.
func changeClasses() error {
	editor := config.Editor{Store: &memStore{values: map[string]config.Value{}}, Sleep: config.Sleep}
	next := &configpb.Config{Classes: []*configpb.Class{{Name: "urgent"}, {Name: "batch", Rank: 1}}}
	revision, err := editor.Apply(context.Background(), 0, "add classes", next)
	if err != nil {
		return err
	}
	fmt.Println("classes applied as revision", revision)
	_, err = editor.Apply(context.Background(), 0, "add classes too", next)
	fmt.Println("second change to the same revision:", err)
	return nil
}

func main() {
	if err := changeClasses(); err != nil {
		log.Fatal(err)
	}
	r := newRunner(rand.New(rand.NewPCG(1, 1)))
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			name := fmt.Sprint(i)
			if err := r.run(name, uint32(i%2)); err != nil {
				fmt.Printf("job %s: %v\n", name, err)
			}
		})
	}
	wg.Wait()
}

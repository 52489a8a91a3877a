package home_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
)

// crashingFleet is a fleet whose leaves crash while running a query that ends in
// "poison" and are back as another incarnation after three seconds.
type crashingFleet struct {
	*leaffake.Fleet
	mu sync.Mutex
	// crashed holds, by address, a channel that is closed when the leaf crashes.
	crashed map[string]chan struct{}
	crashes int
	// runTimes is how long a leaf runs a poison query before it crashes, by query.
	runTimes map[string]time.Duration
}

// setRunTime sets how long leaves run a poison query before they crash.
func (f *crashingFleet) setRunTime(query string, runTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runTimes[query] = runTime
}

func (f *crashingFleet) runTime(query string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.runTimes[query], serviceTime)
}

func (f *crashingFleet) crashSignal(address string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed[address] == nil {
		f.crashed[address] = make(chan struct{})
	}
	return f.crashed[address]
}

func (f *crashingFleet) isDown(address string) bool {
	select {
	case <-f.crashSignal(address):
		return true
	default:
		return false
	}
}

func (f *crashingFleet) crash(address string) {
	crashed := f.crashSignal(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-crashed:
		return
	default:
	}
	close(crashed)
	f.crashes++
	f.Restart(address)
	time.AfterFunc(3*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashed[address] = nil
	})
}

// Execute implements leaf.Client.
func (f *crashingFleet) Execute(ctx context.Context, address string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	if f.isDown(address) {
		return nil, &leaf.NotSentError{Address: address, Err: errors.New("connection refused")}
	}
	if query := string(r.GetQuery()); strings.HasSuffix(query, "poison") {
		select {
		case <-time.After(f.runTime(query)):
			f.crash(address)
			return nil, errors.New("connection reset")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		reply *leafpb.ExecuteReply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := f.Fleet.Execute(ctx, address, r)
		done <- outcome{reply, err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
	case <-f.crashSignal(address):
		return nil, errors.New("connection reset")
	}
}

// Describe implements leaf.Client.
func (f *crashingFleet) Describe(ctx context.Context, address string) (*leafpb.DescribeReply, error) {
	if f.isDown(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Fleet.Describe(ctx, address)
}

// newCrashingService returns a service on a crashingFleet that has been running for a
// second.
func newCrashingService() (*home.Service, *crashingFleet) {
	fleet := &crashingFleet{Fleet: leaffake.New(leafSlots, serviceTime, time.Millisecond), crashed: map[string]chan struct{}{}, runTimes: map[string]time.Duration{}}
	s := home.NewService("search", fleet, home.Options{
		Queue: admission.Settings{Length: 64, FloorShare: 0.02}, Hedging: true, HedgeQuantile: 97, RetryBudgetRatio: 0.05, AttemptIDPrefix: "home-0/1",
	})
	s.Configure(spec(), home.SlotShare{Homes: 1}, noneLeaving)
	time.Sleep(time.Second)
	return s, fleet
}

// A query that crashes every leaf it reaches must be barred, though it comes with new
// request identifiers, and other queries must be answered meanwhile.
func TestCrashingQueryIsBarred(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s, fleet := newCrashingService()
		var mu sync.Mutex
		var wg sync.WaitGroup
		ask := func(id, query string) *callerpb.AskReply {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return s.Serve(ctx, &callerpb.AskRequest{Desk: "d", Service: "search", RequestId: id, Query: []byte(query)}, 0)
		}
		answered, lateCrashes, lastReply := 0, 0, (*callerpb.AskReply)(nil)
		for i := range 200 {
			wg.Go(func() {
				r := ask(fmt.Sprint("r", i), "ordinary")
				mu.Lock()
				defer mu.Unlock()
				if r.GetOutcome() == callerpb.Outcome_ANSWERED {
					answered++
				}
			})
			if i%4 == 0 {
				wg.Go(func() {
					before := fleet.crashCount()
					r := ask(fmt.Sprint("p", i), "poison")
					mu.Lock()
					defer mu.Unlock()
					if lastReply = r; i > 40 && fleet.crashCount() > before {
						lateCrashes++
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d leaves crashed, %d of 200 ordinary queries answered, %d late repeats crashed leaves", fleet.crashCount(), answered, lateCrashes)
		assert.Check(t, lateCrashes <= 3)
		assert.Check(t, answered >= 190)
		assert.Check(t, fleet.crashCount() <= 16)
		assert.Equal(t, lastReply.GetOutcome(), callerpb.Outcome_NOT_RUN, "%v", lastReply)
		assert.Equal(t, lastReply.GetReason(), callerpb.Reason_BARRED, "%v", lastReply)
	})
}

func (f *crashingFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// Leaf crashes with another cause must not bar a query that is sent all the time.
func TestUnrelatedCrashesBarNoQuery(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s, fleet := newCrashingService()
		var mu sync.Mutex
		var wg sync.WaitGroup
		barred, answered := 0, 0
		for i := range 300 {
			if i%80 == 40 { // First all leaves of one failure domain, then all leaves.
				for shard := range shards {
					fleet.crash(address(shard, 0))
					if i > 100 {
						fleet.crash(address(shard, 1))
					}
				}
			}
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				r := s.Serve(ctx, &callerpb.AskRequest{Service: "search", RequestId: fmt.Sprint(i), Query: []byte("popular")}, 0)
				mu.Lock()
				defer mu.Unlock()
				if r.GetReason() == callerpb.Reason_BARRED {
					barred++
				}
				if r.GetOutcome() == callerpb.Outcome_ANSWERED {
					answered++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d of 300 answered, %d leaves crashed", answered, fleet.crashCount())
		assert.Equal(t, barred, 0)
		assert.Check(t, answered >= 180)
	})
}

// A running query must end as soon as its content is barred because of another query,
// since its own attempts would crash more leaves.
func TestQueryUnderWayEndsWhenItsContentIsBarred(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s, fleet := newCrashingService()
		fleet.setRunTime("slow poison", 500*time.Millisecond)
		ask := func(id string) *callerpb.AskReply {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return s.Serve(ctx, &callerpb.AskRequest{Desk: "d", Service: "search", RequestId: id, Query: []byte("slow poison")}, 0)
		}
		var first *callerpb.AskReply
		var wg sync.WaitGroup
		wg.Go(func() { first = ask("r1") })
		time.Sleep(100 * time.Millisecond)
		fleet.setRunTime("slow poison", 0)
		var barredAt time.Time
		for i := 0; barredAt.IsZero(); i++ {
			if ask(fmt.Sprint("again", i)).GetReason() == callerpb.Reason_BARRED {
				barredAt = time.Now()
			}
			assert.Assert(t, i < 20, "it is never barred")
		}
		began := time.Now()
		wg.Wait()
		assert.Equal(t, first.GetReason(), callerpb.Reason_BARRED, "%v", first)
		assert.Equal(t, time.Since(began), time.Duration(0), "the query kept running after it was barred")
	})
}

// A query that was just answered must not be barred when its next attempts all lose their
// leaves to other causes.
func TestLeavesLostInARowBarNoQueryThatWasJustAnswered(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s, fleet := newCrashingService()
		ask := func(id, query string) *callerpb.AskReply {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return s.Serve(ctx, &callerpb.AskRequest{Service: "search", RequestId: id, Query: []byte(query)}, 0)
		}
		ask("p", "poison")
		time.Sleep(5 * time.Second)
		assert.Equal(t, ask("before", "popular").GetOutcome(), callerpb.Outcome_ANSWERED)
		for i := range 3 {
			time.AfterFunc(serviceTime/2, func() {
				for shard := range shards {
					fleet.crash(address(shard, 0))
					fleet.crash(address(shard, 1))
				}
			})
			ask(fmt.Sprint("r", i), "popular")
			time.Sleep(5 * time.Second)
			ask(fmt.Sprint("other", i), "other") // Tells the home of the leaves' new processes.
		}
		r := ask("after", "popular")
		assert.Equal(t, r.GetOutcome(), callerpb.Outcome_ANSWERED, "%v", r)
	})
}

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

// mortalFleet has leaves that end with what they run when it is "poison", and are back after
// three seconds as another incarnation.
type mortalFleet struct {
	*leaffake.Fleet
	mu     sync.Mutex
	died   map[string]chan struct{}
	deaths int
	// works is for how long a leaf runs a query that ends it, by its content.
	works map[string]time.Duration
}

// slow sets for how long leaves run a query that ends them.
func (f *mortalFleet) slow(query string, work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.works[query] = work
}

func (f *mortalFleet) work(query string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.works[query], serviceTime)
}

func (f *mortalFleet) life(address string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.died[address] == nil {
		f.died[address] = make(chan struct{})
	}
	return f.died[address]
}

func (f *mortalFleet) isAway(address string) bool {
	select {
	case <-f.life(address):
		return true
	default:
		return false
	}
}

func (f *mortalFleet) end(address string) {
	died := f.life(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-died:
		return
	default:
	}
	close(died)
	f.deaths++
	f.Restart(address)
	time.AfterFunc(3*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.died[address] = nil
	})
}

// Execute implements leaf.Client.
func (f *mortalFleet) Execute(ctx context.Context, address string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	if f.isAway(address) {
		return nil, &leaf.NotSentError{Address: address, Err: errors.New("connection refused")}
	}
	if query := string(r.GetQuery()); strings.HasSuffix(query, "poison") {
		select {
		case <-time.After(f.work(query)):
			f.end(address)
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
	back := make(chan outcome, 1)
	go func() {
		reply, err := f.Fleet.Execute(ctx, address, r)
		back <- outcome{reply, err}
	}()
	select {
	case o := <-back:
		return o.reply, o.err
	case <-f.life(address):
		return nil, errors.New("connection reset")
	}
}

// Describe implements leaf.Client.
func (f *mortalFleet) Describe(ctx context.Context, address string) (*leafpb.DescribeReply, error) {
	if f.isAway(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Fleet.Describe(ctx, address)
}

// mortalService is a service of such leaves that has been there for a second.
func mortalService() (*home.Service, *mortalFleet) {
	fleet := &mortalFleet{Fleet: leaffake.New(leafSlots, serviceTime, time.Millisecond), died: map[string]chan struct{}{}, works: map[string]time.Duration{}}
	s := home.NewService("search", fleet, home.Options{
		Queue: admission.Settings{Length: 64, FloorShare: 0.02}, Hedging: true, HedgeQuantile: 97, ExtraShare: 0.05, Prefix: "home-0/1",
	})
	s.Configure(spec(), home.Share{Homes: 1}, never)
	time.Sleep(time.Second)
	return s, fleet
}

// A query that ends each leaf which runs it comes again and again to the home of its service,
// under new identifiers: as on the gateway, it took the service away from all other desks.
func TestQueryThatEndsLeavesIsTurnedAway(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, fleet := mortalService()
		var mu sync.Mutex
		var wg sync.WaitGroup
		ask := func(id, query string) *callerpb.AskReply {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return s.Serve(ctx, &callerpb.AskRequest{Desk: "d", Service: "search", RequestId: id, Query: []byte(query)}, 0)
		}
		good, late, last := 0, 0, (*callerpb.AskReply)(nil)
		for i := range 200 {
			wg.Go(func() {
				r := ask(fmt.Sprint("r", i), "ordinary")
				mu.Lock()
				defer mu.Unlock()
				if r.GetOutcome() == callerpb.Outcome_ANSWERED {
					good++
				}
			})
			if i%4 == 0 {
				wg.Go(func() {
					before := fleet.count()
					r := ask(fmt.Sprint("p", i), "poison")
					mu.Lock()
					defer mu.Unlock()
					if last = r; i > 40 && fleet.count() > before {
						late++
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d leaves ended, %d of 200 ordinary queries answered, %d repeats reached leaves late", fleet.count(), good, late)
		assert.Check(t, late <= 3)
		assert.Check(t, good >= 190)
		assert.Check(t, fleet.count() <= 16)
		assert.Equal(t, last.GetOutcome(), callerpb.Outcome_NOT_RUN, "%v", last)
		assert.Equal(t, last.GetReason(), callerpb.Reason_BARRED, "%v", last)
	})
}

func (f *mortalFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deaths
}

// Leaves that end by themselves bar no query that many desks repeat.
func TestLeavesThatEndByThemselvesBarNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, fleet := mortalService()
		var mu sync.Mutex
		var wg sync.WaitGroup
		barred, good := 0, 0
		for i := range 300 {
			if i%80 == 40 { // All leaves of a domain, then all leaves.
				for shard := range shards {
					fleet.end(address(shard, 0))
					if i > 100 {
						fleet.end(address(shard, 1))
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
					good++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		t.Logf("%d of 300 answered, %d leaves ended", good, fleet.count())
		assert.Equal(t, barred, 0)
		assert.Check(t, good >= 180)
	})
}

// Two queries with the same content are under way when the leaves of one end and it is barred: the
// calls of the other end too, as they would take their leaves with them. On the code without the
// mend the second one ran on until its leaves had answered or its time was up: what was barred was
// looked up where a query begins, and by the query that had seen the last leaf end.
func TestQueryUnderWayEndsWhenItsContentIsBarred(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, fleet := mortalService()
		fleet.slow("slow poison", 500*time.Millisecond)
		ask := func(id string) *callerpb.AskReply {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return s.Serve(ctx, &callerpb.AskRequest{Desk: "d", Service: "search", RequestId: id, Query: []byte("slow poison")}, 0)
		}
		var first *callerpb.AskReply
		var wg sync.WaitGroup
		wg.Go(func() { first = ask("r1") })
		time.Sleep(100 * time.Millisecond)
		fleet.slow("slow poison", 0)
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
		assert.Equal(t, time.Since(began), time.Duration(0), "it ran on")
	})
}

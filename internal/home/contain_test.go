package home

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
)

const testSlots = 2

// hookedFleet calls a hook before a request is sent to a leaf.
type hookedFleet struct {
	*leaffake.Fleet
	beforeExecute func(address string, r *leafpb.ExecuteRequest) error
	// panicInDescribe makes Describe panic.
	panicInDescribe atomic.Bool
}

// Execute implements leaf.Client.
func (f *hookedFleet) Execute(ctx context.Context, address string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	if err := f.beforeExecute(address, r); err != nil {
		return nil, err
	}
	return f.Fleet.Execute(ctx, address, r)
}

// Describe implements leaf.Client.
func (f *hookedFleet) Describe(ctx context.Context, address string) (*leafpb.DescribeReply, error) {
	if f.panicInDescribe.Load() {
		panic("injected")
	}
	return f.Fleet.Describe(ctx, address)
}

func leafAddress(shard, replica int) string { return fmt.Sprintf("10.0.%d.%d:1", shard, replica) }

// containTest is a service of two shards with two leaves each.
type containTest struct {
	*testing.T
	fleet   *hookedFleet
	service *Service
	asked   int
}

func withContainTest(t *testing.T, fn func(ct *containTest)) {
	synctest.Test(t, func(t *testing.T) {
		ct := &containTest{T: t, fleet: &hookedFleet{Fleet: leaffake.New(testSlots, 10*time.Millisecond, time.Millisecond)}}
		ct.fleet.beforeExecute = func(string, *leafpb.ExecuteRequest) error { return nil }
		ct.service = NewService("search", ct.fleet, Options{Queue: admission.Settings{Length: 64}, RetryBudgetRatio: 1, AttemptIDPrefix: "host/1"})
		ct.configure(func(string) (uint64, bool) { return 0, false })
		time.Sleep(time.Second)
		fn(ct)
		time.Sleep(time.Minute)
	})
}

func (ct *containTest) configure(leaving func(string) (uint64, bool)) {
	spec := &configpb.Service{Name: "search", Epoch: 1, Slots: testSlots, Connections: 25}
	for i := range 2 {
		shard := &configpb.Shard{Name: fmt.Sprint("s", i), From: uint32(config.KeySpace * i / 2), To: uint32(config.KeySpace * (i + 1) / 2)}
		for r := range 2 {
			shard.Replicas = append(shard.Replicas, &configpb.Replica{Address: leafAddress(i, r), FailureDomain: fmt.Sprint(r)})
		}
		spec.Shards = append(spec.Shards, shard)
	}
	ct.service.Configure(spec, SlotShare{Homes: 1}, leaving)
}

func (ct *containTest) ask(query string) *callerpb.AskReply {
	ct.asked++
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return ct.service.Serve(ctx, &callerpb.AskRequest{Service: "search", RequestId: fmt.Sprint(ct.asked), Query: []byte(query)}, 0)
}

// assertServes checks that nothing is held back by earlier requests.
func (ct *containTest) assertServes() {
	ct.Helper()
	time.Sleep(30 * time.Second)
	running, waiting := ct.service.InFlight()
	assert.Equal(ct, running+waiting, 0)
	for _, l := range ct.service.leaves {
		assert.Equal(ct, l.Slots.InUse(), 0, l.Address)
	}
	reply := ct.ask("plain")
	assert.Equal(ct, reply.GetOutcome(), callerpb.Outcome_ANSWERED, "%v", reply)
	assert.Equal(ct, len(reply.GetCoverage().GetMissing()), 0)
}

func containedPanics() uint64 {
	return metrics.GetOrCreateCounter("mallowgap_faults_contained_total").Get()
}

// A panic in the call of one attempt must end neither the process nor the query.
func TestPanicInAnAttemptFailsOnlyTheAttempt(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		var panicked atomic.Bool
		ct.fleet.beforeExecute = func(string, *leafpb.ExecuteRequest) error {
			if panicked.CompareAndSwap(false, true) {
				panic("injected")
			}
			return nil
		}
		before := containedPanics()
		reply := ct.ask("x")
		assert.Equal(ct, reply.GetOutcome(), callerpb.Outcome_ANSWERED, "%v", reply)
		assert.Equal(ct, len(reply.GetCoverage().GetMissing()), 0)
		assert.Equal(ct, containedPanics()-before, uint64(1))
		ct.assertServes()
	})
}

// A panic while the end of an attempt is recorded must release the lock and pass the reply on.
func TestPanicWhileAStatusIsObservedReleasesTheLock(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		breakLocked(ct, func(ct *containTest) func() {
			ct.service.leavingIncarnation = func(string) (uint64, bool) { panic("injected") }
			return nil
		})
		ct.fleet.Restart(leafAddress(0, 0))
		ct.fleet.Restart(leafAddress(0, 1))
		assert.Equal(ct, ct.ask("x").GetOutcome(), callerpb.Outcome_ANSWERED)
		ct.configure(func(string) (uint64, bool) { return 0, false })
		ct.assertServes()
	})
}

// A panic while the result of an attempt is handled must fail only its shard.
func TestPanicWhileAResultIsHandledFailsOnlyItsShard(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		budget := ct.service.budget
		ct.fleet.beforeExecute = func(address string, _ *leafpb.ExecuteRequest) error {
			if address != leafAddress(1, 0) && address != leafAddress(1, 1) {
				return nil
			}
			ct.service.mu.Lock()
			defer ct.service.mu.Unlock()
			ct.service.budget = nil // Taking a retry panics.
			return errors.New("connection lost")
		}
		begin := time.Now()
		reply := ct.ask("x")
		assert.Assert(ct, time.Since(begin) < 200*time.Millisecond, "the query waited %v", time.Since(begin))
		assert.DeepEqual(ct, reply.GetCoverage().GetContributed(), []string{"s0"})
		assert.Equal(ct, len(reply.GetCoverage().GetMissing()), 1)
		ct.service.budget = budget
		ct.fleet.beforeExecute = func(string, *leafpb.ExecuteRequest) error { return nil }
		ct.assertServes()
	})
}

// A panic in the callbacks or in the check for a crash must not keep the result from its query.
func TestPanicAfterTheCallStillPassesTheResult(t *testing.T) {
	for name, prepare := range map[string]func(ct *containTest){
		"leaf leaving": func(ct *containTest) {
			ct.service.options.OnLeafLeaving = func(string, uint64) { panic("injected") }
			for i := range 2 {
				ct.fleet.SetFaults(leafAddress(0, i), leaffake.Faults{Draining: true})
			}
		},
		"crash check": func(ct *containTest) {
			ct.fleet.panicInDescribe.Store(true)
			ct.fleet.beforeExecute = func(string, *leafpb.ExecuteRequest) error { return errors.New("connection lost") }
		},
	} {
		t.Run(name, func(t *testing.T) {
			withContainTest(t, func(ct *containTest) {
				prepare(ct)
				begin, before := time.Now(), containedPanics()
				assert.Assert(ct, len(ct.ask("x").GetCoverage().GetContributed()) < 2)
				assert.Assert(ct, time.Since(begin) < 200*time.Millisecond, "the query waited %v for a result", time.Since(begin))
				assert.Assert(ct, containedPanics() > before)
			})
		})
	}
}

// breakLocked calls breakService under the lock of the service.
func breakLocked(ct *containTest, breakService func(ct *containTest) func()) (repair func()) {
	ct.service.mu.Lock()
	defer ct.service.mu.Unlock()
	return breakService(ct)
}

// A panic before anything was sent must be answered as not run and release the lock and the slots.
func TestPanicBeforeSendingIsNotRun(t *testing.T) {
	for name, breakService := range map[string]func(ct *containTest) (repair func()){
		"admission": func(ct *containTest) func() {
			queue := ct.service.queue
			ct.service.queue = nil
			return func() { ct.service.queue = queue }
		},
		"choice of a snapshot": func(ct *containTest) func() {
			tracker := ct.service.topology.tracker
			ct.service.topology.tracker = nil
			return func() { ct.service.topology.tracker = tracker }
		},
		"budget": func(ct *containTest) func() {
			budget := ct.service.budget
			ct.service.budget = nil
			return func() { ct.service.budget = budget }
		},
	} {
		t.Run(name, func(t *testing.T) {
			withContainTest(t, func(ct *containTest) {
				repair := breakLocked(ct, breakService)
				for range 20 {
					reply := ct.ask("x")
					assert.Equal(ct, reply.GetOutcome(), callerpb.Outcome_NOT_RUN)
					assert.Assert(ct, reply.GetRetryAfterMs() > 0)
				}
				assert.Equal(ct, len(ct.fleet.Executions()), 0)
				repair()
				ct.assertServes()
			})
		})
	}
}

// A panic after a slot was taken, before its attempt runs, must release the slot.
func TestPanicWhileAnAttemptIsSentReleasesItsSlot(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		topology := ct.service.topology
		names := topology.names
		setNames := func(to []string) {
			breakLocked(ct, func(*containTest) func() { topology.names = to; return nil })
		}
		ct.fleet.beforeExecute = func(address string, r *leafpb.ExecuteRequest) error {
			if string(r.GetQuery()) == "plain" || (address != leafAddress(1, 0) && address != leafAddress(1, 1)) {
				return nil
			}
			setNames(names[:1]) // The request of a retry can't be built.
			return errors.New("connection lost")
		}
		for range 20 {
			begin := time.Now()
			assert.Equal(ct, len(ct.ask("x").GetCoverage().GetMissing()), 1)
			assert.Assert(ct, time.Since(begin) < 200*time.Millisecond, "the query waited %v", time.Since(begin))
			setNames(names)
		}
		ct.assertServes()
	})
}

// panickingContext panics in Done.
type panickingContext struct{ context.Context }

// Done implements context.Context.
func (panickingContext) Done() <-chan struct{} { panic("injected") }

// A panic of a request that is queued or was just admitted must free its place.
func TestPanicInTheQueueFreesThePlace(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		for range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			reply := ct.service.Serve(panickingContext{ctx}, &callerpb.AskRequest{RequestId: "x"}, 0)
			cancel()
			assert.Equal(ct, reply.GetOutcome(), callerpb.Outcome_NOT_RUN)
			assert.Equal(ct, reply.GetRequestId(), "x")
		}
		ct.assertServes()
	})
}

// A result that comes twice, after the shard was decided or after the query ended must change nothing.
func TestResultThatComesTwiceIsIgnored(t *testing.T) {
	withContainTest(t, func(ct *containTest) {
		s := ct.service
		before := containedPanics()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		q := s.newQuery(ctx, &callerpb.AskRequest{RequestId: "x"}, 0, time.Now().Add(time.Second), quarantineState{trialShard: noTrialShard})
		defer q.cancel()
		q.fanOut()
		a := q.running[0]
		part := &leafpb.ExecuteReply{AttemptId: a.id, Result: &leafpb.ExecuteReply_Part{Part: &leafpb.Part{Shard: "s0", Epoch: 1, IndexVersion: 1}}}
		refusal := &leafpb.ExecuteReply{AttemptId: a.id, Result: &leafpb.ExecuteReply_Refusal{Refusal: &leafpb.Refusal{Kind: leafpb.Refusal_VERSION_GONE}}}
		q.onResult(attemptResult{attempt: a, reply: part})
		assert.Equal(ct, q.gather.Merged(), 1)
		maybeExecuted := q.maybeExecuted
		events := []func(){
			func() { q.onResult(attemptResult{attempt: a, reply: part}) },
			func() { q.onResult(attemptResult{attempt: a, err: errors.New("lost")}) },
			func() { q.onResult(attemptResult{attempt: a, reply: refusal}) },
			func() { q.onTimer(time.Now().Add(time.Second)) },
			func() { q.closeUnreachable(0) },
			func() { q.restartHeld(time.Now()) },
		}
		for range 2 {
			for _, event := range events {
				event()
			}
		}
		assert.Equal(ct, q.gather.Merged(), 1)
		assert.Equal(ct, q.maybeExecuted, maybeExecuted, "a part of the answer was executed")
		q.finish()
		assert.Equal(ct, len(q.result.Contributed), 1)
		for _, event := range events {
			event()
		}
		assert.Equal(ct, containedPanics(), before)
	})
}

// A service without shards, leaves or slots must refuse its requests without a panic.
func TestServiceWithoutShardsLeavesOrSlotsRefuses(t *testing.T) {
	replicas := []*configpb.Replica{{Address: leafAddress(0, 0)}}
	for name, c := range map[string]struct {
		spec  *configpb.Service
		share SlotShare
	}{
		"no shards":  {&configpb.Service{Epoch: 1, Slots: 2, Connections: 2}, SlotShare{Homes: 1}},
		"no leaves":  {&configpb.Service{Epoch: 1, Slots: 2, Connections: 2, Shards: []*configpb.Shard{{Name: "s0"}}}, SlotShare{Homes: 1}},
		"no slots":   {&configpb.Service{Epoch: 1, Shards: []*configpb.Shard{{Name: "s0", Replicas: replicas}}}, SlotShare{Homes: 1}},
		"no share":   {&configpb.Service{Epoch: 1, Slots: 1, Connections: 1, Shards: []*configpb.Shard{{Name: "s0", Replicas: replicas}}}, SlotShare{Homes: 8, Index: 7}},
		"not a home": {&configpb.Service{Epoch: 1, Slots: 1, Connections: 1, Shards: []*configpb.Shard{{Name: "s0", Replicas: replicas}}}, SlotShare{Homes: 0, Index: -1}},
	} {
		t.Run(name, func(t *testing.T) {
			withContainTest(t, func(ct *containTest) {
				before := containedPanics()
				ct.service.Configure(c.spec, c.share, func(string) (uint64, bool) { return 0, false })
				for range 5 {
					assert.Equal(ct, ct.ask("x").GetOutcome(), callerpb.Outcome_NOT_RUN)
				}
				assert.Equal(ct, containedPanics(), before)
			})
		})
	}
}

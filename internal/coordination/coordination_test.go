package coordination

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quota"
)

// take decides on a request at a host.
func (h *host) take() Ruling {
	return h.Take(context.Background(), "t", testLimit, Caller{Patience: time.Second})
}

// All hosts connect to the same coordinator, which takes itself into account as well.
func TestAllHostsConnectToTheFirst(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		assert.Equal(t, f.at(0).ledger.connected(), 4)
		assert.Equal(t, f.at(0).ledger.recent, 4*3)
		for i := 1; i < 4; i++ {
			assert.Equal(t, f.at(i).ledger.connected(), 0)
		}
	})
}

// Asks are answered by the coordinator, on its own host as well, and refusals say when to return.
func TestAskIsAnswered(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.at(0).ledger.allow(2)
		for _, i := range []int{0, 2} {
			r := f.at(i).take()
			assert.Equal(t, r.Action, quota.Admit)
			assert.Equal(t, r.By, ByCoordinator)
			assert.Equal(t, f.at(i).meter.granted.Load(), int64(1))
		}
		r := f.at(2).take()
		assert.Equal(t, r.Action, quota.Refuse)
		assert.Equal(t, r.RetryAfter, 2*time.Millisecond, "rounded up")
		assert.Equal(t, r.Coordinator, f.state.Candidates[0].Name)
	})
}

// When the process of the coordinator ends, requests that wait for its answer are asked of the next
// candidate at once; the dead host is not tried again and again.
func TestHostsMoveWhenTheCoordinatorDies(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		first, next, opened := f.at(0), f.at(1), f.at(0).opened.Load()
		next.ledger.allow(1)
		first.freeze()
		waiting := make(chan Ruling, 1)
		go func() { waiting <- f.at(2).take() }()
		time.Sleep(10 * time.Millisecond)
		f.kill(first)
		time.Sleep(time.Millisecond)
		first.thaw()
		assert.Equal(t, next.ledger.connected(), 3)
		assert.Equal(t, (<-waiting).Action, quota.Admit)
		assert.Equal(t, opened, int64(3))
		time.Sleep(time.Minute)
		assert.Equal(t, next.ledger.connected(), 3)
		assert.Equal(t, next.opened.Load(), int64(2), "one stream from each other host")
		assert.Equal(t, f.suspects(), 0)
	})
}

// A frozen coordinator is suspected after the silence timeout. Until then requests are decided by
// the host's own fraction. When it is thawed, it drops the hosts that left, and gets them back.
func TestHostsMoveWhenTheCoordinatorFreezes(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.at(0).freeze()
		time.Sleep(heartbeatInterval)
		began := time.Now()
		assert.Equal(t, f.at(2).take().By, ByFraction)
		assert.Equal(t, time.Since(began), askTimeout)
		time.Sleep(silenceTimeout)
		assert.Equal(t, f.at(1).ledger.connected(), 2)
		assert.Assert(t, f.isSuspected(f.state.Candidates[0].Address))
		f.at(0).thaw()
		time.Sleep(time.Second)
		assert.Equal(t, f.at(0).ledger.connected(), 1, "itself")
		assert.Equal(t, len(f.at(0).ledger.gone()), 0, "the others run")
		f.mu.Lock()
		clear(f.suspected)
		f.mu.Unlock()
		time.Sleep(moveDelay + 2*time.Second)
		assert.Equal(t, f.at(0).ledger.connected(), 3)
	})
}

// Hosts that suspect their coordinator because other calls to it were slow must not leave it while
// its stream is alive: the fleet would be divided among several coordinators.
func TestSuspicionDoesNotDivideTheHosts(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.mu.Lock()
		f.suspected[f.state.Candidates[0].Address] = true
		f.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, f.at(0).ledger.connected(), 4)
		assert.Equal(t, f.at(1).ledger.connected(), 0)
	})
}

// A host that does not know the method yet is skipped, without keeping queries from it.
func TestOldVersionIsSkipped(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.kill(f.at(0))
		old := f.start(f.state.Candidates[0], true)
		time.Sleep(2*oldVersionCooldown - time.Second)
		assert.Equal(t, f.at(1).ledger.connected(), 2)
		assert.Equal(t, f.suspects(), 0)
		assert.Assert(t, old.opened.Load() <= 2*2, "%d streams", old.opened.Load())
	})
}

// Without anything to coordinate, no stream is open and nothing is sent.
func TestNothingIsSentUnlessNeeded(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.setEnabled(false)
		time.Sleep(pollInterval + time.Millisecond)
		assert.Equal(t, f.at(0).ledger.connected(), 0)
		opened := f.at(0).opened.Load()
		r := f.at(1).Take(f.ctx, "t", quota.Limit{}, Caller{})
		assert.Equal(t, r.Action, quota.Admit)
		time.Sleep(time.Minute)
		assert.Equal(t, f.at(0).opened.Load(), opened)
		f.setEnabled(true)
		time.Sleep(time.Second)
		assert.Equal(t, f.at(0).ledger.connected(), 3)
	})
}

// A coordinator that stops gracefully hands its hosts over at once, and is served as a host until
// it leaves.
func TestGracefulStopMovesHostsAtOnce(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.at(0).BeginStop()
		time.Sleep(time.Millisecond)
		assert.Equal(t, f.at(0).ledger.connected(), 0)
		assert.Equal(t, f.at(1).ledger.connected(), 3)
		f.at(1).ledger.allow(1)
		assert.Equal(t, f.at(0).take().Action, quota.Admit)
		f.at(0).Leave()
		time.Sleep(time.Millisecond)
		assert.Equal(t, f.at(1).ledger.connected(), 2)
	})
}

// A grant that arrives after its request was decided by the host's own fraction is given back.
func TestLateGrantIsReturned(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.at(0).ledger.allow(1)
		f.at(0).freeze()
		assert.Equal(t, f.at(1).take().By, ByFraction)
		f.at(0).thaw()
		time.Sleep(time.Millisecond)
		assert.Equal(t, f.at(1).meter.granted.Load(), int64(1))
		assert.Equal(t, f.at(1).meter.returned.Load(), int64(1))
	})
}

// blockedStream is the stream of a host that reports and reads only the first message.
type blockedStream struct {
	reports  chan *relaypb.CoordinateReport
	ctx      context.Context
	welcomed bool
}

func (s *blockedStream) Send(*relaypb.CoordinateVerdict) error {
	if !s.welcomed {
		s.welcomed = true
		return nil
	}
	<-s.ctx.Done()
	return s.ctx.Err()
}

func (s *blockedStream) Recv() (*relaypb.CoordinateReport, error) {
	select {
	case m := <-s.reports:
		return m, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// A host that is not heard any more is dropped; its process may run on.
func TestSilentHostIsDropped(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		silent := &blockedStream{reports: make(chan *relaypb.CoordinateReport, 1), ctx: f.ctx}
		silent.reports <- &relaypb.CoordinateReport{Host: "silent"}
		go func() { _ = f.at(0).Serve(silent) }()
		time.Sleep(silenceTimeout - heartbeatInterval)
		assert.Equal(t, f.at(0).ledger.connected(), 3)
		time.Sleep(2 * heartbeatInterval)
		assert.Equal(t, f.at(0).ledger.connected(), 2)
		assert.Equal(t, len(f.at(0).ledger.gone()), 0)
	})
}

// A host that does not read delays no other, and what waits for it stays bounded.
func TestSlowReceiverDelaysNobody(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		slow := &blockedStream{reports: make(chan *relaypb.CoordinateReport), ctx: f.ctx}
		go func() { _ = f.at(0).Serve(slow) }()
		for n := range 3 * maxPendingGrants {
			slow.reports <- &relaypb.CoordinateReport{Host: "slow", Asks: []*relaypb.TeamAsk{{Id: uint64(n), Count: 1}}}
		}
		synctest.Wait()
		f.at(0).ledger.allow(1)
		assert.Equal(t, f.at(1).take().Action, quota.Admit)
		links := make(chan *link, 1)
		f.at(0).server.post(func(time.Time) { links <- f.at(0).server.links["slow"] })
		assert.Equal(t, len((<-links).take().GetGrants()), maxPendingGrants)
	})
}

// Hosts learn at once which teams are metered.
func TestMeteredTeamsArePushed(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		l := f.at(0).ledger
		l.mu.Lock()
		l.metered, l.version = []string{"t"}, 7
		l.mu.Unlock()
		f.at(1).take()
		synctest.Wait()
		assert.DeepEqual(t, *f.at(0).meter.metered.Load(), []string{"t"})
		assert.DeepEqual(t, *f.at(1).meter.metered.Load(), []string{"t"})
	})
}

// A message on which the coordinator or a host panics must not end the process: all hosts
// would get the same one.
func TestPanicsAreContained(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		l := f.at(0).ledger
		for _, h := range f.hosts {
			assert.Equal(t, h.Take(f.ctx, poison, testLimit, Caller{}).Action, quota.Refuse)
		}
		l.mu.Lock()
		l.metered, l.version = []string{poison}, 7
		l.mu.Unlock()
		time.Sleep(2 * heartbeatInterval)
		l.allow(1)
		assert.Equal(t, f.at(1).take().Action, quota.Admit)
		assert.Equal(t, l.connected(), 3)
	})
}

// The log line of a panic must tell what the panic was, also if its value has no exported fields.
func TestPanicIsToldByTheLog(t *testing.T) {
	var log strings.Builder
	recoverPanic(zerolog.New(&log), "tick", func() { _ = []int{}[len(log.String())] })
	for _, want := range []string{`"work":"tick"`, `"fault":"runtime error: index out of range`, `"stack":"goroutine`} {
		assert.Check(t, strings.Contains(log.String(), want), "%s is not in %s", want, log.String())
	}
}

// Only a connection that was closed or reset is opened again at once.
func TestBrokenConnectionIsToldFromOtherErrors(t *testing.T) {
	assert.Assert(t, brokeOff(context.Canceled), "drpc: connection closed")
	assert.Assert(t, brokeOff(drpc.ClosedError.Wrap(syscall.ECONNRESET)))
	assert.Assert(t, !brokeOff(io.EOF), "the coordinator has closed the stream")
	assert.Assert(t, !brokeOff(&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}))
	assert.Assert(t, !brokeOff(errors.New("invalid message")))
}

// Streams that break again and again, so that hosts report the same requests anew, do not let a
// team exceed its limit.
func TestReconnectsDoNotAdmitMore(t *testing.T) {
	bound := &quota.Bound{Window: 5 * time.Second, Slack: 20}
	withQuotas(t, 3, bound, func(f *fleet) {
		const step = 20 * time.Millisecond
		var admitted []time.Time
		for n := range 1500 {
			if h := f.at(n % 3); h.Take(f.ctx, "t", testLimit, Caller{}).Action == quota.Admit {
				admitted = append(admitted, time.Now())
			}
			if n%25 == 0 {
				f.at(n / 25 % 3).Resumed()
			}
			time.Sleep(step)
		}
		allowed := int(testLimit.PerSecond*bound.Window.Seconds() + testLimit.Burst + bound.Slack)
		for i := range admitted {
			if j := i + allowed; j < len(admitted) {
				assert.Assert(t, admitted[j].Sub(admitted[i]) > bound.Window, "%d admitted within %v", allowed+1, admitted[j].Sub(admitted[i]))
			}
		}
		assert.Assert(t, len(admitted) > 100, "%d admitted", len(admitted))
	})
}

// While the fleet is not known, no fraction of a limit is known either.
func TestNothingIsAdmittedBeforeTheFleetIsKnown(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		f.mu.Lock()
		f.state.Hosts = 0
		f.mu.Unlock()
		r := f.at(0).take()
		assert.Equal(t, r.Action, quota.Refuse)
		assert.Equal(t, r.By, ByFraction)
	})
}

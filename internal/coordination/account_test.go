package coordination

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

// panickingMeter panics when a request is taken or given back.
type panickingMeter struct{ Meter }

func (panickingMeter) SetHosts(int, int) {}

func (panickingMeter) Take(string, quota.Limit, time.Time) quota.Decision {
	panic("injected by the test")
}

func (panickingMeter) Return(string, time.Time) { panic("injected by the test") }

// A panic of the meter must end one request. If it leaves the account locked, every later request of a
// limited team waits for the lock without an answer.
func TestPanicOfTheMeterReleasesTheAccount(t *testing.T) {
	for name, use := range map[string]func(a *account){
		"take":     func(a *account) { a.take(t.Context(), "team", quota.Limit{PerSecond: 1, Burst: 1}, Caller{}) },
		"giveBack": func(a *account) { a.giveBack("team", time.Now()) },
	} {
		a := newAccount(panickingMeter{})
		a.hosts = 1
		func() {
			defer func() { assert.Assert(t, recover() != nil, name) }()
			use(a)
		}()
		assert.Check(t, a.mu.TryLock(), "%s leaves the account locked", name)
	}
}

// impatientMeter counts the asks that are said to have had no answer.
type impatientMeter struct {
	fakeMeter
	unanswered int
}

func (m *impatientMeter) Unanswered(string, quota.Limit, time.Time) quota.Decision {
	m.unanswered++
	return quota.Decision{Action: quota.Refuse, RetryAfter: time.Second}
}

// The end of a caller's connection during an ask says nothing about the coordinator, which still has
// time to answer.
func TestEndOfACallerIsNotSilenceOfTheCoordinator(t *testing.T) {
	meter := &impatientMeter{}
	a := newAccount(meter)
	a.hosts, a.streaming = 2, true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a.take(ctx, "team", quota.Limit{PerSecond: 1, Burst: 1}, Caller{})
	assert.Equal(t, meter.unanswered, 0, "the coordinator had no time to answer")
}

// A request whose context ends during its ask is not counted, so that giving it back must not take another
// request out of the count of its team.
func TestUndecidedRequestIsGivenBackUncounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := &impatientMeter{}
		a := newAccount(meter)
		a.hosts, a.streaming = 2, true
		for _, patience := range []time.Duration{0, askTimeout / 2, askTimeout - 1} {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			r := a.take(ctx, "team", quota.Limit{PerSecond: 1, Burst: 1}, Caller{})
			cancel()
			assert.Equal(t, r.Action, quota.AskFirst)
			assert.Equal(t, r.Waited, patience)
		}
		a.giveBack("other", time.Now())
		assert.Equal(t, meter.returned.Load(), int64(1))
		for range 3 {
			a.giveBack("team", time.Now())
			assert.Equal(t, meter.returned.Load(), int64(1))
		}
		a.giveBack("team", time.Now())
		assert.Equal(t, meter.returned.Load(), int64(2))
		assert.Equal(t, len(a.undecided), 0)
		assert.Equal(t, a.take(t.Context(), "team", quota.Limit{PerSecond: 1, Burst: 1}, Caller{}).Action, quota.Refuse)
		assert.Equal(t, meter.unanswered, 1, "the coordinator had its time")
	})
}

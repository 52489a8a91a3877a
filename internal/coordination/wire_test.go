package coordination

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/replica"
)

// extremeReport and extremeVerdict hold the greatest values that the wire can carry.
var (
	extremeReport = &relaypb.CoordinateReport{
		Host: "h", Incarnation: math.MaxUint64,
		Recent:   []*relaypb.TeamCount{{Team: "t", Count: math.MinInt32, AgeMs: math.MaxUint32}},
		Admitted: []*relaypb.TeamCount{{Count: math.MaxInt32}},
		Asks:     []*relaypb.TeamAsk{{Team: "t", Id: math.MaxUint64, Count: math.MaxUint32, PatienceMs: math.MaxUint32, Returning: true}},
		Offered:  []*relaypb.OfferedWork{{Count: math.MaxUint32, WorkUs: math.MaxUint64, ObjectiveUs: math.MaxUint64}},
		Loads:    []*relaypb.ServerLoad{{Waiting: math.MaxUint32, ServiceTimeUs: math.MaxUint64, InFlight: math.MaxUint32}},
	}
	extremeVerdict = &relaypb.CoordinateVerdict{
		Grants: []*relaypb.TeamGrant{{Id: 1, Granted: math.MaxUint32, RetryAfterMs: math.MaxUint32}},
		Gates: []*relaypb.GateVerdict{
			{Service: "a", WaitUs: math.MaxUint64, RefusedShare: math.NaN()},
			{Service: "b", Classes: []*relaypb.ClassVerdict{{Probability: math.Inf(1), RetryAfterMs: math.MaxUint32}}},
			{Service: "c", RefusedShare: 1, Classes: []*relaypb.ClassVerdict{{Probability: 0.5, SpreadMs: math.MaxUint32}}},
		},
	}
)

// addSeeds adds a message and an empty one to the corpus.
func addSeeds(f *testing.F, m proto.Message) {
	data, err := proto.Marshal(m)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{})
}

// offeredWork checks what the coordinator passes on.
type offeredWork struct {
	noGates
	t *testing.T
}

func (g offeredWork) Offered(_, _ string, offered []admission.Offered, _ time.Time) {
	for _, o := range offered {
		assert.Assert(g.t, o.Requests >= 0 && o.Work >= 0 && o.Objective >= 0, "%+v", o)
	}
}

func (g offeredWork) Loads(_ string, loads []replica.ServerLoad, _ time.Time) {
	for _, l := range loads {
		assert.Assert(g.t, l.Waiting >= 0 && l.ServiceTime >= 0 && l.InFlight >= 0, "%+v", l)
	}
}

// No report makes the coordinator panic or pass on a negative amount.
func FuzzReport(f *testing.F) {
	addSeeds(f, extremeReport)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &relaypb.CoordinateReport{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		now := time.Unix(1e9, 0)
		state := State{Hosts: 2, Limit: func(string) quota.Limit { return testLimit }}
		s := newServer(Config{
			State: func() State { return state }, Ledger: quota.NewLedger(quota.Bound{Window: time.Second, Slack: 100}), Gates: offeredWork{t: t},
		}, zerolog.Nop())
		s.catchUp(now)
		l := newLink(m.GetHost())
		for range 3 {
			s.join(l, m, now)
			s.push(now)
			now = now.Add(heartbeatInterval)
			s.catchUp(now)
			s.report(l, m, now)
		}
		for _, g := range l.take().GetGrants() {
			assert.Assert(t, g.GetGranted() <= maxCount)
		}
	})
}

// No message of a coordinator makes a host panic, and verdicts that are out of range are ignored.
func FuzzVerdict(f *testing.F) {
	addSeeds(f, extremeVerdict)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &relaypb.CoordinateVerdict{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		now := time.Unix(1e9, 0)
		a := newAccount(quota.NewMeter(quota.Bound{Window: time.Second}))
		a.connected(now)
		a.ask("t", Caller{Patience: time.Second})
		a.heard("h", m, now)
		a.report(now)
		for _, l := range loadsFromWire(m.GetLoads()) {
			assert.Assert(t, l.Waiting >= 0 && l.ServiceTime >= 0 && l.InFlight >= 0, "%+v", l)
		}
		for _, v := range verdictsFromWire(m.GetGates()) {
			assert.Assert(t, isShare(v.RefusedShare) && v.Wait >= 0)
			for _, c := range v.Classes {
				assert.Assert(t, isShare(c.Probability) && c.RetryAfter >= 0 && c.Spread >= 0, "%+v", c)
			}
		}
	})
}

// A verdict out of range is dropped, as a host decides better alone; a valid one is kept.
func TestVerdictsOutOfRangeAreDropped(t *testing.T) {
	verdicts := verdictsFromWire(extremeVerdict.GetGates())
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, verdicts["c"].RefusedShare, 1.0)
}

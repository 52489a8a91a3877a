package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

// A limit that is out of range or absent for a moment must not give the team another burst.
func TestLimitThatComesBackBringsNoBurst(t *testing.T) {
	for _, between := range []quota.Limit{{Invalid: true}, {}} {
		limit, now := quota.Limit{PerSecond: 1, Burst: 10}, time.Unix(1e9, 0)
		ledger := quota.NewLedger(bound)
		configure := func(l quota.Limit) {
			ledger.SetConfig(func(string) quota.Limit { return l }, 1, now)
		}
		ask := func() int {
			now = now.Add(100 * time.Millisecond)
			ledger.Heard("a", now)
			return ledger.Ask("a", quota.Ask{Team: "t", Requests: 20}, now).Granted
		}
		configure(limit)
		ledger.Join("a", 1, nil, now)
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			ledger.Heard("a", now)
		}
		assert.Equal(t, ask(), 10)
		configure(between)
		if between.Invalid {
			assert.Equal(t, ask(), 0)
		}
		configure(limit)
		assert.Equal(t, ask(), 0)
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			ledger.Heard("a", now)
		}
		assert.Equal(t, ask(), 1)
	}
}

// A process whose clock is behind that of the one before it counts like any other, so that the
// ledger grants the whole limit.
func TestProcessWithAnEarlierClockIsHeard(t *testing.T) {
	now := time.Unix(1e9, 0)
	ledger := quota.NewLedger(bound)
	ledger.SetConfig(func(string) quota.Limit { return teams["large"] }, 2, now)
	ledger.Join("a", 5, nil, now)
	ledger.Join("b", 5, nil, now)
	ledger.Left("b", true, now)
	ledger.Join("b", 4, nil, now)
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		ledger.Heard("a", now)
		ledger.Heard("b", now)
		ledger.Sweep(now)
	}
	assert.Equal(t, ledger.Fraction(), 1.0)
}

// The list of metered teams is asked for with each message of a host, and must not be rebuilt then.
func TestMeteredListIsBuiltOnceForAVersion(t *testing.T) {
	now := time.Unix(1e9, 0)
	ledger := quota.NewLedger(bound)
	ledger.SetConfig(func(string) quota.Limit { return quota.Limit{PerSecond: 1, Burst: 10} }, 1, now)
	ledger.Join("a", 1, nil, now)
	for i := range 100 {
		ledger.Ask("a", quota.Ask{Team: fmt.Sprint(i), Requests: 10}, now)
	}
	list, _ := ledger.Metered(now)
	assert.Equal(t, len(list), 100)
	assert.Equal(t, testing.AllocsPerRun(100, func() { ledger.Metered(now) }), 0.0)
}

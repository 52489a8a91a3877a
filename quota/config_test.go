package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

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

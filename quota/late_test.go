package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
)

// Hosts whose answers come too late must not use their own fractions on top of what the ledger
// grants to the others.
func TestLateAnswersStayWithinTheBound(t *testing.T) {
	const hosts, tick, perTick = 10, 50 * time.Millisecond, 3
	limit, now := teams["large"], time.Unix(1e9, 0)
	ledger := quota.NewLedger(bound)
	ledger.SetConfig(func(string) quota.Limit { return limit }, hosts, now)
	meters := make([]*quota.Meter, hosts)
	for i := range meters {
		meters[i] = quota.NewMeter(bound)
		meters[i].SetHosts(hosts, i)
		ledger.Join(fmt.Sprint(i), 1, meters[i].Connected(now), now)
	}
	admitted := make([]int, 20*time.Second/tick)
	for at := range admitted {
		now = now.Add(tick)
		list, _ := ledger.Metered(now)
		for i, m := range meters {
			ledger.Admitted(fmt.Sprint(i), m.Report(now), now)
			m.Heard(list, true, now)
			for range perTick {
				admitted[at] += request(ledger, m, fmt.Sprint(i), limit, i > 0, now)
			}
		}
	}
	window, most, sum := int(bound.Window/tick), 0, 0
	for at, n := range admitted {
		if sum += n; at >= window {
			sum -= admitted[at-window]
		}
		most = max(most, sum)
	}
	allowed := (limit.PerSecond*bound.Window.Seconds()+limit.Burst)*(1+bound.Excess) + bound.Slack
	assert.Assert(t, float64(most) <= allowed, "%d requests in a window, %.0f allowed", most, allowed)
}

// request brings a request to a host, and returns 1 if it is admitted. late is set if the answer
// of the ledger comes too late.
func request(ledger *quota.Ledger, m *quota.Meter, host string, limit quota.Limit, late bool, now time.Time) int {
	d := m.Take("large", limit, now)
	if d.Action == quota.AskFirst {
		granted := ledger.Ask(host, quota.Ask{Team: "large", Requests: 1}, now).Granted
		if !late {
			m.Granted("large", granted, now)
			return granted
		}
		d = m.Unanswered("large", limit, now)
		if m.Granted("large", granted, now); granted > 0 {
			m.Return("large", now)
		}
	}
	if d.Action == quota.Admit {
		return 1
	}
	return 0
}

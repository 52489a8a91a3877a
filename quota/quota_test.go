package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowgap/mallowgap/quota"
)

var bound = quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// teams are limits from a large team's to one of a request each five seconds.
var teams = map[string]quota.Limit{"large": {PerSecond: 19.2, Burst: 19.2}, "mid": {PerSecond: 2, Burst: 3}, "small": {PerSecond: 0.2, Burst: 2}, "single": {PerSecond: 0.1, Burst: 1}}

// failures bring one failure each about; they are given the first third of the hosts.
var failures = map[string]func(f *fleet, third []*host){
	"none": func(*fleet, []*host) {},
	"owner lost": func(f *fleet, _ []*host) {
		f.addLedger()
		f.connectAll(f.hosts, 1)
	},
	"two owners":   func(f *fleet, third []*host) { f.addLedger(); f.connectAll(third, 1) },
	"hosts cut":    func(_ *fleet, third []*host) { cut(third) },
	"all cut":      func(f *fleet, _ []*host) { cut(f.hosts) },
	"all restart":  func(f *fleet, _ []*host) { f.addLedger(); f.restart(f.hosts) },
	"owner starts": func(f *fleet, _ []*host) { f.addLedger(); f.restart(f.hosts[:1]); f.connectAll(f.hosts, 1) },
	"hosts added":  func(f *fleet, third []*host) { f.addHosts(len(third)) },
}

// TestHotTeamStaysWithinTheBound has teams ask for ten times their usual while one thing fails.
func TestHotTeamStaysWithinTheBound(t *testing.T) {
	for name, fail := range failures {
		for seed, hosts := range []int{8, 72, 300} {
			t.Run(fmt.Sprint(name, hosts), func(t *testing.T) {
				t.Parallel()
				f := newFleet(uint64(seed), hosts, bound, teams)
				f.load(1)
				f.run(10 * time.Second)
				f.load(10)
				f.run(2 * time.Second)
				fail(f, f.hosts[:hosts/3])
				f.run(10 * time.Second)
				f.check(t, teams)
			})
		}
	}
}

// TestRaisedLimitStaysWithinTheBound guards against hosts that admit freely because a higher limit
// does not have the team metered at all times, before the ledger knows that limit.
func TestRaisedLimitStaysWithinTheBound(t *testing.T) {
	before, raised := quota.Limit{PerSecond: 1, Burst: 2}, quota.Limit{PerSecond: 2, Burst: 4}
	for seed := range uint64(10) {
		f := newFleet(seed, 5, quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 5}, map[string]quota.Limit{"team": before})
		f.load(200)
		f.run(10 * time.Second)
		f.limits["team"] = raised
		f.run(400 * time.Millisecond) // A ledger learns of a limit with its heartbeat.
		f.configure()
		f.run(10 * time.Second)
		f.check(t, map[string]quota.Limit{"team": raised})
	}
}

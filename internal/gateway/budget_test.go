package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// budgetHosts are so many hosts that each has less than one attempt of its own in a window.
var budgetHosts = append(hostsIn("a", 8, "a1", "a"), hostsIn("b", 8, "b1", "b")...)

func namesOf(hosts []hostSpec) []string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.name)
	}
	return names
}

// One server of one shard answers nobody, as many hosts that each ask little find out: the
// second attempts that they need are a small part of what all may use together, and none of
// them lacks the shard for want of budget.
func TestBudgetOfAShardIsThereForWhoNeedsIt(t *testing.T) {
	inWorld(t, shardedConfig(1, 4), serversOf(shardNames(4), "a1", "b1"), budgetHosts, func(w *world) {
		time.Sleep(11 * time.Second)
		w.leafs.set("shard2@a1", silent)
		answers, _ := w.askSpread(namesOf(budgetHosts), 4*time.Second, 30)
		lacking := 0
		for _, a := range answers {
			assert.Equal(t, a.Outcome, Gathered)
			if a.Gathered.Missing > 0 {
				lacking++
			}
		}
		assert.Assert(t, lacking <= 1, "%d of %d lack a part", lacking, len(answers))
	})
}

// Where every answer is lost no more than the budget is used of any shard, by hosts that call
// the servers themselves and by hosts that go through others alike, also right after all
// hosts started.
func TestBudgetOfAShardHoldsForAllHostsTogether(t *testing.T) {
	for name, age := range map[string]time.Duration{"long after the start": 15 * time.Second, "right after the start": 0} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, shardedConfig(1, 4), serversOf(shardNames(4), "a1", "b1"), budgetHosts, func(w *world) {
				time.Sleep(age)
				for _, s := range shardNames(4) {
					w.leafs.set(s, breakOff)
				}
				asked, _ := w.askSpread(namesOf(budgetHosts), 9*time.Second, 30)
				settings := w.hosts["a0"].settings.GetRetry()
				most := len(asked) + int(settings.GetShare()*float64(len(asked))+settings.GetSlack())
				for _, s := range shardNames(4) {
					arrived := w.leafs.arrivals(s)
					assert.Assert(t, arrived <= most, "%s: %d arrivals of %d requests, at most %d", s, arrived, len(asked), most)
					assert.Assert(t, arrived > len(asked)+int(settings.GetSlack())/3, "%s: %d arrivals: hardly any budget is used", s, arrived)
				}
			})
		})
	}
}

package invariant

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
)

// fixedSeed makes all runs of the tests identical. If MALLOWGAP_FRESH is set, as by make fuzz,
// rapid draws a new seed.
const fixedSeed = "20261202"

// fixedChecks is the number of runs of each property with the fixed seed.
const fixedChecks = "60"

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("MALLOWGAP_FRESH") == "" {
		_ = flag.Set("rapid.seed", fixedSeed)
		_ = flag.Set("rapid.checks", fixedChecks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// stepKind is the action of a step.
type stepKind int

const (
	askSearch stepKind = iota
	askTag
	setLeafFault
	clearLeafFault
	setLeafVersions
	repartition
	killHost
	freezeHost
	thawHost
	cutHosts
	reconnectHosts
	startOutage
	endOutage
	loseReplies
	delayWrites
	deliverWrites
	staleReads
)

// step is one step of a run. A, B and C select among the variants of the action; Pause follows it.
type step struct {
	Kind    stepKind
	A, B, C int
	Pause   time.Duration
}

// String formats a step in the output of a failing run.
func (s step) String() string {
	names := [...]string{"askSearch", "askTag", "leafFault", "leafRecovery", "versions", "repartition", "killHost",
		"freezeHost", "thawHost", "cutHosts", "reconnectHosts", "outage", "outageEnd", "loseReplies", "delayWrites", "deliverWrites", "staleReads"}
	return fmt.Sprintf("{%s %d %d %d %v}", names[s.Kind], s.A, s.B, s.C, s.Pause)
}

// drawSteps draws the steps of a run; kinds that are listed more than once are more frequent.
func drawSteps(rt *rapid.T, allowed ...stepKind) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(allowed).Draw(rt, "kind"),
			A:     rapid.IntRange(0, 63).Draw(rt, "a"),
			B:     rapid.IntRange(0, 63).Draw(rt, "b"),
			C:     rapid.IntRange(0, 63).Draw(rt, "c"),
			Pause: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 10, 40, 500, 3000}).Draw(rt, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 20, 60).Draw(rt, "steps")
}

// runSteps runs the steps of a run.
func (cl *cluster) runSteps(run []step) {
	for n, s := range run {
		cl.runStep(n, s)
		time.Sleep(s.Pause)
	}
}

// runStep runs step n.
func (cl *cluster) runStep(n int, s step) {
	i := s.A % numHosts
	switch s.Kind {
	case askSearch:
		cl.askSearch(n, s)
	case askTag:
		cl.askTag(n, s)
	case setLeafFault:
		cl.fleet.SetFaults(anyLeaf(s.A), faultOf(s.B))
	case clearLeafFault:
		cl.fleet.SetFaults(anyLeaf(s.A), leaffake.Faults{})
	case setLeafVersions:
		cl.fleet.SetVersions(leafAddress(s.A%(numShards*numReplicas)), [][]uint64{{1}, {1, 2}, {2}, {2, 3}, {3}}[s.B%5])
	case repartition:
		cl.repartition(n, s)
	case killHost:
		if cl.usable(i) {
			cl.killHost(i)
			cl.start(i)
		}
	case freezeHost:
		cl.freeze(i)
	case thawHost:
		cl.thaw(i)
	case cutHosts, reconnectHosts:
		cl.network.Cut(peerAddress(i), peerAddress(s.B%numHosts), s.Kind == cutHosts)
	case startOutage, endOutage:
		cl.platform.SetOutage(s.Kind == startOutage)
	case loseReplies:
		cl.platform.LoseReplies(config.HeadKey, 1+s.A%3)
	case staleReads:
		cl.platform.StaleReads(1 + s.A%4)
	}
}

// anyLeaf selects a leaf of either service by a number.
func anyLeaf(a int) string {
	if a%2 == 0 {
		return poolAddress(a / 2 % numPoolLeaves)
	}
	return leafAddress(a / 2 % (numShards * numReplicas))
}

// faultOf selects a fault by a number.
func faultOf(b int) leaffake.Faults {
	return []leaffake.Faults{
		{Down: true}, {LoseReplies: true}, {LoseReplies: true}, {Slow: 50 * time.Millisecond}, {Slow: 2 * time.Second}, {Draining: true},
		{WrongVersion: true}, {DropRows: true}, {SwapReplies: true}, {FailFast: true}, {Silent: true},
	}[b%11]
}

// askSearch sends a burst of repeatable requests.
func (cl *cluster) askSearch(n int, s step) {
	for burst := range 1 + s.C%8 {
		desk := []string{"gate-1", "office-1"}[(s.B+burst)%2]
		ask := &callerpb.AskRequest{Desk: desk, Service: "search", RequestId: fmt.Sprintf("q-%d-%d", n, burst)}
		timeout := []time.Duration{20, 100, 400}[s.B%3] * time.Millisecond
		cl.background.Go(func() { cl.send((s.A+burst)%numHosts, ask, timeout) })
	}
}

// askTag sends a request that is not repeatable as a caller does: it obtains a ticket, sends, and
// resends through other hosts until it has an answer. The balancer may duplicate a send. If the
// request was reported as not run, the caller gives up or sends it again with a new ticket.
func (cl *cluster) askTag(n int, s step) {
	cl.background.Go(func() {
		id := fmt.Sprintf("once-%d", n)
		reply := cl.send(s.A%numHosts, tagRequest(id, nil), 300*time.Millisecond)
		ticket := reply.GetTicket()
		for try := range 5 {
			if reply.GetOutcome() == callerpb.Outcome_NOT_RUN {
				if try > 0 && s.C%2 == 0 {
					return
				}
				ticket = reply.GetTicket()
				if try > 0 {
					cl.markSentWithNewTicket(id)
				}
			}
			if len(ticket) == 0 || reply.GetOutcome() == callerpb.Outcome_ANSWERED {
				return
			}
			if (s.B+try)%3 == 0 {
				cl.background.Go(func() { cl.send((s.A+try+1)%numHosts, tagRequest(id, ticket), 300*time.Millisecond) })
			}
			reply = cl.send((s.A+try)%numHosts, tagRequest(id, ticket), 300*time.Millisecond)
		}
	})
}

func tagRequest(id string, ticket []byte) *callerpb.AskRequest {
	return &callerpb.AskRequest{Desk: "gate-1", Service: "tags", RequestId: id, NotRepeatable: true, Ticket: ticket}
}

// markSentWithNewTicket records that a request that was reported as not run is sent again with a
// new ticket. The earlier report applies only to the former ticket.
func (cl *cluster) markSentWithNewTicket(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.sentWithNewTicket[id] = true
}

// repartition applies another shard map through one of the hosts.
func (cl *cluster) repartition(n int, s step) {
	if !cl.usable(s.A % numHosts) {
		return
	}
	cl.epoch++
	next := testConfig(cl.epoch, []int{numShards, numShards + 2, numShards - 1}[s.B%3])
	cl.background.Go(func() {
		revision := cl.hosts[s.A%numHosts].daemon.View().Revision
		_, _ = cl.apply(s.A%numHosts, revision, fmt.Sprintf("change-%d", n), next, 2*time.Second)
	})
}

package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/obs"
)

// answerOfWaitingReplies returns the answer to a hedged request to one server, if all replies wait to be
// handled when its goroutine runs.
func answerOfWaitingReplies(cl *cluster, host string, replies ...result) Answer {
	g, r := cl.hosts[host], cl.newRequest("/one/")
	v := g.control.View()
	q := g.newQuery(v, v.Table.Match(r.Host, r.Path), 0, r, &trace{})
	for _, reply := range replies {
		q.state.Sent(0, time.Time{})
		q.events <- event{results: []result{reply}}
	}
	q.awaitEvent(cl.ctx, time.Now())
	return q.answer(time.Now())
}

// Replies of both servers of a hedged request, waiting together, must be answered by one that succeeded:
// the second one panicked, and a failure replaces the success before it.
func TestWaitingRepliesAreAnsweredByASuccess(t *testing.T) {
	served := result{outcome: relaypb.Outcome_PART, signature: "s", reply: &Reply{Status: http.StatusOK, Signature: "s"}}
	failed := result{outcome: relaypb.Outcome_FAILED, reply: &Reply{Status: http.StatusInternalServerError}}
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1", "b1"), oneHost, func(cl *cluster) {
		for name, replies := range map[string][]result{
			"served twice": {served, served}, "failed, then served": {failed, served}, "served, then failed": {served, failed},
		} {
			a := answerOfWaitingReplies(cl, "host1", replies...)
			assert.Check(t, a.Outcome == Forwarded && a.Reply.OK(), "%s: %v %+v", name, a.Outcome, a.Reply)
		}
	})
}

// newerPeers reports the last call of each relayed request with an outcome that this version does not
// know.
type newerPeers struct{ PeerClient }

func (p newerPeers) Gather(ctx context.Context, address string, m *relaypb.GatherRequest, received func(*relaypb.GatherReply)) error {
	return p.PeerClient.Gather(ctx, address, m, func(reply *relaypb.GatherReply) {
		for _, r := range reply.GetResults() {
			if r.GetOutcome() == relaypb.Outcome_PART && int(r.GetIndex()) == len(m.GetServerIds())-1 {
				r.Outcome = 99
			}
		}
		received(reply)
	})
}

// A result with an outcome that only newer relays know must cost its own part: the other parts of the
// same reply belong in the answer.
func TestUnknownOutcomeCostsOnePart(t *testing.T) {
	hosts := []hostSpec{{"host1", "a1", "a"}, {"host2", "b1", "b"}}
	withCluster(t, shardedConfig(1, 3), serversOf(shardNames(3), "b1"), hosts, func(cl *cluster) {
		time.Sleep(2 * time.Second) // The hosts learn of each other.
		cl.hosts["host1"].adapters.Peers = newerPeers{cl.peers}
		panics := obs.PanicsRecovered.Get()
		a := cl.ask("host1", "/q/x")
		assert.Check(t, obs.PanicsRecovered.Get() == panics, "the result panicked")
		assert.Assert(t, a.Outcome == Gathered && a.Gathered.Missing <= 1, "%+v", a)
	})
}

package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// answerAt returns a behaviour that answers each request the given time after its arrival at the
// gateway, whenever the server was sent it.
func answerAt(after time.Duration) behaviour {
	return func(ctx context.Context, r *Request) (*Reply, error) {
		time.Sleep(time.Until(r.Arrived.Add(after)))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return &Reply{Status: http.StatusOK, Body: []byte("answer"), Signature: "signature/" + r.ID}, nil
	}
}

// A request to one server whose hedge is answered too, while the host is too busy to look at the
// first reply, must be answered: handling the second reply panicked and closed the caller's
// connection.
func TestHedgedRequestWithTwoRepliesIsAnswered(t *testing.T) {
	const requests = 200 // In some of them, both replies are there when the first one is handled.
	servers := serversOf([]string{"single"}, "a1", "b1")
	withCluster(t, shardedConfig(1, 1), servers, []hostSpec{{"alone", "a1", "a"}}, func(cl *cluster) {
		cl.backends.set("single", answerAt(120*time.Millisecond))
		for range requests {
			assert.Equal(t, cl.askRecovered("alone", "/one/").Outcome, Forwarded)
			time.Sleep(time.Second)
		}
		assert.Assert(t, cl.backends.arrivals("single@") > requests*3/2, "too few requests were hedged")
	})
}

// askRecovered sends a request and fails the test if serving it panics.
func (cl *cluster) askRecovered(host, path string) (a Answer) {
	defer func() {
		if value := recover(); value != nil {
			cl.t.Errorf("panic while a request was served: %v", value)
		}
	}()
	return cl.ask(host, path)
}

// A reply that is ready when the connection of the caller ends must be delivered: the caller may have
// closed only its sending side.
func TestReadyReplyIsDeliveredAtTheEndOfTheConnection(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		cl.backends.set("single", silent)
		ctx, cancel := context.WithCancel(cl.ctx)
		cancel()
		g := cl.hosts["host1"]
		for range 50 { // Which of two ready events is taken is random.
			r, v := cl.newRequest("/one/"), g.control.View()
			entry, _ := matchRoute(v, r)
			q := g.newQuery(v, entry, 0, r, &trace{})
			q.events <- event{results: []result{{outcome: relaypb.Outcome_PART, signature: "s", reply: &Reply{Status: http.StatusOK}}}}
			assert.Equal(cl.t, q.run(ctx).Outcome, Forwarded)
		}
	})
}

// A panic between the taking of a slot and the sending must not keep the slot taken.
func TestPanicBeforeSendingReleasesTheSlot(t *testing.T) {
	withCluster(t, shardedConfig(1, 1), serversOf([]string{"single"}, "a1"), oneHost, func(cl *cluster) {
		g := cl.hosts["host1"]
		latency := g.latency
		g.latency = nil // The delay of a hedge is looked up just before a call is sent.
		for range 200 {
			assert.Equal(cl.t, cl.ask("host1", "/one/").Cause, CausePanic)
		}
		g.latency = latency
		assert.Equal(cl.t, cl.ask("host1", "/one/").Outcome, Forwarded)
	})
}

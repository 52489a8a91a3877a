package invariant

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/once"
)

// Invalid requests must be refused with a reason, and the host must continue to serve.
func TestBadInput(t *testing.T) {
	t.Parallel()
	violations := withCluster(t, func(t *testing.T, cl *cluster) {
		for _, c := range []struct {
			ask    *callerpb.AskRequest
			reason callerpb.Reason
			remedy string
		}{
			{&callerpb.AskRequest{Desk: "gate-1", Service: "search"}, callerpb.Reason_INVALID_REQUEST, "give the request a unique identifier"},
			{&callerpb.AskRequest{Desk: "nobody", Service: "search", RequestId: "a"}, callerpb.Reason_UNKNOWN_DESK, "ask the operators"},
			{&callerpb.AskRequest{Desk: "gate-1", Service: "none", RequestId: "b"}, callerpb.Reason_UNKNOWN_SERVICE, "correct the name"},
			{&callerpb.AskRequest{Desk: "gate-1", Service: "tags", RequestId: "c"}, callerpb.Reason_TICKET_REQUIRED, "send it again with"},
		} {
			reply := cl.send(0, c.ask, 100*time.Millisecond)
			assert.Equal(t, reply.GetOutcome(), callerpb.Outcome_NOT_RUN)
			assert.Equal(t, reply.GetReason(), c.reason)
			assert.Assert(t, len(reply.GetMessage()) > 0)
		}
		late := cl.send(0, &callerpb.AskRequest{Desk: "gate-1", Service: "search", RequestId: "d"}, 0)
		assert.Equal(t, late.GetReason(), callerpb.Reason_DEADLINE_TOO_SHORT)
		bad := cl.send(0, tagRequest("e", []byte("nonsense")), 100*time.Millisecond)
		assert.Equal(t, bad.GetOutcome(), callerpb.Outcome_UNKNOWN, "a copy with a valid ticket may have run")
		assert.Equal(t, bad.GetReason(), callerpb.Reason_TICKET_INVALID)
		reply, err := cl.apply(0, 7, "wrong-revision", testConfig(1, numShards), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, reply.GetOutcome(), operatorpb.ApplyOutcome_CONFLICT)
		assert.Equal(t, reply.GetRevision(), uint64(1))
		good := cl.send(0, &callerpb.AskRequest{Desk: "gate-1", Service: "search", RequestId: "f"}, 100*time.Millisecond)
		assert.Equal(t, good.GetOutcome(), callerpb.Outcome_ANSWERED)
	})
	for _, v := range violations {
		t.Error(v)
	}
}

// A caller that disconnected while its request ran must get the outcome when it resends the request
// through any host, without a second execution.
func TestResendGetsTheOutcome(t *testing.T) {
	t.Parallel()
	violations := withCluster(t, func(t *testing.T, cl *cluster) {
		first := cl.send(0, tagRequest("once-a", nil), 300*time.Millisecond)
		ticket, err := once.Decode(first.GetTicket())
		assert.NilError(t, err)
		minter := int(ticket.Host[len("entry-")] - '0')
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		time.AfterFunc(4*time.Millisecond, cancel)
		_, _ = cl.hosts[minter].daemon.Ask(ctx, tagRequest("once-a", first.GetTicket()))
		for i := range numHosts {
			again := cl.send(i, tagRequest("once-a", first.GetTicket()), 300*time.Millisecond)
			assert.Equal(t, again.GetOutcome(), callerpb.Outcome_ANSWERED)
		}
		assert.Equal(t, len(cl.fleet.Executions()), 1)
	})
	for _, v := range violations {
		t.Error(v)
	}
}

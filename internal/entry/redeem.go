package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/once"
)

// inProgressRetryAfter is the retry delay suggested while a request is still running.
const inProgressRetryAfter = 100 * time.Millisecond

// outcomeLostAdvice ends the messages about tickets whose host no longer knows them.
const outcomeLostAdvice = "whether the request was executed is unknown, and it will not be executed again: check the backend's records"

// mintTicket handles a non-repeatable request that came without a ticket: it is not
// run, and the reply contains the ticket to resend it with.
func (d *Daemon) mintTicket(req *callerpb.AskRequest) *callerpb.AskReply {
	if d.ledger.Redeemed(req.GetDesk(), req.GetService(), req.GetRequestId()) {
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_USED, "the request was sent with a ticket before: resend it with that ticket", 0)
	}
	reply := home.NotRun(req, callerpb.Reason_TICKET_REQUIRED, "a non-repeatable request needs a ticket: resend it with the ticket in this reply", 0)
	reply.Ticket = d.ledger.Mint(req.GetDesk(), req.GetService(), req.GetRequestId())
	return reply
}

// redeemAtMinter sends a request to the host that minted its ticket, the only one that
// can redeem it.
func (d *Daemon) redeemAtMinter(ctx context.Context, v *View, req *callerpb.AskRequest) *callerpb.AskReply {
	ticket, err := once.Decode(req.GetTicket())
	if err != nil {
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_INVALID, err.Error(), 0)
	}
	minter := v.Self
	if ticket.Host != d.name {
		var ok bool
		if minter, ok = v.Member(ticket.Host); !ok {
			return home.OutcomeUnknown(req, callerpb.Reason_TICKET_HOST_GONE, "the host that minted the ticket is gone; "+outcomeLostAdvice, 0)
		}
	}
	reply, err := d.runAt(ctx, minter, req)
	if err != nil {
		return home.OutcomeUnknown(req, callerpb.Reason_PEER_LOST, "the host that minted the ticket does not answer: resend with the same ticket", peerLostRetryAfter)
	}
	return reply
}

// redeemTicket redeems a ticket minted at this host and runs its request if that is
// permitted.
func (d *Daemon) redeemTicket(ctx context.Context, req *callerpb.AskRequest) *callerpb.AskReply {
	ticket, err := once.Decode(req.GetTicket())
	if err != nil {
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_INVALID, err.Error(), 0)
	}
	decision, outcome, done := d.ledger.Redeem(ticket, req.GetDesk(), req.GetService(), req.GetRequestId())
	switch decision {
	case once.Execute:
		return d.runOnce(ctx, ticket, req)
	case once.Replay:
		return replayOutcome(req, outcome)
	case once.InProgress:
		return d.awaitOutcome(ctx, ticket, req, done)
	case once.OutcomeExpired:
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_USED, "the request was sent before and its outcome is no longer stored: check the backend's records", 0)
	case once.OtherRequest:
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_IN_USE, "the ticket belongs to another request: send each request with its own ticket", 0)
	case once.HostGone, once.OtherHost:
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_HOST_GONE, "the host that minted the ticket was restarted; "+outcomeLostAdvice, 0)
	default:
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_INVALID, "the ticket was not minted for this desk and service: use the ticket that was minted for the request", 0)
	}
}

// runOnce executes a request whose ticket was just redeemed. A request that was not run
// gets a new ticket; the old one stays spent, since copies of the request may still be
// in flight.
func (d *Daemon) runOnce(ctx context.Context, ticket once.Ticket, req *callerpb.AskRequest) *callerpb.AskReply {
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	reply := d.serveAndRecord(ctx, ticket, req)
	if req.GetWantTicket() && len(reply.GetTicket()) == 0 {
		reply.Ticket = d.ledger.Mint(req.GetDesk(), req.GetService(), "")
	}
	return reply
}

// serveAndRecord executes a request and records its outcome. After a panic the recorded outcome is that
// it is unknown, so that a resend of the request does not wait for it.
func (d *Daemon) serveAndRecord(ctx context.Context, ticket once.Ticket, req *callerpb.AskRequest) *callerpb.AskReply {
	var encoded []byte
	defer func() { d.ledger.Finish(ticket, encoded) }()
	reply := d.serveAsHome(ctx, req)
	if reply.GetOutcome() == callerpb.Outcome_NOT_RUN {
		reply.Ticket = d.ledger.Renew(req.GetDesk(), req.GetService(), req.GetRequestId())
	}
	if outcome, err := proto.Marshal(reply); err == nil {
		encoded = outcome
	}
	return reply
}

// detachedContext keeps the deadline of ctx but not its cancellation, so that the
// outcome is available for a resend after the caller went away.
func detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// awaitOutcome waits for an execution that an earlier copy of the request started.
func (d *Daemon) awaitOutcome(ctx context.Context, ticket once.Ticket, req *callerpb.AskRequest, done <-chan struct{}) *callerpb.AskReply {
	select {
	case <-done:
		return d.redeemTicket(ctx, req)
	case <-ctx.Done():
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_IN_USE, "the request is running: resend it with the same ticket for its outcome", inProgressRetryAfter)
	}
}

// replayOutcome returns the recorded reply of a request that was executed before.
func replayOutcome(req *callerpb.AskRequest, outcome []byte) *callerpb.AskReply {
	reply := &callerpb.AskReply{}
	if proto.Unmarshal(outcome, reply) != nil || len(outcome) == 0 {
		return home.OutcomeUnknown(req, callerpb.Reason_TICKET_USED, "the request was sent before and its outcome cannot be decoded: check the backend's records", 0)
	}
	return reply
}

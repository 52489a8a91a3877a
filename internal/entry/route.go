package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/member"
)

const (
	// notReadyRetryAfter is the retry delay suggested by a host that is not ready.
	notReadyRetryAfter = 500 * time.Millisecond
	// peerLostRetryAfter is the retry delay suggested after a home was lost.
	peerLostRetryAfter = 200 * time.Millisecond
	// maxForwardAttempts bounds the homes that a request is sent to, one after the
	// other.
	maxForwardAttempts = 3
	// forwardMargin is the part of the remaining time reserved for the reply of a home.
	forwardMargin = time.Millisecond
	// silenceDivisor divides the remaining time of a request: a home that has not
	// replied to anything for the result is given up.
	silenceDivisor = 3
	// minSilenceTimeout is the shortest silence after which a home is given up.
	minSilenceTimeout = 30 * time.Millisecond
)

// Ask runs a request of a desk, with the default deadline if ctx has none.
func (d *Daemon) Ask(ctx context.Context, req *callerpb.AskRequest) (*callerpb.AskReply, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Done()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.settings.GetTraffic().GetDefaultDeadline().AsDuration())
		defer cancel()
	}
	reply := d.replyOrPanic("request of a caller", req, home.PanicUnknown, func() *callerpb.AskReply { return d.route(ctx, req) })
	obs.CountReply(reply)
	return reply, nil
}

// route validates a request and sends it to the host that has to run it.
func (d *Daemon) route(ctx context.Context, req *callerpb.AskRequest) *callerpb.AskReply {
	v := d.control.view()
	if refusal := d.replyOrPanic("check of a request", req, d.refusePanic, func() *callerpb.AskReply { return d.check(ctx, v, req) }); refusal != nil {
		return refusal
	}
	if p, _ := v.Service(req.GetService()); p.Spec.GetNotRepeatable() && !req.GetNotRepeatable() {
		req = proto.Clone(req).(*callerpb.AskRequest)
		req.NotRepeatable = true
	}
	if req.GetNotRepeatable() && len(req.GetTicket()) > 0 {
		return d.redeemAtMinter(ctx, v, req)
	}
	return d.runAtHome(ctx, req)
}

// check returns the refusal of a request that cannot be run, or nil.
func (d *Daemon) check(ctx context.Context, v *View, req *callerpb.AskRequest) *callerpb.AskReply {
	if v.Revision == 0 {
		return d.refuse(req, callerpb.Reason_NOT_READY, "this entry host has no configuration yet: send the request to another entry host", notReadyRetryAfter)
	}
	if req.GetRequestId() == "" {
		return d.refuse(req, callerpb.Reason_INVALID_REQUEST, "request_id is empty: give the request a unique identifier", 0)
	}
	if _, ok := v.Rank(req.GetDesk()); !ok {
		return d.refuse(req, callerpb.Reason_UNKNOWN_DESK, fmt.Sprintf("desk %q is not configured: ask the operators to add it", req.GetDesk()), 0)
	}
	if _, ok := v.Service(req.GetService()); !ok {
		return d.refuse(req, callerpb.Reason_UNKNOWN_SERVICE, fmt.Sprintf("service %q is not configured: correct the name", req.GetService()), 0)
	}
	if deadline, _ := ctx.Deadline(); time.Until(deadline) <= forwardMargin {
		return d.refuse(req, callerpb.Reason_DEADLINE_TOO_SHORT, "the deadline has passed: set a longer deadline", 0)
	}
	return nil
}

// refuse returns the reply to a request that is rejected before it was sent to a home.
// A request with a ticket may have been executed when it was sent earlier, so its
// outcome is UNKNOWN and not NOT_RUN.
func (d *Daemon) refuse(req *callerpb.AskRequest, reason callerpb.Reason, message string, retryAfter time.Duration) *callerpb.AskReply {
	if len(req.GetTicket()) > 0 {
		return home.OutcomeUnknown(req, reason, message+"; then resend with the same ticket", retryAfter)
	}
	return home.NotRun(req, reason, message, retryAfter)
}

// runAtHome runs a request, or mints a ticket for it, at a home of its service, and
// tries the next home if one is lost. A non-repeatable request that gets here has no
// ticket yet, so no home executes it.
func (d *Daemon) runAtHome(ctx context.Context, req *callerpb.AskRequest) *callerpb.AskReply {
	mayHaveRun := false
	lost := map[string]bool{}
	for range maxForwardAttempts {
		target, ok := d.chooseHome(req, lost)
		if !ok || ctx.Err() != nil {
			break
		}
		reply, err := d.runAt(ctx, target, req)
		if err == nil {
			if mayHaveRun && reply.GetOutcome() == callerpb.Outcome_NOT_RUN {
				reply.Outcome = callerpb.Outcome_UNKNOWN
			}
			return reply
		}
		lost[target.Host] = true
		if peer.Unreachable(err) {
			obs.Counter("mallowgap_forward_retries_total", "reason", "unreachable").Inc()
			d.control.do(func() { d.control.members.ProbeFailed(target.Host, time.Now()) })
			continue
		}
		obs.Counter("mallowgap_forward_retries_total", "reason", "lost").Inc()
		mayHaveRun = mayHaveRun || !req.GetNotRepeatable()
	}
	if mayHaveRun {
		return home.OutcomeUnknown(req, callerpb.Reason_PEER_LOST, "the entry host that ran the request was lost: repeat the request", peerLostRetryAfter)
	}
	return home.NotRun(req, callerpb.Reason_PEER_LOST, "no home of the service is reachable: retry later", peerLostRetryAfter)
}

// chooseHome returns a home that is not lost, spreading requests over the homes by a
// hash of the request identifier. If all are lost, it returns this host.
func (d *Daemon) chooseHome(req *callerpb.AskRequest, lost map[string]bool) (member.Fact, bool) {
	v := d.control.view()
	p, ok := v.Service(req.GetService())
	if !ok {
		return member.Fact{}, false
	}
	hash := xxhash.Sum64String(req.GetRequestId())
	for i := range uint64(len(p.Homes)) {
		m := p.Homes[(hash+i)%uint64(len(p.Homes))]
		if !lost[m.Host] {
			return m, true
		}
	}
	return v.Self, !lost[v.Self.Host]
}

// runAt runs a request at a host. An error means that the host was lost.
func (d *Daemon) runAt(ctx context.Context, target member.Fact, req *callerpb.AskRequest) (*callerpb.AskReply, error) {
	if target.Host == d.name {
		return d.serveLocally(ctx, req), nil
	}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline) - forwardMargin
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !req.GetNotRepeatable() {
		stop := d.cancelIfSilent(target.Host, remaining, cancel)
		defer stop()
	}
	var reply *callerpb.AskReply
	err := d.recoverPanic("request to a peer", req.GetRequestId(), func() (err error) {
		reply, err = d.peers.Forward(ctx, target.Address, &peerpb.ForwardRequest{
			Ask: req, TimeoutUs: uint64(max(remaining, 0).Microseconds()), From: d.name,
		})
		return err
	})
	if err == nil {
		d.lastReplies.record(target.Host)
	}
	if err == nil && reply.GetRequestId() != req.GetRequestId() {
		err = errWrongReply
	}
	return reply, err
}

// cancelIfSilent cancels a forwarded request if its home has replied to nothing since
// the request was sent, which leaves time for another home. A home that is busy still
// replies to other requests and is waited for. The caller must call stop when the
// request ends.
func (d *Daemon) cancelIfSilent(host string, remaining time.Duration, cancel context.CancelFunc) (stop func()) {
	sent := time.Now()
	timer := time.AfterFunc(max(remaining/silenceDivisor, minSilenceTimeout), func() {
		_ = d.recoverPanic("check for a silent peer", "", func() error {
			if d.lastReplies.last(host).Before(sent) {
				obs.Counter("mallowgap_forward_retries_total", "reason", "silent").Inc()
				d.control.do(func() { d.control.members.ProbeFailed(host, time.Now()) })
				cancel()
			}
			return nil
		})
	})
	return func() { timer.Stop() }
}

// Forward runs a request that another entry host sent.
func (d *Daemon) Forward(ctx context.Context, request *peerpb.ForwardRequest) (*callerpb.AskReply, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetTimeoutUs())*time.Microsecond)
	defer cancel()
	req := request.GetAsk()
	return d.replyOrPanic("request of a peer", req, home.PanicUnknown, func() *callerpb.AskReply { return d.serveLocally(ctx, req) }), nil
}

// serveLocally runs a request at this host, as a home of its service or as the host
// that minted its ticket.
func (d *Daemon) serveLocally(ctx context.Context, req *callerpb.AskRequest) *callerpb.AskReply {
	if !req.GetNotRepeatable() {
		return d.serveAsHome(ctx, req)
	}
	if len(req.GetTicket()) == 0 {
		return d.mintTicket(req)
	}
	return d.redeemTicket(ctx, req)
}

// serveAsHome runs a request at this host's home of its service.
func (d *Daemon) serveAsHome(ctx context.Context, req *callerpb.AskRequest) *callerpb.AskReply {
	var s *home.Service
	var rank uint32
	refusal := d.replyOrPanic("choice of a home", req, home.PanicNotRun, func() *callerpb.AskReply {
		var known, ok bool
		rank, known = d.control.view().Rank(req.GetDesk())
		if s, ok = d.homeOf(req.GetService()); !ok || !known {
			return home.NotRun(req, callerpb.Reason_NOT_READY, "the home has not applied this configuration yet: retry later", notReadyRetryAfter)
		}
		return nil
	})
	if refusal != nil {
		return refusal
	}
	return s.Serve(ctx, req, rank)
}

// homeOf returns the home of a service from the cache, or through the control loop the
// first time.
func (d *Daemon) homeOf(name string) (*home.Service, bool) {
	if s, ok := d.homes.Load(name); ok {
		return s.(*home.Service), true
	}
	s, ok := d.control.homeOf(name)
	if ok {
		d.homes.Store(name, s)
	}
	return s, ok
}

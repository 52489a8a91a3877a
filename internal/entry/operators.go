package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/member"
)

const (
	// applyTimeout bounds Apply, also for callers with a longer deadline.
	applyTimeout = 10 * time.Second
	// waitPollInterval is the pause between two checks of the hosts' revisions.
	waitPollInterval = 50 * time.Millisecond
	// maxConcurrentChecks bounds the hosts that are checked at the same time.
	maxConcurrentChecks = 64
	// revisionTimeout bounds the revision check of one host.
	revisionTimeout = 500 * time.Millisecond
)

// operatorServer implements the Operator service.
type operatorServer struct {
	operatorpb.UnimplementedOperatorServer
	*Daemon
}

// Get returns the current configuration of this host.
func (o operatorServer) Get(context.Context, *operatorpb.GetRequest) (*operatorpb.GetReply, error) {
	reply := &operatorpb.GetReply{}
	if !o.control.do(func() { reply.Config = o.control.holder.Config() }) {
		return nil, errStopped
	}
	return reply, nil
}

// Apply writes a configuration change to the store and applies it at this host.
func (o operatorServer) Apply(ctx context.Context, request *operatorpb.ApplyRequest) (*operatorpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	editor := config.Editor{Store: o.store, Sleep: config.Sleep}
	revision, err := editor.Apply(ctx, request.GetExpectRevision(), request.GetChangeId(), request.GetConfig())
	if err != nil {
		return applyFailure(err), nil
	}
	// The change is accepted. If it cannot be read back, the watchers deliver it.
	_ = o.readStore(ctx)
	return &operatorpb.ApplyReply{Outcome: operatorpb.ApplyOutcome_ACCEPTED, Revision: revision}, nil
}

// applyFailure returns the reply to a change that failed with err.
func applyFailure(err error) *operatorpb.ApplyReply {
	reply := &operatorpb.ApplyReply{Message: err.Error(), Outcome: operatorpb.ApplyOutcome_INVALID}
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		reply.Outcome = operatorpb.ApplyOutcome_CONFLICT
		reply.Revision = conflict.Current
		reply.Changed = conflict.Changed
	case errors.Is(err, config.ErrUnavailable):
		reply.Outcome = operatorpb.ApplyOutcome_STORE_UNAVAILABLE
	case errors.Is(err, config.ErrOutcomeUnknown):
		reply.Outcome = operatorpb.ApplyOutcome_OUTCOME_UNKNOWN
	}
	return reply
}

// Wait waits until every member has applied the requested revision. If the deadline
// comes first, it returns the hosts that have not.
func (o operatorServer) Wait(ctx context.Context, request *operatorpb.WaitRequest) (*operatorpb.WaitReply, error) {
	for {
		missing := o.hostsBehind(ctx, request.GetRevision())
		if len(missing) == 0 {
			return &operatorpb.WaitReply{InForce: true}, nil
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < revisionTimeout+waitPollInterval {
			return &operatorpb.WaitReply{Missing: missing}, nil
		}
		if config.Sleep(ctx, waitPollInterval) != nil {
			return &operatorpb.WaitReply{Missing: missing}, nil
		}
	}
}

// hostsBehind returns the hosts not known to have applied a revision.
func (o operatorServer) hostsBehind(ctx context.Context, revision uint64) []string {
	v := o.control.view()
	var mu sync.Mutex
	var missing []string
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentChecks)
	for _, m := range v.Members {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			if o.revisionAt(ctx, m) >= revision {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, m.Host)
		})
	}
	wg.Wait()
	slices.Sort(missing)
	return missing
}

// revisionAt returns the revision applied at a member, or 0 if it does not reply.
func (o operatorServer) revisionAt(ctx context.Context, m member.Fact) (revision uint64) {
	_ = o.recoverPanic("check of a member", "", func() error {
		revision = o.askRevision(ctx, m)
		return nil
	})
	return revision
}

func (o operatorServer) askRevision(ctx context.Context, m member.Fact) uint64 {
	if m.Host == o.name {
		return o.control.view().Revision
	}
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	reply, err := o.peers.Applied(ctx, m.Address)
	if err != nil {
		return 0
	}
	return reply.GetRevision()
}

// Status returns this host's view of the members, services and leaving leaves.
func (o operatorServer) Status(context.Context, *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	v := o.control.view()
	reply := &operatorpb.StatusReply{Host: o.name, Revision: v.Revision}
	for _, m := range v.Members {
		reply.Members = append(reply.Members, &operatorpb.MemberStatus{
			Host: m.Host, Address: m.Address, FailureDomain: m.Domain, State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	for name, p := range v.services {
		status := &operatorpb.ServiceStatus{Name: name, Epoch: p.Spec.GetEpoch()}
		for _, h := range p.Homes {
			status.Homes = append(status.Homes, h.Host)
		}
		reply.Services = append(reply.Services, status)
	}
	slices.SortFunc(reply.Services, func(a, b *operatorpb.ServiceStatus) int {
		if a.GetName() < b.GetName() {
			return -1
		}
		return 1
	})
	for address := range v.leavingLeaves {
		reply.LeavingLeaves = append(reply.LeavingLeaves, address)
	}
	slices.Sort(reply.LeavingLeaves)
	return reply, nil
}

// Operators returns the implementation of the Operator service.
func (d *Daemon) Operators() operatorpb.OperatorServer { return operatorServer{Daemon: d} }

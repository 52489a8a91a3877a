package standin

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/mallowgap/mallowgap/api/platformpb"
)

// LeafControl serves control calls for the leaves of one process.
type LeafControl struct {
	platformpb.UnimplementedControlServer
	Leaves []*Leaf
}

// SetLeafFaults replaces the faults of one leaf, or of all if no address is given.
func (c LeafControl) SetLeafFaults(_ context.Context, f *platformpb.LeafFaults) (*platformpb.ControlReply, error) {
	found := false
	for _, l := range c.Leaves {
		if f.GetAddress() != "" && f.GetAddress() != l.options.Address {
			continue
		}
		found = true
		if err := l.SetFaults(f); err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
	}
	if !found {
		return nil, status.Errorf(codes.NotFound, "no leaf at %s: use the address of a leaf of this process", f.GetAddress())
	}
	return &platformpb.ControlReply{}, nil
}

// Counters adds up the counters of all leaves; the max counters are the highest
// of any leaf.
func (c LeafControl) Counters(context.Context, *platformpb.CountersRequest) (*platformpb.CountersReply, error) {
	sum := &platformpb.CountersReply{}
	for _, l := range c.Leaves {
		l.mu.Lock()
		sum.Executed += l.counters.GetExecuted()
		sum.Shed += l.counters.GetShed()
		sum.MaxInFlight = max(sum.MaxInFlight, l.counters.GetMaxInFlight())
		sum.MaxConnections = max(sum.MaxConnections, l.counters.GetMaxConnections())
		sum.Connections += uint64(l.conns)
		l.mu.Unlock()
	}
	return sum, nil
}

// Executions returns the recorded executions of all leaves.
func (c LeafControl) Executions(context.Context, *platformpb.ExecutionsRequest) (*platformpb.ExecutionsReply, error) {
	reply := &platformpb.ExecutionsReply{}
	for _, l := range c.Leaves {
		l.mu.Lock()
		reply.Executions = append(reply.Executions, l.executions...)
		l.mu.Unlock()
	}
	return reply, nil
}

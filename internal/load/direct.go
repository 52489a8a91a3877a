package load

import (
	"context"
	"fmt"
	"math/rand/v2"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
)

// directClient queries the leaves without the tier: a random replica of each
// shard, without retries or an early answer. It is the baseline for the overhead
// of the tier.
type directClient struct {
	leaves   *leaf.GRPCClient
	services map[string]*configpb.Service
}

func newDirectClient(c *configpb.Config) *directClient {
	d := &directClient{leaves: leaf.NewGRPCClient(insecure.NewCredentials()), services: map[string]*configpb.Service{}}
	for _, s := range c.GetServices() {
		d.services[s.GetName()] = s
	}
	return d
}

// shardReply is the reply or error of one shard.
type shardReply struct {
	shard string
	reply *leafpb.ExecuteReply
	err   error
}

// Ask implements callerpb.QueryClient. Shards that fail are reported as missing.
func (d *directClient) Ask(ctx context.Context, ask *callerpb.AskRequest, _ ...grpc.CallOption) (*callerpb.AskReply, error) {
	s := d.services[ask.GetService()]
	if s == nil {
		return nil, fmt.Errorf("service %q is not in the configuration: correct the scenario or the file given to --direct", ask.GetService())
	}
	replies := make(chan shardReply, len(s.GetShards()))
	for _, shard := range s.GetShards() {
		go func() {
			replica := shard.GetReplicas()[rand.IntN(len(shard.GetReplicas()))]
			reply, err := d.leaves.Execute(ctx, replica.GetAddress(), &leafpb.ExecuteRequest{
				AttemptId: ask.GetRequestId(), RequestId: ask.GetRequestId(), Service: s.GetName(),
				Shard: shard.GetName(), Epoch: s.GetEpoch(), Query: ask.GetQuery(),
			})
			replies <- shardReply{shard: shard.GetName(), reply: reply, err: err}
		}()
	}
	answer := &callerpb.AskReply{RequestId: ask.GetRequestId(), Outcome: callerpb.Outcome_ANSWERED, Coverage: &callerpb.Coverage{}}
	for range s.GetShards() {
		r := <-replies
		if r.err != nil || r.reply.GetPart() == nil {
			answer.Coverage.Missing = append(answer.Coverage.Missing, &callerpb.MissingShard{Shard: r.shard})
			continue
		}
		part := r.reply.GetPart()
		answer.Snapshot = &callerpb.Snapshot{Epoch: part.GetEpoch(), IndexVersion: part.GetIndexVersion()}
		answer.Coverage.Contributed = append(answer.Coverage.Contributed, r.shard)
		answer.Rows = append(answer.Rows, part.GetRows()...)
	}
	return answer, nil
}

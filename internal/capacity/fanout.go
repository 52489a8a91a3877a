package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/home"
)

// shardCounts are the numbers of shards measured.
var shardCounts = []int{20, 30, 140, 500, 1000}

// instantLeaf replies at once, so that only the work of the tier is timed.
type instantLeaf struct{}

// Execute implements leaf.Client.
func (instantLeaf) Execute(_ context.Context, _ string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	return &leafpb.ExecuteReply{
		AttemptId: r.GetAttemptId(),
		Status:    &leafpb.Status{Incarnation: 1, IndexVersions: []uint64{1}},
		Result: &leafpb.ExecuteReply_Part{Part: &leafpb.Part{
			Shard: r.GetShard(), Epoch: r.GetEpoch(), IndexVersion: 1, Rows: [][]byte{{1}}, RowCount: 1,
		}},
	}, nil
}

// Describe implements leaf.Client.
func (instantLeaf) Describe(context.Context, string) (*leafpb.DescribeReply, error) {
	return &leafpb.DescribeReply{Status: &leafpb.Status{Incarnation: 1, IndexVersions: []uint64{1}}}, nil
}

// CloseConn implements leaf.Client.
func (instantLeaf) CloseConn(string) {}

// measureFanOut measures the time of one query through a home without a network,
// and the memory of the home, by number of shards.
func measureFanOut() []Slope {
	var query, memory []Point
	for _, n := range shardCounts {
		c := syntheticConfig(1, n)
		c.Services[0].Homes = 1
		build := func() *home.Service {
			s := home.NewService("service-000", instantLeaf{}, home.Options{
				Queue: admission.Settings{Length: 64}, Hedging: true, HedgeQuantile: 97, RetryBudgetRatio: 0.05, AttemptIDPrefix: "capacity/1",
			})
			s.Configure(c.Services[0], home.SlotShare{Homes: 1}, func(string) (uint64, bool) { return 0, false })
			return s
		}
		size := float64(n)
		memory = append(memory, Point{size, heapOf(build) / 1024})
		s := build()
		id := 0
		query = append(query, Point{size, microsPerCall(func() {
			id++
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s.Serve(ctx, &callerpb.AskRequest{Desk: "d", Service: "service-000", RequestId: fmt.Sprint(id)}, 0)
		})})
	}
	return []Slope{
		fit("one query through a home without network, wall time", "µs", "shards", query),
		fit("home of one service, memory", "KiB", "shards", memory),
	}
}

package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
)

// instantFleet replies at once, so that only the work of the home is timed.
type instantFleet struct{ *leaffake.Fleet }

// Execute implements leaf.Client.
func (instantFleet) Execute(_ context.Context, _ string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	return &leafpb.ExecuteReply{AttemptId: r.GetAttemptId(), Result: &leafpb.ExecuteReply_Part{Part: &leafpb.Part{
		Shard: r.GetShard(), Epoch: r.GetEpoch(), IndexVersion: 1, Rows: [][]byte{{1}}, RowCount: 1,
	}}}, nil
}

// BenchmarkServe measures one request through a home of ten shards.
func BenchmarkServe(b *testing.B) {
	s := home.NewService("search", instantFleet{leaffake.New(leafSlots, 0, 0)}, home.Options{
		Queue: admission.Settings{Length: 64}, Hedging: true, HedgeQuantile: 97, RetryBudgetRatio: 0.05, AttemptIDPrefix: "home/1",
	})
	s.Configure(spec(), home.SlotShare{Homes: 1}, noneLeaving)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s.Serve(ctx, &callerpb.AskRequest{Service: "search", RequestId: fmt.Sprint(n)}, 0)
		cancel()
	}
}

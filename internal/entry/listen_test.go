package entry

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer/peerfake"
	"github.com/mallowgap/mallowgap/internal/platform/platformfake"
)

// An oversized message must be refused and counted, and the host must keep serving.
func TestOversizedMessage(t *testing.T) {
	anyPort := "127.0.0.1:0"
	settings := &settingspb.Entry{
		Host:       &settingspb.HostSection{Name: "entry-0"},
		Listen:     &settingspb.ListenSection{Callers: anyPort, Peers: anyPort, Http: anyPort, MaxMessageBytes: 1024},
		Membership: &settingspb.MembershipSection{Heartbeat: durationpb.New(time.Second)},
		Traffic:    &settingspb.TrafficSection{DefaultDeadline: durationpb.New(time.Second)},
	}
	p := platformfake.New()
	d := New(settings, Dependencies{
		Store: p, Hosts: p, Leaves: leaffake.New(1, 0, 0), Peers: peerfake.New(0).Client("here"),
	}, 1, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := d.listen(ctx)
	assert.NilError(t, err)
	defer s.close()
	d.ctx = ctx
	go d.control.run(ctx)
	s.serve()
	conn, err := grpc.NewClient("passthrough:///"+s.callerListener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	client := callerpb.NewQueryClient(conn)
	refused := obs.Counter("mallowgap_calls_refused_total", "code", codes.ResourceExhausted.String())
	before := refused.Get()
	_, err = client.Ask(ctx, &callerpb.AskRequest{RequestId: "big", Query: make([]byte, 4096)})
	assert.Equal(t, status.Code(err), codes.ResourceExhausted)
	reply, err := client.Ask(ctx, &callerpb.AskRequest{RequestId: "small"})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetReason(), callerpb.Reason_NOT_READY)
	assert.Equal(t, refused.Get(), before+1)
}

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/peer/peerfake"
	"github.com/mallowgap/mallowgap/internal/platform/platformfake"
)

// panickingFleet panics when a query "poison" is sent to a leaf.
type panickingFleet struct{ *leaffake.Fleet }

// Execute implements leaf.Client.
func (f panickingFleet) Execute(ctx context.Context, address string, r *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	if string(r.GetQuery()) == "poison" {
		panic("injected")
	}
	return f.Fleet.Execute(ctx, address, r)
}

// panickingStore panics in reads.
type panickingStore struct{ *platformfake.Platform }

// Get implements platform.Store.
func (panickingStore) Get(context.Context, string) (config.Value, error) { panic("injected") }

// lockedBuffer is a buffer for the log of a daemon.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// faults returns the lines about panics.
func (l *lockedBuffer) faults() (lines []map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.b.String()) {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) == nil && fields["fault"] != nil {
			lines = append(lines, map[string]string{"request": fmt.Sprint(fields["request"]), "work": fmt.Sprint(fields["work"]), "fault": fmt.Sprint(fields["fault"]), "stack": fmt.Sprint(fields["stack"])})
		}
	}
	return lines
}

// servedDaemon is a daemon on real listeners with a service "search" of one shard and a service
// "tags" whose requests are not repeatable.
type servedDaemon struct {
	*Daemon
	log     *lockedBuffer
	conn    *grpc.ClientConn
	queries callerpb.QueryClient
	peer    string
}

func serveDaemon(t *testing.T) *servedDaemon {
	anyPort := "127.0.0.1:0"
	settings := &settingspb.Entry{
		Host:       &settingspb.HostSection{Name: "entry-0"},
		Listen:     &settingspb.ListenSection{Callers: anyPort, Peers: anyPort, Http: anyPort, MaxMessageBytes: 1 << 20},
		Membership: &settingspb.MembershipSection{Heartbeat: durationpb.New(time.Second)},
		Traffic:    &settingspb.TrafficSection{DefaultDeadline: durationpb.New(2 * time.Second), QueueLength: 16},
	}
	p, log := platformfake.New(), &lockedBuffer{}
	d := New(settings, Dependencies{
		Store: panickingStore{p}, Hosts: p, Leaves: panickingFleet{leaffake.New(4, 0, 0)}, Peers: peerfake.New(0).Client("here"),
	}, 1, zerolog.New(log))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := d.listen(ctx)
	assert.NilError(t, err)
	t.Cleanup(s.close)
	d.ctx = ctx
	d.control.onConfigChange = func() {}
	go d.control.run(ctx)
	head, parts, err := config.Split(&configpb.Config{
		Revision: 1,
		Classes:  []*configpb.Class{{Name: "gate"}},
		Desks:    []*configpb.Desk{{Name: "gate-1", Class: "gate"}},
		Services: []*configpb.Service{oneShard("search", false), oneShard("tags", true)},
	})
	assert.NilError(t, err)
	d.control.do(func() { err = d.control.applyConfig(head, parts) })
	assert.NilError(t, err)
	s.serve()
	conn, err := grpc.NewClient("passthrough:///"+s.callerListener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &servedDaemon{Daemon: d, log: log, conn: conn, queries: callerpb.NewQueryClient(conn), peer: s.peerListener.Addr().String()}
}

func oneShard(name string, notRepeatable bool) *configpb.Service {
	return &configpb.Service{
		Name: name, Epoch: 1, Slots: 4, Connections: 25, NotRepeatable: notRepeatable,
		Shards: []*configpb.Shard{{Name: "s0", To: config.KeySpace, Replicas: []*configpb.Replica{{Address: "10.0.0.1:1", FailureDomain: "0"}}}},
	}
}

func (d *servedDaemon) ask(t *testing.T, service, id, query string, ticket []byte) *callerpb.AskReply {
	t.Helper()
	reply, err := d.queries.Ask(t.Context(), &callerpb.AskRequest{
		Desk: "gate-1", Service: service, RequestId: id, Query: []byte(query), Ticket: ticket,
	})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRequestId(), id)
	return reply
}

// A panic while a request is served must be answered, counted and logged with the request, and the
// next request must be served.
func TestPanicIsAnsweredAndTheDaemonGoesOn(t *testing.T) {
	d := serveDaemon(t)
	counter := metrics.GetOrCreateCounter("mallowgap_faults_contained_total")
	before := counter.Get()
	for i := range 20 {
		assert.Equal(t, d.ask(t, "search", fmt.Sprint("poison-", i), "poison", nil).GetOutcome(), callerpb.Outcome_UNKNOWN)
		assert.Equal(t, d.ask(t, "search", fmt.Sprint("plain-", i), "plain", nil).GetOutcome(), callerpb.Outcome_ANSWERED)
	}
	assert.Assert(t, counter.Get()-before >= 20)
	fault := d.log.faults()[0]
	assert.Equal(t, fault["request"], "poison-0")
	assert.Equal(t, fault["work"], "attempt")
	assert.Equal(t, fault["fault"], "injected")
	assert.Assert(t, strings.Contains(fault["stack"], "panickingFleet"), fault["stack"])
}

// The ticket of a request that panicked must not stay in progress: a resend gets the outcome at once.
func TestTicketOfAPanickedRequestIsFinished(t *testing.T) {
	d := serveDaemon(t)
	ticket := d.ask(t, "tags", "r", "poison", nil).GetTicket()
	assert.Assert(t, len(ticket) > 0)
	first := d.ask(t, "tags", "r", "poison", ticket)
	assert.Equal(t, first.GetOutcome(), callerpb.Outcome_UNKNOWN)
	begin := time.Now()
	again := d.ask(t, "tags", "r", "poison", ticket)
	assert.Equal(t, again.GetOutcome(), callerpb.Outcome_UNKNOWN)
	assert.Assert(t, again.GetReason() != callerpb.Reason_TICKET_IN_USE, "%v", again)
	assert.Assert(t, time.Since(begin) < time.Second)

	d.homes.Store("tags", "not a home") // The choice of the home panics: nothing was sent.
	ticket = d.ask(t, "tags", "s", "plain", nil).GetTicket()
	reply := d.ask(t, "tags", "s", "plain", ticket)
	assert.Equal(t, reply.GetOutcome(), callerpb.Outcome_NOT_RUN)
	d.homes.Delete("tags")
	assert.Equal(t, d.ask(t, "tags", "s", "plain", ticket).GetOutcome(), callerpb.Outcome_NOT_RUN, "the ticket is spent")
	assert.Equal(t, d.ask(t, "tags", "s", "plain", reply.GetTicket()).GetOutcome(), callerpb.Outcome_ANSWERED)
}

// A panic before anything was sent to a leaf must be answered as not run, to callers and to peers.
func TestPanicBeforeTheHomeIsNotRun(t *testing.T) {
	d := serveDaemon(t)
	d.homes.Store("search", "not a home")
	assert.Equal(t, d.ask(t, "search", "r", "plain", nil).GetOutcome(), callerpb.Outcome_NOT_RUN)
	peers := peer.NewDRPCClient(time.Second, nil)
	defer func() { _ = peers.Close() }()
	forward := &peerpb.ForwardRequest{TimeoutUs: 1_000_000, Ask: &callerpb.AskRequest{Desk: "gate-1", Service: "search", RequestId: "p"}}
	reply, err := peers.Forward(t.Context(), d.peer, forward)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), callerpb.Outcome_NOT_RUN)
	d.homes.Delete("search")
	reply, err = peers.Forward(t.Context(), d.peer, forward)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), callerpb.Outcome_ANSWERED)
}

// A panic in a call of an operator, in a call of a peer or in the control loop must fail only that.
func TestPanicAtTheEdgesFailsOnlyTheCall(t *testing.T) {
	d := serveDaemon(t)
	_, err := operatorpb.NewOperatorClient(d.conn).Apply(t.Context(), &operatorpb.ApplyRequest{ChangeId: "c", Config: &configpb.Config{}})
	assert.Equal(t, status.Code(err), codes.Internal, "%v", err)

	peers := peer.NewDRPCClient(time.Second, nil)
	defer func() { _ = peers.Close() }()
	view := d.control.current.Swap(nil)
	_, err = peers.Gossip(t.Context(), d.peer, &peerpb.GossipMessage{From: "entry-1"})
	d.control.current.Store(view)
	assert.ErrorContains(t, err, "fault of the program")

	assert.Assert(t, !d.control.do(func() { panic("injected") }))
	_, err = peers.Gossip(t.Context(), d.peer, &peerpb.GossipMessage{From: "entry-1"})
	assert.NilError(t, err)
	assert.Equal(t, d.ask(t, "search", "r", "plain", nil).GetOutcome(), callerpb.Outcome_ANSWERED)
}

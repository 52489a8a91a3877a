package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/secure"
)

const (
	// maxOutstandingPerClass bounds the requests of a class in flight.
	maxOutstandingPerClass = 20000
	// connsPerEntry is the number of connections to each entry host.
	connsPerEntry = 2
	// abandonFactor is the multiple of the deadline after which a request is
	// abandoned.
	abandonFactor = 1.5
	// maxResends bounds how often a non-repeatable request is sent again with
	// its ticket while its outcome is unknown.
	maxResends = 3
)

// Targets holds the addresses that a run uses.
type Targets struct {
	// Entries are the callers addresses of the entry hosts.
	Entries []string
	// ReadyAddresses are the HTTP addresses of the same hosts, in the same order, for
	// readiness checks. A host without one always counts as ready.
	ReadyAddresses []string
	// Direct, if not nil, is a configuration whose leaves are queried without
	// entry hosts.
	Direct *configpb.Config
	// LeafControls are the control addresses of stand-in leaf processes.
	LeafControls []string
	// PlatformControl is the address of the stand-in platform, or empty.
	PlatformControl string
}

// Report holds the results of a run.
type Report struct {
	Classes []*Class
	// Outcomes holds the final outcome of every request, warm-up included.
	Outcomes []Outcome
	// Executed and Shed count the requests that the leaves executed and shed
	// during the run.
	Executed, Shed uint64
	// MaxInFlight and MaxConnections are the highest numbers at any one leaf
	// since its start.
	MaxInFlight    uint64
	MaxConnections uint64
	Duration       time.Duration
	// Interval is the length of the intervals of the classes.
	Interval time.Duration
}

// runner holds the state of one run.
type runner struct {
	scenario     *settingspb.Scenario
	balancer     balancer
	leafControls []platformpb.ControlClient
	platform     platformpb.ControlClient
	recorder     *recorder
	// runID makes the request identifiers unique over runs.
	runID string
}

// Run runs a scenario and returns its results.
func Run(ctx context.Context, scenario *settingspb.Scenario, targets Targets) (*Report, error) {
	r := &runner{scenario: scenario, runID: fmt.Sprintf("%x", time.Now().UnixNano())}
	if err := r.connect(targets); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(scenario.GetClass()))
	for name := range scenario.GetClass() {
		names = append(names, name)
	}
	slices.Sort(names)
	duration := scenario.GetRun().GetDuration().AsDuration()
	interval := scenario.GetRun().GetInterval().AsDuration()
	r.recorder = newRecorder(names, duration, interval)
	pollCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.balancer.pollReadiness(pollCtx)
	before := r.counters(ctx)
	r.runLoad(ctx, names)
	after := r.counters(ctx)
	report := &Report{
		Outcomes: r.recorder.outcomes, Duration: duration, Interval: interval,
		Executed: after.GetExecuted() - before.GetExecuted(), Shed: after.GetShed() - before.GetShed(),
		MaxInFlight: after.GetMaxInFlight(), MaxConnections: after.GetMaxConnections(),
	}
	for _, name := range names {
		report.Classes = append(report.Classes, r.recorder.classes[name])
	}
	return report, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	return secure.Dial(address, insecure.NewCredentials())
}

func (r *runner) connect(targets Targets) error {
	if targets.Direct != nil {
		b := &backend{conns: []callerpb.QueryClient{newDirectClient(targets.Direct)}}
		r.balancer.backends = []*backend{b}
	}
	for i, address := range targets.Entries {
		b := &backend{}
		if i < len(targets.ReadyAddresses) {
			b.readyAddress = targets.ReadyAddresses[i]
		}
		b.ready.Store(true)
		for range connsPerEntry {
			conn, err := dial(address)
			if err != nil {
				return fmt.Errorf("entry host %s: %w", address, err)
			}
			b.conns = append(b.conns, callerpb.NewQueryClient(conn))
		}
		r.balancer.backends = append(r.balancer.backends, b)
	}
	for _, address := range targets.LeafControls {
		conn, err := dial(address)
		if err != nil {
			return fmt.Errorf("leaf control %s: %w", address, err)
		}
		r.leafControls = append(r.leafControls, platformpb.NewControlClient(conn))
	}
	if targets.PlatformControl == "" {
		return nil
	}
	conn, err := dial(targets.PlatformControl)
	if err != nil {
		return fmt.Errorf("platform control %s: %w", targets.PlatformControl, err)
	}
	r.platform = platformpb.NewControlClient(conn)
	return nil
}

// counters adds up the counters of all leaf processes. A process that does not
// reply, such as a killed one, is left out.
func (r *runner) counters(ctx context.Context) *platformpb.CountersReply {
	sum := &platformpb.CountersReply{}
	for _, c := range r.leafControls {
		reply, err := c.Counters(ctx, &platformpb.CountersRequest{})
		if err != nil {
			continue
		}
		sum.Executed += reply.GetExecuted()
		sum.Shed += reply.GetShed()
		sum.MaxInFlight = max(sum.MaxInFlight, reply.GetMaxInFlight())
		sum.MaxConnections = max(sum.MaxConnections, reply.GetMaxConnections())
	}
	return sum
}

// runLoad sends the requests of all classes, injects the faults, and waits for
// the last reply.
func (r *runner) runLoad(ctx context.Context, names []string) {
	var wg sync.WaitGroup
	begin := time.Now().Add(r.scenario.GetRun().GetWarmup().AsDuration())
	for i, name := range names {
		class := r.scenario.GetClass()[name]
		rng := rand.New(rand.NewPCG(r.scenario.GetRun().GetSeed(), uint64(i)))
		wg.Go(func() { r.sendArrivals(ctx, name, class, rng, begin) })
	}
	for _, f := range r.scenario.GetFault() {
		wg.Go(func() { r.runFault(ctx, f, begin) })
	}
	wg.Wait()
}

// sendArrivals sends the requests of one class as a Poisson process and waits for
// their replies.
func (r *runner) sendArrivals(ctx context.Context, name string, class *settingspb.ClassSection, rng *rand.Rand, begin time.Time) {
	if class.GetRate() <= 0 {
		return
	}
	due := time.Now()
	end := begin.Add(r.scenario.GetRun().GetDuration().AsDuration())
	var wg sync.WaitGroup
	outstanding := make(chan struct{}, maxOutstandingPerClass)
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / class.GetRate() * float64(time.Second)))
		if due.After(end) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		ask := &callerpb.AskRequest{
			Desk: class.GetDesk(), Service: class.GetService(), RequestId: fmt.Sprintf("%s-%s-%d", r.runID, name, n),
			Query: []byte("surname=rossi"), NotRepeatable: class.GetNotRepeatable(),
		}
		dueAt, client := due, r.balancer.pick()
		outstanding <- struct{}{}
		wg.Go(func() {
			defer func() { <-outstanding }()
			r.sendAndRecord(ctx, name, class, client, ask, dueAt, begin)
		})
	}
	wg.Wait()
}

// sendAndRecord sends one request and records its result.
func (r *runner) sendAndRecord(ctx context.Context, name string, class *settingspb.ClassSection, client callerpb.QueryClient, ask *callerpb.AskRequest, due, begin time.Time) {
	deadline := class.GetDeadline().AsDuration()
	ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(abandonFactor*float64(deadline))))
	defer cancel()
	reply, err := r.sendWithResends(ctx, client, ask, due.Add(deadline))
	r.recorder.add(observation{
		class: name, measured: !due.Before(begin), due: due.Sub(begin), took: time.Since(due),
		deadline: deadline, ask: ask, reply: reply, err: err,
	})
}

// sendWithResends sends a request. It sends a non-repeatable one again with its
// ticket while the outcome is unknown.
func (r *runner) sendWithResends(ctx context.Context, client callerpb.QueryClient, ask *callerpb.AskRequest, deadline time.Time) (*callerpb.AskReply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := client.Ask(ctx, ask)
	if !ask.GetNotRepeatable() {
		return reply, err
	}
	for range maxResends {
		notRun := reply.GetOutcome() == callerpb.Outcome_NOT_RUN && reply.GetReason() != callerpb.Reason_TICKET_REQUIRED
		if notRun {
			break
		}
		resend := reply.GetReason() == callerpb.Reason_TICKET_REQUIRED ||
			(len(ask.GetTicket()) > 0 && (err != nil || reply.GetReason() == callerpb.Reason_PEER_LOST))
		if !resend || ctx.Err() != nil {
			break
		}
		if len(reply.GetTicket()) > 0 {
			ask.Ticket = reply.GetTicket()
		}
		client = r.balancer.pick()
		reply, err = client.Ask(ctx, ask)
	}
	return reply, err
}

// executionsReplyLimit raises the message limit so that all recorded executions
// fit in one reply.
var executionsReplyLimit = grpc.MaxCallRecvMsgSize(512 << 20)

package invariant

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/internal/entry"
	"github.com/mallowgap/mallowgap/internal/leaf/leaffake"
	"github.com/mallowgap/mallowgap/internal/peer/peerfake"
	"github.com/mallowgap/mallowgap/internal/platform/platformfake"
)

const (
	numHosts      = 3
	numShards     = 4
	numReplicas   = 2
	numPoolLeaves = 3
	slotsPerLeaf  = 2
	serviceTime   = 5 * time.Millisecond
	oneWayDelay   = 500 * time.Microsecond
	// deliveryBound is the time within which all messages in transit arrive.
	deliveryBound = 15 * time.Second
)

// exchange is a request that a caller sent and the reply that it got.
type exchange struct {
	ask   *callerpb.AskRequest
	reply *callerpb.AskReply
	at    time.Time
}

// cluster is a small deployment and the record of what callers observed.
type cluster struct {
	fleet    *leaffake.Fleet
	network  *peerfake.Network
	platform *platformfake.Platform
	hosts    []*host
	// background waits for the goroutines that a run starts.
	background sync.WaitGroup

	mu         sync.Mutex
	exchanges  []exchange
	violations []string
	// sentWithNewTicket holds the requests that were reported as not run and then sent again with
	// a new ticket.
	sentWithNewTicket map[string]bool
	epoch             uint64
}

// host is an entry host and its state.
type host struct {
	daemon       *entry.Daemon
	address      string
	starts       uint64
	kill         context.CancelFunc
	dead         bool
	stopping     bool
	frozen       bool
	lastRevision uint64
}

// violationf records a violation of an invariant.
func (cl *cluster) violationf(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

func leafAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

func poolAddress(i int) string { return fmt.Sprintf("10.0.1.%d:7000", i+1) }

// testConfig returns a configuration with a sharded service, "search", and a pool whose requests
// are not repeatable, "tags".
func testConfig(epoch uint64, shardCount int) *configpb.Config {
	c := &configpb.Config{
		Classes: []*configpb.Class{{Name: "gate", Rank: 0}, {Name: "office", Rank: 1}},
		Desks:   []*configpb.Desk{{Name: "gate-1", Class: "gate"}, {Name: "office-1", Class: "office"}},
	}
	search := &configpb.Service{Name: "search", Epoch: epoch, Slots: slotsPerLeaf, Connections: 25}
	for i := range shardCount {
		s := &configpb.Shard{
			Name: fmt.Sprintf("e%d-s%d", epoch, i),
			From: uint32(config.KeySpace * i / shardCount), To: uint32(config.KeySpace * (i + 1) / shardCount),
		}
		for r := range numReplicas {
			s.Replicas = append(s.Replicas, &configpb.Replica{Address: leafAddress((i*numReplicas + r) % (numShards * numReplicas)), FailureDomain: fmt.Sprint(r)})
		}
		search.Shards = append(search.Shards, s)
	}
	tags := &configpb.Service{Name: "tags", Epoch: 1, Slots: slotsPerLeaf, Connections: 25, NotRepeatable: true}
	pool := &configpb.Shard{Name: "pool", To: config.KeySpace}
	for i := range numPoolLeaves {
		pool.Replicas = append(pool.Replicas, &configpb.Replica{Address: poolAddress(i), FailureDomain: fmt.Sprint(i)})
	}
	tags.Shards = []*configpb.Shard{pool}
	c.Services = []*configpb.Service{search, tags}
	return c
}

func peerAddress(i int) string { return fmt.Sprintf("10.1.0.%d:6000", i+1) }

func hostSettings(i int) *settingspb.Entry {
	var seeds []string
	for j := range numHosts {
		seeds = append(seeds, peerAddress(j))
	}
	return &settingspb.Entry{
		Host:     &settingspb.HostSection{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprint(i)},
		Listen:   &settingspb.ListenSection{Peers: peerAddress(i)},
		Platform: &settingspb.PlatformSection{Watchers: 2, HostPoll: durationpb.New(time.Second)},
		Membership: &settingspb.MembershipSection{
			Heartbeat: durationpb.New(500 * time.Millisecond), HeartbeatTimeout: durationpb.New(300 * time.Millisecond),
			Suspicion: durationpb.New(2 * time.Second), Seeds: strings.Join(seeds, ","),
		},
		Traffic: &settingspb.TrafficSection{
			QueueLength: 16, Selection: "observed", Order: "class", Hedging: true, HedgeQuantile: 97, ExtraShare: 0.05,
			DefaultDeadline: durationpb.New(time.Second),
		},
	}
}

func newCluster() *cluster {
	cl := &cluster{
		fleet:             leaffake.New(slotsPerLeaf, serviceTime, oneWayDelay),
		network:           peerfake.New(oneWayDelay),
		platform:          platformfake.New(),
		epoch:             1,
		sentWithNewTicket: map[string]bool{},
	}
	cl.fleet.BeforeSend = cl.beforeSend
	for i := range numHosts {
		cl.hosts = append(cl.hosts, &host{address: peerAddress(i)})
		cl.start(i)
	}
	return cl
}

// beforeSend blocks while the host that sends an attempt is frozen, and reports whether the
// incarnation that began the attempt is still alive.
func (cl *cluster) beforeSend(attempt string) bool {
	var name string
	var incarnation uint64
	name, rest, _ := strings.Cut(attempt, "/")
	_, _ = fmt.Sscanf(rest, "%d/", &incarnation)
	for i, h := range cl.hosts {
		if name != fmt.Sprintf("entry-%d", i) {
			continue
		}
		cl.network.WaitUntilThawed(h.address)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return !h.dead && h.starts == incarnation
	}
	return false
}

// start starts a host as a new incarnation and resets the state observed for it.
func (cl *cluster) start(i int) {
	h := cl.hosts[i]
	ctx, cancel := context.WithCancel(context.Background())
	dependencies := entry.Dependencies{Store: cl.platform, Hosts: cl.platform, Leaves: cl.fleet, Peers: cl.network.Client(h.address)}
	cl.mu.Lock()
	h.starts++
	h.dead, h.stopping, h.lastRevision = false, false, 0
	h.daemon = entry.New(hostSettings(i), dependencies, h.starts, zerolog.Nop())
	h.kill = cancel
	cl.mu.Unlock()
	cl.network.Serve(h.address, h.daemon)
	h.daemon.Start(ctx)
}

// killHost ends a host at once; what it has not sent is lost.
func (cl *cluster) killHost(i int) {
	h := cl.hosts[i]
	cl.mu.Lock()
	h.dead = true
	cl.mu.Unlock()
	cl.network.Remove(h.address)
	cl.thaw(i)
	h.kill()
}

func (cl *cluster) freeze(i int) {
	cl.hosts[i].frozen = true
	cl.network.Freeze(cl.hosts[i].address)
}

func (cl *cluster) thaw(i int) {
	cl.hosts[i].frozen = false
	cl.network.Thaw(cl.hosts[i].address)
}

// usable reports whether the balancer sends requests to a host.
func (cl *cluster) usable(i int) bool {
	h := cl.hosts[i]
	return !h.dead && !h.stopping
}

// apply applies a configuration through a host.
func (cl *cluster) apply(i int, expect uint64, id string, c *configpb.Config, timeout time.Duration) (*operatorpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return cl.hosts[i].daemon.Operators().Apply(ctx, &operatorpb.ApplyRequest{ExpectRevision: expect, ChangeId: id, Config: c})
}

// setUp applies the first configuration and waits until all hosts are ready.
func (cl *cluster) setUp(t *testing.T) {
	time.Sleep(2 * time.Second)
	reply, err := cl.apply(0, 0, "first", testConfig(1, numShards), time.Second)
	if err != nil || reply.GetOutcome() != operatorpb.ApplyOutcome_ACCEPTED {
		t.Fatalf("first configuration: %v %v", reply, err)
	}
	time.Sleep(2 * time.Second)
	for i, h := range cl.hosts {
		if !h.daemon.Ready() {
			t.Fatalf("host %d is not ready", i)
		}
	}
}

// send sends a request to a host and records the reply. It returns nil if the host died before the
// reply reached the caller; the reply of a frozen host is delayed.
func (cl *cluster) send(i int, ask *callerpb.AskRequest, timeout time.Duration) *callerpb.AskReply {
	h := cl.hosts[i]
	cl.network.WaitUntilThawed(h.address)
	cl.mu.Lock()
	dead, starts := h.dead, h.starts
	daemon := h.daemon
	cl.mu.Unlock()
	if dead {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := daemon.Ask(ctx, ask)
	if err != nil {
		cl.violationf("%s: %v", ask.GetRequestId(), err)
		return nil
	}
	cl.network.WaitUntilThawed(h.address)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if h.dead || h.starts != starts {
		return nil
	}
	cl.exchanges = append(cl.exchanges, exchange{ask: ask, reply: reply, at: time.Now()})
	return reply
}

// tearDown waits until all messages in transit have arrived and ends the hosts.
func (cl *cluster) tearDown() {
	for i := range cl.hosts {
		cl.thaw(i)
	}
	cl.background.Wait()
	cl.platform.SetOutage(false)
	time.Sleep(deliveryBound)
	for _, h := range cl.hosts {
		h.kill()
	}
	time.Sleep(deliveryBound)
}

// withCluster runs fn on a new cluster in fake time and returns the violations.
func withCluster(t *testing.T, fn func(t *testing.T, cl *cluster)) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		cl.setUp(t)
		fn(t, cl)
		cl.tearDown()
		cl.check()
		violations = cl.violations
	})
	return violations
}

// check checks the recorded exchanges and executions.
func (cl *cluster) check() {
	executed := map[string]int{}
	for _, e := range cl.fleet.Executions() {
		executed[e.Request]++
	}
	once := map[string]bool{}
	for _, ex := range cl.exchanges {
		cl.checkExchange(ex, executed)
		if ex.ask.GetNotRepeatable() {
			once[ex.ask.GetRequestId()] = true
		}
	}
	for request, n := range executed {
		if (once[request] || strings.HasPrefix(request, "once-")) && n > 1 {
			cl.violationf("at most once: %s ran %d times", request, n)
		}
	}
}

func (cl *cluster) checkExchange(e exchange, executed map[string]int) {
	id := e.ask.GetRequestId()
	if e.reply.GetRequestId() != id {
		cl.violationf("correlation: reply to %s came for %s", e.reply.GetRequestId(), id)
	}
	switch e.reply.GetOutcome() {
	case callerpb.Outcome_NOT_RUN:
		// A reply with TICKET_REQUIRED issues a ticket: it says that the request was not run, but the
		// request may run later with that ticket.
		if executed[id] > 0 && !cl.sentWithNewTicket[id] && e.reply.GetReason() != callerpb.Reason_TICKET_REQUIRED {
			cl.violationf("not run: %s (%s) ran %d times", id, e.reply.GetReason(), executed[id])
		}
	case callerpb.Outcome_ANSWERED:
		cl.checkAnswer(e)
	case callerpb.Outcome_UNKNOWN:
	default:
		cl.violationf("%s got no outcome", id)
	}
}

// checkAnswer checks the snapshot, coverage and correlation of an answer.
func (cl *cluster) checkAnswer(e exchange) {
	id, snapshot := e.ask.GetRequestId(), e.reply.GetSnapshot()
	contributed := e.reply.GetCoverage().GetContributed()
	if len(contributed) == 0 || len(contributed) != len(e.reply.GetRows()) {
		cl.violationf("coverage: %s names %d shards and has %d rows", id, len(contributed), len(e.reply.GetRows()))
		return
	}
	seen := map[string]bool{}
	for i, shard := range contributed {
		row := string(e.reply.GetRows()[i])
		fields := strings.Fields(row)
		if fields[0] != id {
			cl.violationf("correlation: %s got row %q", id, row)
		}
		if fields[1] != shard || seen[shard] {
			cl.violationf("coverage: %s names %s for row %q", id, shard, row)
		}
		if fields[2] != fmt.Sprint(snapshot.GetEpoch()) || fields[3] != fmt.Sprint(snapshot.GetIndexVersion()) {
			cl.violationf("snapshot: %s of %v holds row %q", id, snapshot, row)
		}
		seen[shard] = true
	}
	for _, m := range e.reply.GetCoverage().GetMissing() {
		if seen[m.GetShard()] {
			cl.violationf("coverage: %s names %s as contributed and missing", id, m.GetShard())
		}
		seen[m.GetShard()] = true
	}
	if e.ask.GetService() == "search" && !strings.HasPrefix(contributed[0], fmt.Sprintf("e%d-", snapshot.GetEpoch())) {
		cl.violationf("snapshot: %s names epoch %d and shard %s", id, snapshot.GetEpoch(), contributed[0])
	}
}

// failOnViolations fails the property if a run had violations, and lists the first five.
func failOnViolations(rt *rapid.T, violations []string) {
	if len(violations) > 0 {
		rt.Fatalf("%d violations, the first: %s", len(violations), strings.Join(violations[:min(len(violations), 5)], "\n"))
	}
}

// leafHost returns the entry of a leaf in the host list.
func leafHost(address string, state platformpb.HostState, incarnation uint64) *platformpb.Host {
	return &platformpb.Host{Name: "leaf-" + address, Address: address, Kind: platformpb.HostKind_LEAF, State: state, Incarnation: incarnation}
}

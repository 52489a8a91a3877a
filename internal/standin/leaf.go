package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
)

// LeafOptions configure a leaf.
type LeafOptions struct {
	Address string
	// Slots bounds the requests that run at the same time; more are shed.
	Slots int
	// Connections bounds the open connections; more are closed at once.
	Connections int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ConnectTime is the time that a new connection takes.
	ConnectTime time.Duration
	// Versions are the index versions held, the newest last.
	Versions []uint64
	// Seed seeds the service times.
	Seed uint64
	// RecordExecutions keeps all executions for Control.Executions. Without it only those
	// of non-repeatable requests are kept.
	RecordExecutions bool
}

// Leaf simulates a backend server. It is safe for concurrent use.
type Leaf struct {
	leafpb.UnimplementedLeafServer
	options     LeafOptions
	incarnation uint64

	mu         sync.Mutex
	rng        *rand.Rand
	faults     *platformpb.LeafFaults
	coldUntil  time.Time
	versions   []uint64
	inFlight   int
	counters   *platformpb.CountersReply
	executions []*platformpb.Execution
	server     *grpc.Server
	conns      int
}

// NewLeaf returns a leaf that does not listen yet.
func NewLeaf(options LeafOptions) *Leaf {
	return &Leaf{
		options:     options,
		incarnation: uint64(time.Now().UnixNano()),
		rng:         rand.New(rand.NewPCG(options.Seed, 7)),
		faults:      &platformpb.LeafFaults{},
		versions:    options.Versions,
		counters:    &platformpb.CountersReply{},
	}
}

// Listen opens the listener and serves in the background.
func (l *Leaf) Listen() error {
	lis, err := net.Listen("tcp", l.options.Address)
	if err != nil {
		return fmt.Errorf("leaf %s: %w: choose a free address", l.options.Address, err)
	}
	server := grpc.NewServer()
	leafpb.RegisterLeafServer(server, l)
	l.mu.Lock()
	l.server = server
	l.mu.Unlock()
	go func() { _ = server.Serve(&limitedListener{Listener: lis, leaf: l}) }()
	return nil
}

// Stop closes the listener and all connections at once.
func (l *Leaf) Stop() {
	l.mu.Lock()
	server := l.server
	l.server = nil
	l.mu.Unlock()
	if server != nil {
		server.Stop()
	}
}

// SetFaults replaces the faults. Ending the fault Down restarts the leaf as a new
// incarnation.
func (l *Leaf) SetFaults(f *platformpb.LeafFaults) error {
	l.mu.Lock()
	wasDown := l.faults.GetDown()
	l.faults = f
	if f.GetColdMs() > 0 {
		l.coldUntil = time.Now().Add(time.Duration(f.GetColdMs()) * time.Millisecond)
	}
	if len(f.GetIndexVersions()) > 0 {
		l.versions = slices.Clone(f.GetIndexVersions())
	}
	l.mu.Unlock()
	if f.GetDown() && !wasDown {
		l.Stop()
	}
	if !f.GetDown() && wasDown {
		l.mu.Lock()
		l.incarnation = uint64(time.Now().UnixNano())
		l.mu.Unlock()
		return l.Listen()
	}
	return nil
}

// Execute implements leafpb.LeafServer.
func (l *Leaf) Execute(ctx context.Context, request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	refusal, serviceTime, err := l.admit(request)
	if err != nil {
		return nil, err
	}
	if refusal != leafpb.Refusal_KIND_UNSPECIFIED {
		return &leafpb.ExecuteReply{
			AttemptId: request.GetAttemptId(), Status: l.status(),
			Result: &leafpb.ExecuteReply_Refusal{Refusal: &leafpb.Refusal{Kind: refusal}},
		}, nil
	}
	defer l.release()
	if !l.simulateWork(ctx, serviceTime) {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if l.isPoison(request.GetQuery()) {
		go l.crash()
		<-ctx.Done() // The crash closes the connection.
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return l.buildReply(request)
}

// isPoison reports whether the query crashes the leaf.
func (l *Leaf) isPoison(query []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	poison := l.faults.GetPoison()
	return poison != "" && strings.HasPrefix(string(query), poison)
}

// crash stops the leaf with all requests in flight and restarts it after
// poison_down_ms.
func (l *Leaf) crash() {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.GetDown() {
		return
	}
	down := proto.CloneOf(faults)
	down.Down = true
	_ = l.SetFaults(down) // Only a restart can fail.
	time.Sleep(time.Duration(faults.GetPoisonDownMs()) * time.Millisecond)
	if err := l.SetFaults(faults); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// admit takes a slot, records the execution and returns its service time. If the
// request is not admitted, it returns the refusal or an error.
func (l *Leaf) admit(request *leafpb.ExecuteRequest) (leafpb.Refusal_Kind, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.GetFailFast() {
		return 0, 0, status.Error(codes.Internal, "disk error")
	}
	if l.faults.GetDraining() {
		return leafpb.Refusal_DRAINING, 0, nil
	}
	if l.faults.GetShedAll() || l.inFlight >= l.options.Slots {
		l.counters.Shed++
		return leafpb.Refusal_SHED, 0, nil
	}
	if v := request.GetIndexVersion(); v != 0 && !slices.Contains(l.versions, v) {
		return leafpb.Refusal_VERSION_GONE, 0, nil
	}
	l.inFlight++
	l.counters.Executed++
	l.counters.MaxInFlight = max(l.counters.MaxInFlight, uint64(l.inFlight))
	if l.options.RecordExecutions || request.GetNotRepeatable() {
		l.executions = append(l.executions, &platformpb.Execution{
			RequestId: request.GetRequestId(), Shard: request.GetShard(),
			Service: request.GetService(), NotRepeatable: request.GetNotRepeatable(),
		})
	}
	return leafpb.Refusal_KIND_UNSPECIFIED, l.serviceTime(), nil
}

// serviceTime draws a service time: half of the mean is fixed, the other half
// exponentially distributed. Slow and cold leaves multiply it. l.mu is held.
func (l *Leaf) serviceTime() time.Duration {
	duration := float64(l.options.ServiceTime) * (0.5 + 0.5*l.rng.ExpFloat64())
	if f := l.faults.GetSlowFactor(); f > 1 {
		duration *= f
	}
	if time.Now().Before(l.coldUntil) {
		duration *= coldFactor
	}
	return time.Duration(duration)
}

// coldFactor multiplies the service time of a cold leaf.
const coldFactor = 4

// simulateWork waits for the service time. It reports false if ctx was cancelled
// first; a silent leaf never finishes.
func (l *Leaf) simulateWork(ctx context.Context, duration time.Duration) bool {
	l.mu.Lock()
	silent := l.faults.GetSilent()
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *Leaf) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// buildReply returns a part with one row, which identifies the request, the shard
// and the snapshot.
func (l *Leaf) buildReply(request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	version := request.GetIndexVersion()
	l.mu.Lock()
	if version == 0 {
		version = l.versions[len(l.versions)-1]
	}
	clip := l.faults.GetClip()
	l.mu.Unlock()
	row := Row(request.GetRequestId(), request.GetShard(), request.GetEpoch(), version)
	part := &leafpb.Part{
		Shard: request.GetShard(), Epoch: request.GetEpoch(), IndexVersion: version,
		Rows: [][]byte{[]byte(row)}, RowCount: 1,
	}
	if clip {
		part.Rows = nil
	}
	return &leafpb.ExecuteReply{
		AttemptId: request.GetAttemptId(), Status: l.status(),
		Result: &leafpb.ExecuteReply_Part{Part: part},
	}, nil
}

// Row returns the row with which a leaf answers.
func Row(request, shard string, epoch, version uint64) string {
	return fmt.Sprintf("%s %s %d %d", request, shard, epoch, version)
}

// Describe implements leafpb.LeafServer.
func (l *Leaf) Describe(context.Context, *leafpb.DescribeRequest) (*leafpb.DescribeReply, error) {
	return &leafpb.DescribeReply{Status: l.status(), Slots: uint32(l.options.Slots)}, nil
}

func (l *Leaf) status() *leafpb.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &leafpb.Status{
		Incarnation: l.incarnation, IndexVersions: slices.Clone(l.versions),
		InFlight: uint32(l.inFlight), Draining: l.faults.GetDraining(),
	}
}

// limitedListener counts, limits and delays the connections of a leaf.
type limitedListener struct {
	net.Listener
	leaf *Leaf
}

// Accept implements net.Listener.
func (c *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.leaf.adjustConnections(1) {
			return &delayedConn{Conn: conn, leaf: c.leaf, ready: time.Now().Add(c.leaf.options.ConnectTime)}, nil
		}
		_ = conn.Close()
	}
}

// adjustConnections adds delta to the number of open connections. It reports
// false, and adds nothing, if a new connection would exceed the limit.
func (l *Leaf) adjustConnections(delta int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delta > 0 && l.conns >= l.options.Connections {
		return false
	}
	l.conns += delta
	l.counters.MaxConnections = max(l.counters.MaxConnections, uint64(l.conns))
	return true
}

// delayedConn delays reads until the connection time has passed.
type delayedConn struct {
	net.Conn
	leaf   *Leaf
	ready  time.Time
	closed sync.Once
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.closed.Do(func() { c.leaf.adjustConnections(-1) })
	return c.Conn.Close()
}

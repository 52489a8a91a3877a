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

// LeafOptions describe one backend server.
type LeafOptions struct {
	Address string
	// Slots is how many requests run at a time; more are shed.
	Slots int
	// Connections is the most connections it takes at a time.
	Connections int
	// Service is the mean time that a request takes.
	Service time.Duration
	// Connect is the time that a new connection takes.
	Connect  time.Duration
	Versions []uint64
	Seed     uint64
	// Record keeps every execution for Control.Executions.
	Record bool
}

// Leaf is a backend server. It is safe for concurrent use.
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
	go func() { _ = server.Serve(&countedListener{Listener: lis, leaf: l}) }()
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

// SetFaults changes the faults.
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

// Execute implements the backend servers' edge.
func (l *Leaf) Execute(ctx context.Context, request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	refusal, took, err := l.begin(request)
	if err != nil {
		return nil, err
	}
	if refusal != leafpb.Refusal_KIND_UNSPECIFIED {
		return &leafpb.ExecuteReply{
			AttemptId: request.GetAttemptId(), Status: l.status(),
			Result: &leafpb.ExecuteReply_Refusal{Refusal: &leafpb.Refusal{Kind: refusal}},
		}, nil
	}
	defer l.end()
	if !l.work(ctx, took) {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if l.isPoison(request.GetQuery()) {
		go l.crash()
		<-ctx.Done() // The connection ends with the leaf.
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return l.answer(request)
}

func (l *Leaf) isPoison(query []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	poison := l.faults.GetPoison()
	return poison != "" && strings.HasPrefix(string(query), poison)
}

// crash ends the leaf with all that it runs, and starts it again after a while.
func (l *Leaf) crash() {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.GetDown() {
		return
	}
	down := proto.CloneOf(faults)
	down.Down = true
	_ = l.SetFaults(down) // Only a start can fail.
	time.Sleep(time.Duration(faults.GetPoisonDownMs()) * time.Millisecond)
	if err := l.SetFaults(faults); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// begin takes a slot and records the execution, or says why not.
func (l *Leaf) begin(request *leafpb.ExecuteRequest) (leafpb.Refusal_Kind, time.Duration, error) {
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
	if l.options.Record || request.GetNotRepeatable() {
		l.executions = append(l.executions, &platformpb.Execution{
			RequestId: request.GetRequestId(), Shard: request.GetShard(),
			Service: request.GetService(), NotRepeatable: request.GetNotRepeatable(),
		})
	}
	return leafpb.Refusal_KIND_UNSPECIFIED, l.serviceTime(), nil
}

// serviceTime is half fixed and half exponential, times the faults' factors.
func (l *Leaf) serviceTime() time.Duration {
	took := float64(l.options.Service) * (0.5 + 0.5*l.rng.ExpFloat64())
	if f := l.faults.GetSlowFactor(); f > 1 {
		took *= f
	}
	if time.Now().Before(l.coldUntil) {
		took *= coldFactor
	}
	return time.Duration(took)
}

// coldFactor is how much slower a cold leaf is.
const coldFactor = 4

// work takes the time of a request. It reports false if ctx ended before.
func (l *Leaf) work(ctx context.Context, took time.Duration) bool {
	l.mu.Lock()
	silent := l.faults.GetSilent()
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *Leaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// answer makes the part. Its row says from where and for whom it is.
func (l *Leaf) answer(request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
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

// Row is the row that a leaf answers with.
func Row(request, shard string, epoch, version uint64) string {
	return fmt.Sprintf("%s %s %d %d", request, shard, epoch, version)
}

// Describe implements the backend servers' edge.
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

// countedListener counts and caps connections and makes them take time.
type countedListener struct {
	net.Listener
	leaf *Leaf
}

// Accept implements net.Listener.
func (c *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.leaf.connected(1) {
			return &slowConn{Conn: conn, leaf: c.leaf, ready: time.Now().Add(c.leaf.options.Connect)}, nil
		}
		_ = conn.Close()
	}
}

// connected changes the number of connections, within the cap.
func (l *Leaf) connected(by int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by > 0 && l.conns >= l.options.Connections {
		return false
	}
	l.conns += by
	l.counters.MaxConnections = max(l.counters.MaxConnections, uint64(l.conns))
	return true
}

// slowConn delays its first read by the time a connection takes.
type slowConn struct {
	net.Conn
	leaf   *Leaf
	ready  time.Time
	closed sync.Once
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	c.closed.Do(func() { c.leaf.connected(-1) })
	return c.Conn.Close()
}

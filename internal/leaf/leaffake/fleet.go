// Package leaffake simulates a fleet of backend servers in memory, with fault
// injection, for tests. A request that was sent is delivered even if the sender has
// given up on it in the meantime.
package leaffake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mallowgap/mallowgap/api/leafpb"
	"github.com/mallowgap/mallowgap/internal/leaf"
)

// Faults are the faults injected into one leaf.
type Faults struct {
	// Down refuses connections. Requests in flight continue.
	Down bool
	// LoseReplies executes requests and returns an error instead of the reply.
	LoseReplies bool
	// Slow is added to the service time of each request.
	Slow time.Duration
	// Draining refuses new requests and reports in the status that it is draining.
	Draining bool
	// WrongVersion answers with the newest index version, whichever was requested.
	WrongVersion bool
	// DropRows omits the rows from parts but keeps the row count.
	DropRows bool
	// SwapReplies answers with the reply to the previous request.
	SwapReplies bool
	// FailFast answers every request with an error, without executing it.
	FailFast bool
	// Silent executes requests and never replies; the connection is lost later.
	Silent bool
}

var errLost = errors.New("connection lost")

// Execution is an execution of a request by a leaf.
type Execution struct {
	Request, Attempt, Address string
	At                        time.Time
}

type server struct {
	faults      Faults
	versions    []uint64
	incarnation uint64
	inFlight    int
	lastReply   *leafpb.ExecuteReply
	// arrivals are the arrival times of requests, including refused ones.
	arrivals []time.Time
}

// Fleet is a set of leaves. It is safe for concurrent use.
type Fleet struct {
	// Slots is the number of concurrent requests that each leaf accepts.
	Slots int
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration
	// Delay is the one-way network latency.
	Delay time.Duration
	// BeforeSend is called before an attempt is sent. It may block, and returns false if
	// the sending host is dead, so that the attempt is not sent.
	BeforeSend func(attempt string) bool

	mu          sync.Mutex
	servers     map[string]*server
	executions  []Execution
	maxInFlight int
}

// New returns a fleet. A leaf is created when its address is first used.
func New(slots int, service, delay time.Duration) *Fleet {
	return &Fleet{
		Slots: slots, ServiceTime: service, Delay: delay,
		BeforeSend: func(string) bool { return true }, servers: map[string]*server{},
	}
}

func (f *Fleet) server(address string) *server {
	s := f.servers[address]
	if s == nil {
		s = &server{versions: []uint64{1}, incarnation: 1}
		f.servers[address] = s
	}
	return s
}

// SetFaults replaces the faults of a leaf.
func (f *Fleet) SetFaults(address string, faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server(address).faults = faults
}

// SetVersions replaces the index versions that a leaf holds, oldest first.
func (f *Fleet) SetVersions(address string, versions []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server(address).versions = slices.Clone(versions)
}

// Restart gives a leaf a new incarnation and clears its faults.
func (f *Fleet) Restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(address)
	s.incarnation++
	s.faults = Faults{}
}

// Executions returns the executions of all leaves.
func (f *Fleet) Executions() []Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.executions)
}

// Arrivals returns the arrival times of requests at a leaf, including refused ones.
func (f *Fleet) Arrivals(address string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.server(address).arrivals)
}

// MaxInFlight returns the maximum number of concurrent requests at any one leaf. A
// request refused because all slots were in use is counted as well.
func (f *Fleet) MaxInFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxInFlight
}

// result is the reply or error of a request.
type result struct {
	reply *leafpb.ExecuteReply
	err   error
}

// Execute implements leaf.Client.
func (f *Fleet) Execute(ctx context.Context, address string, request *leafpb.ExecuteRequest) (*leafpb.ExecuteReply, error) {
	if !f.BeforeSend(request.GetAttemptId()) {
		return nil, &leaf.NotSentError{Address: address, Err: errLost}
	}
	f.mu.Lock()
	down := f.server(address).faults.Down
	f.mu.Unlock()
	if down {
		return nil, &leaf.NotSentError{Address: address, Err: errors.New("connection refused")}
	}
	results := make(chan result, 1)
	go func() {
		time.Sleep(f.Delay)
		reply, err := f.deliver(request, address)
		time.Sleep(f.Delay)
		results <- result{reply: reply, err: err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-results:
		return r.reply, r.err
	}
}

// deliver executes a request at a leaf, or refuses it.
func (f *Fleet) deliver(request *leafpb.ExecuteRequest, address string) (*leafpb.ExecuteReply, error) {
	f.mu.Lock()
	s := f.server(address)
	s.arrivals = append(s.arrivals, time.Now())
	faults := s.faults
	if faults.FailFast {
		f.mu.Unlock()
		return nil, errors.New("internal error")
	}
	f.maxInFlight = max(f.maxInFlight, s.inFlight+1)
	if kind := f.refusal(s, request); kind != leafpb.Refusal_KIND_UNSPECIFIED {
		defer f.mu.Unlock()
		return &leafpb.ExecuteReply{
			AttemptId: request.GetAttemptId(), Status: s.status(),
			Result: &leafpb.ExecuteReply_Refusal{Refusal: &leafpb.Refusal{Kind: kind}},
		}, nil
	}
	s.inFlight++
	f.executions = append(f.executions, Execution{
		Request: request.GetRequestId(), Attempt: request.GetAttemptId(), Address: address, At: time.Now(),
	})
	f.mu.Unlock()
	time.Sleep(f.ServiceTime + faults.Slow)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.inFlight--
	return f.answer(s, request, faults)
}

func (f *Fleet) refusal(s *server, request *leafpb.ExecuteRequest) leafpb.Refusal_Kind {
	v := request.GetIndexVersion()
	switch {
	case s.faults.Draining:
		return leafpb.Refusal_DRAINING
	case s.inFlight >= f.Slots:
		return leafpb.Refusal_SHED
	case v != 0 && !s.faults.WrongVersion && !slices.Contains(s.versions, v):
		return leafpb.Refusal_VERSION_GONE
	default:
		return leafpb.Refusal_KIND_UNSPECIFIED
	}
}

func (f *Fleet) answer(s *server, request *leafpb.ExecuteRequest, faults Faults) (*leafpb.ExecuteReply, error) {
	newest := s.versions[len(s.versions)-1]
	version := request.GetIndexVersion()
	if version == 0 || faults.WrongVersion {
		version = newest
	}
	part := &leafpb.Part{
		Shard: request.GetShard(), Epoch: request.GetEpoch(), IndexVersion: version, RowCount: 1,
		Rows: [][]byte{[]byte(Row(request.GetRequestId(), request.GetShard(), request.GetEpoch(), version))},
	}
	if faults.DropRows {
		part.Rows = nil
	}
	reply := &leafpb.ExecuteReply{
		AttemptId: request.GetAttemptId(), Status: s.status(), Result: &leafpb.ExecuteReply_Part{Part: part},
	}
	previous := s.lastReply
	s.lastReply = reply
	switch {
	case faults.LoseReplies:
		return nil, errLost
	case faults.Silent:
		f.mu.Unlock()
		time.Sleep(silentDuration)
		f.mu.Lock()
		return nil, errLost
	case faults.SwapReplies && previous != nil:
		return previous, nil
	default:
		return reply, nil
	}
}

// silentDuration is how long a silent leaf holds a request before its connection is
// lost.
const silentDuration = 10 * time.Second

func (s *server) status() *leafpb.Status {
	return &leafpb.Status{
		Incarnation: s.incarnation, IndexVersions: slices.Clone(s.versions),
		InFlight: uint32(s.inFlight), Draining: s.faults.Draining,
	}
}

// Row returns the row with which a leaf answers a request. It identifies the request,
// the shard, its epoch and the index version.
func Row(request, shard string, epoch, version uint64) string {
	return fmt.Sprintf("%s %s %d %d", request, shard, epoch, version)
}

// Describe implements leaf.Client.
func (f *Fleet) Describe(_ context.Context, address string) (*leafpb.DescribeReply, error) {
	time.Sleep(2 * f.Delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(address)
	if s.faults.Down {
		return nil, errLost
	}
	return &leafpb.DescribeReply{Status: s.status(), Slots: uint32(f.Slots)}, nil
}

// CloseConn implements leaf.Client.
func (f *Fleet) CloseConn(string) {}

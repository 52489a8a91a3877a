package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcerr"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/quota"
)

// fleet is a set of hosts that reach each other in memory, in fake time.
type fleet struct {
	ctx       context.Context
	bound     *quota.Bound
	mu        sync.Mutex
	state     State
	hosts     map[string]*host
	suspected map[string]bool
}

// host is one host of a fleet with a scripted meter and ledger.
type host struct {
	*Coordination
	meter  *fakeMeter
	ledger *fakeLedger
	stop   context.CancelFunc
	// old is set if the host does not know the method; opened counts the streams to it.
	old    bool
	opened atomic.Int64
	// frozen is closed when the host is thawed; nil if it is not frozen.
	frozen atomic.Pointer[chan struct{}]
}

// withFleet runs a test with n hosts, each in a failure domain of its own, in fake time.
func withFleet(t *testing.T, n int, run func(f *fleet)) { withQuotas(t, n, nil, run) }

// withQuotas runs a test with n hosts that have real meters and ledgers if there is a bound.
func withQuotas(t *testing.T, n int, bound *quota.Bound, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{bound: bound, ctx: t.Context(), hosts: map[string]*host{}, suspected: map[string]bool{}}
		f.state = State{Enabled: true, Hosts: n, Limit: func(string) quota.Limit { return testLimit }}
		for i := range n {
			f.state.Candidates = append(f.state.Candidates, Host{Name: fmt.Sprint("h", i), Address: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i)})
		}
		f.state.Candidates = Order(f.state.Candidates)
		for _, h := range f.state.Candidates {
			f.start(h, false)
		}
		defer func() {
			for _, h := range f.hosts {
				h.stop()
			}
		}()
		time.Sleep(time.Second)
		run(f)
	})
}

// poison is the name of a team that makes the fake meter and ledger panic.
const poison = "poison"

// testLimit is the limit of every team.
var testLimit = quota.Limit{PerSecond: 10, Burst: 10}

// start starts a host. old is set if it does not know the method.
func (f *fleet) start(self Host, old bool) *host {
	ctx, stop := context.WithCancel(f.ctx)
	h := &host{old: old, meter: &fakeMeter{}, ledger: &fakeLedger{hosts: map[string]int{}}, stop: stop}
	config := Config{
		Host: self.Name, State: f.current, Peers: &client{f}, Meter: h.meter, Ledger: h.ledger, Log: zerolog.Nop(),
		Suspected: func(address string) bool { return f.isSuspected(address) },
		Suspect:   func(address string, _ time.Time) { f.suspect(address) },
	}
	if f.bound != nil {
		config.Meter, config.Ledger = quota.NewMeter(*f.bound), quota.NewLedger(*f.bound)
	}
	h.Coordination = New(config)
	f.mu.Lock()
	f.hosts[self.Address] = h
	f.mu.Unlock()
	h.Start(ctx)
	return h
}

func (f *fleet) current() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fleet) isSuspected(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspected[address]
}

func (f *fleet) suspect(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspected[address] = true
}

// suspects returns the number of suspected hosts.
func (f *fleet) suspects() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.suspected)
}

// at returns the host with a position in the order.
func (f *fleet) at(i int) *host { return f.find(f.state.Candidates[i].Address) }

// setEnabled sets whether there is something to coordinate.
func (f *fleet) setEnabled(enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Enabled = enabled
}

// kill ends a host's process: its streams are closed and nothing listens any more.
func (f *fleet) kill(h *host) {
	f.mu.Lock()
	for address, other := range f.hosts {
		if other == h {
			delete(f.hosts, address)
		}
	}
	f.mu.Unlock()
	h.stop()
}

func (f *fleet) find(address string) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[address]
}

// freeze stops all messages from and to a host until thaw.
func (h *host) freeze() {
	c := make(chan struct{})
	h.frozen.Store(&c)
}

func (h *host) awaitThaw() {
	if c := h.frozen.Load(); c != nil {
		<-*c
	}
}

func (h *host) thaw() { close(*h.frozen.Swap(nil)) }

// client connects one host with the others.
type client struct{ fleet *fleet }

func (c *client) Coordinate(ctx context.Context, address string, run func(peer.CoordinateStream) error) error {
	to := c.fleet.find(address)
	if to == nil {
		return &peer.UnreachableError{Address: address, Err: errors.New("connection refused")}
	}
	to.opened.Add(1)
	if to.old {
		return drpcerr.WithCode(errors.New("unknown rpc"), drpcerr.Unimplemented)
	}
	return Connect(ctx, func(s ServerStream) error { return to.Serve(&icyServer{s, to}) }, run)
}

func (c *client) CloseIdle(string) {}

// icyServer is the coordinator's end of a stream, which holds messages while the host is frozen.
type icyServer struct {
	ServerStream
	host *host
}

func (s *icyServer) Send(m *relaypb.CoordinateVerdict) error {
	s.host.awaitThaw()
	return s.ServerStream.Send(m)
}

func (s *icyServer) Recv() (*relaypb.CoordinateReport, error) {
	m, err := s.ServerStream.Recv()
	s.host.awaitThaw()
	return m, err
}

// fakeMeter asks for every request, and refuses those without an answer.
type fakeMeter struct {
	granted, returned atomic.Int64
	metered           atomic.Pointer[[]string]
}

func (m *fakeMeter) SetHosts(int, int) {}
func (m *fakeMeter) Take(string, quota.Limit, time.Time) quota.Decision {
	return quota.Decision{Action: quota.AskFirst}
}
func (m *fakeMeter) Granted(_ string, n int, _ time.Time) { m.granted.Add(int64(n)) }
func (m *fakeMeter) Return(string, time.Time)             { m.returned.Add(1) }
func (m *fakeMeter) Unanswered(string, quota.Limit, time.Time) quota.Decision {
	return quota.Decision{Action: quota.Refuse, RetryAfter: time.Second}
}
func (m *fakeMeter) Connected(time.Time) []quota.Count {
	return []quota.Count{{Team: "t", Requests: 3, Age: time.Second}}
}
func (m *fakeMeter) Heard(metered []string, replace bool, _ time.Time) {
	if slices.Contains(metered, poison) {
		panic("a fault of the host")
	}
	if replace {
		m.metered.Store(&metered)
	}
}
func (m *fakeMeter) Disconnected(time.Time)         {}
func (m *fakeMeter) Report(time.Time) []quota.Count { return nil }

// fakeLedger grants what is left.
type fakeLedger struct {
	mu sync.Mutex
	// hosts counts the messages of each connected host; recent sums what they brought with them.
	hosts   map[string]int
	recent  int
	ended   []string
	left    int
	metered []string
	version uint64
}

func (l *fakeLedger) SetConfig(func(string) quota.Limit, int, time.Time) {}
func (l *fakeLedger) Join(host string, _ uint64, recent []quota.Count, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = 0
	for _, c := range recent {
		l.recent += c.Requests
	}
}
func (l *fakeLedger) Heard(host string, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host]++
}
func (l *fakeLedger) Left(host string, ended bool, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, host)
	if ended {
		l.ended = append(l.ended, host)
	}
}
func (l *fakeLedger) Admitted(string, []quota.Count, time.Time) {}
func (l *fakeLedger) Ask(_ string, ask quota.Ask, _ time.Time) quota.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ask.Team == poison {
		panic("a fault of the coordinator")
	}
	if l.left == 0 {
		return quota.Grant{RetryAfter: 1500 * time.Microsecond}
	}
	l.left--
	return quota.Grant{Granted: 1}
}
func (l *fakeLedger) Metered(time.Time) ([]string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.metered, l.version + 1
}
func (l *fakeLedger) Sweep(time.Time) {}

// connected returns the number of connected hosts.
func (l *fakeLedger) connected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts)
}

// gone returns the hosts whose processes have ended.
func (l *fakeLedger) gone() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ended)
}

func (l *fakeLedger) allow(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = n
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/api/operatorpb"
	"github.com/mallowgap/mallowgap/api/peerpb"
	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/drain"
	"github.com/mallowgap/mallowgap/internal/callerconn"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/platform"
	"github.com/mallowgap/mallowgap/internal/secure"
	"github.com/mallowgap/mallowgap/member"
	"github.com/mallowgap/mallowgap/once"
	"github.com/mallowgap/mallowgap/replica"
)

var (
	errStopped    = errors.New("the entry host has stopped or met a fault of its program: call another entry host")
	errWrongReply = errors.New("the home returned the reply to another request: check that all entry hosts run the same version")
)

// ErrRequestsAborted is returned by Run if a graceful shutdown cut off requests.
var ErrRequestsAborted = errors.New("requests were cut off: raise drain_timeout in [shutdown]")

const (
	// httpShutdownTimeout bounds the wait for open HTTP connections at the end of a stop.
	httpShutdownTimeout = 2 * time.Second
	// httpHeaderTimeout and httpReadTimeout limit the time to read the head of a request for health, readiness
	// or metrics, and all of it; maxHTTPHead limits the head in bytes.
	httpHeaderTimeout = 5 * time.Second
	httpReadTimeout   = 30 * time.Second
	maxHTTPHead       = 8 << 10
	// defaultMessageMemory is the memory for unfinished messages of callers, in bytes, if that of the host is not set.
	defaultMessageMemory = 16 << 20
	// evictionLinesPerSecond limits the log lines of one process about connections that were closed to make room.
	evictionLinesPerSecond = 5
)

// Dependencies holds the external dependencies of a daemon.
type Dependencies struct {
	Store  platform.Store
	Hosts  platform.HostList
	Leaves leaf.Client
	Peers  peer.Client
	// Identity is nil if TLS is disabled.
	Identity *secure.Identity
}

// Daemon is an entry host: it routes requests to the homes of their services and is
// itself the home of some.
type Daemon struct {
	name        string
	incarnation uint64
	settings    *settingspb.Entry
	log         zerolog.Logger
	// panicLog gets a line for each recovered panic.
	panicLog zerolog.Logger
	store    platform.Store
	hosts    platform.HostList
	leaves   leaf.Client
	peers    peer.Client
	identity *secure.Identity

	control *control
	ledger  *once.Ledger
	// homes caches the home of each service by name, as *home.Service.
	homes       sync.Map
	inFlight    requestCounter
	lastReplies replyTimes
	// ctx is the context of Start; background work ends with it.
	ctx context.Context
}

// New returns a daemon; Start must be called before it serves. incarnation must
// increase with each start of the host.
func New(settings *settingspb.Entry, dependencies Dependencies, incarnation uint64, log zerolog.Logger) *Daemon {
	d := &Daemon{
		name:        settings.GetHost().GetName(),
		incarnation: incarnation,
		settings:    settings,
		log:         log,
		panicLog:    obs.RateLimited(log, panicLinesPerSecond),
		store:       dependencies.Store,
		hosts:       dependencies.Hosts,
		leaves:      dependencies.Leaves,
		peers:       dependencies.Peers,
		identity:    dependencies.Identity,
		ledger:      once.NewLedger(settings.GetHost().GetName(), incarnation),
	}
	self := member.Fact{
		Host: d.name, Address: settings.GetListen().GetPeers(),
		Domain: settings.GetHost().GetFailureDomain(), Incarnation: incarnation,
	}
	d.control = newControl(self, settings.GetMembership().GetSuspicion().AsDuration(), log)
	d.control.panicLog = d.panicLog
	d.control.newService = d.newService
	d.control.onConfigChange = func() { go d.pushUpdates(d.ctx) }
	return d
}

// newService returns the home of a service, configured from the traffic settings.
func (d *Daemon) newService(name string) *home.Service {
	traffic := d.settings.GetTraffic()
	order, selection := admission.ByClass, replica.Observed
	if traffic.GetOrder() == "fifo" {
		order = admission.FIFO
	}
	if traffic.GetSelection() == "random" {
		selection = replica.Random
	}
	return home.NewService(name, d.leaves, home.Options{
		Queue:            admission.Settings{Order: order, Length: int(traffic.GetQueueLength()), FloorShare: traffic.GetFloorShare()},
		Selection:        selection,
		Hedging:          traffic.GetHedging(),
		HedgeQuantile:    traffic.GetHedgeQuantile(),
		RetryBudgetRatio: traffic.GetExtraShare(),
		AttemptIDPrefix:  fmt.Sprintf("%s/%d", d.name, d.incarnation),
		OnLeafLeaving: func(address string, incarnation uint64) {
			d.control.do(func() {
				d.control.addNotice(drain.Notice{Address: address, Incarnation: incarnation, TTL: drain.NoticeTTL}, "the leaf itself")
			})
			d.pushUpdates(d.ctx)
		},
		OnLeafRestarted: func(address string, incarnation uint64) {
			d.control.do(func() { d.control.learnRestarted(address, incarnation) })
		},
		Seed:     d.incarnation,
		PanicLog: d.panicLog,
	})
}

// Start starts the control loop and the background tasks. They stop when ctx ends.
func (d *Daemon) Start(ctx context.Context) {
	d.ctx = ctx
	go d.control.run(ctx)
	go d.bootstrap(ctx)
	go d.probeLoop(ctx)
	go d.watchStore(ctx)
	go d.pollHostList(ctx)
	go d.announceState(ctx, platformpb.HostState_LIVE)
}

// Ready reports whether this host accepts new requests.
func (d *Daemon) Ready() bool { return d.control.view().Ready }

// View returns the current control state.
func (d *Daemon) View() *View { return d.control.view() }

// BeginStop begins a graceful shutdown: it announces the stop to the host list, the load
// balancer (by Ready) and the members, and other hosts take over this host's services
// and roles. Requests that still arrive are served.
func (d *Daemon) BeginStop(ctx context.Context) {
	d.control.do(func() {
		d.control.stopping = true
		d.control.dirty = true
		d.control.members.Leave()
	})
	d.pushUpdates(ctx)
	go d.announceState(ctx, platformpb.HostState_HOST_LEAVING)
}

// WaitDrained waits until no request is in flight. If ctx ends first, it returns the number
// of requests that still are.
func (d *Daemon) WaitDrained(ctx context.Context) int {
	for {
		n := d.inFlight.Count()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Run serves on the configured listeners until stop is closed and then performs a
// graceful shutdown. It returns ErrRequestsAborted if requests were cut off.
func (d *Daemon) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.Start(ctx)
	s.serve()
	d.log.Info().Msg("entry host started")
	<-stop
	d.log.Info().Msg("planned stop begins")
	d.BeginStop(ctx)
	time.Sleep(d.settings.GetShutdown().GetBalancerLag().AsDuration())
	return d.finish(s)
}

// finish stops accepting calls, waits up to the drain timeout for requests in flight
// and closes the servers.
func (d *Daemon) finish(s *servers) error {
	timeout := d.settings.GetShutdown().GetDrainTimeout().AsDuration()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		s.callerServer.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
	}
	cutOff := d.WaitDrained(ctx)
	s.close()
	d.log.Info().Int("cut", cutOff).Msg("planned stop ended")
	if cutOff > 0 {
		return fmt.Errorf("%w (%d)", ErrRequestsAborted, cutOff)
	}
	return nil
}

// servers holds the servers of an entry host and their listeners.
type servers struct {
	callerServer   *grpc.Server
	callerListener net.Listener
	peerListener   net.Listener
	peerServer     *drpcserver.Server
	httpServer     *http.Server
	httpListener   net.Listener
	ctx            context.Context
	stopPeers      context.CancelFunc
	log            zerolog.Logger
}

// listen opens the listeners and registers the services, without serving yet.
func (d *Daemon) listen(ctx context.Context) (*servers, error) {
	s := &servers{log: d.log}
	var err error
	if s.callerListener, err = callerconn.ListenTCP(ctx, d.settings.GetListen().GetCallers()); err != nil {
		return nil, listenError("callers", err)
	}
	for _, l := range []struct {
		target  *net.Listener
		address string
		key     string
	}{
		{&s.peerListener, d.settings.GetListen().GetPeers(), "peers"},
		{&s.httpListener, d.settings.GetListen().GetHttp(), "http"},
	} {
		if *l.target, err = net.Listen("tcp", l.address); err != nil {
			return nil, listenError(l.key, err)
		}
	}
	messages := d.newMessages()
	s.callerListener = messages.Listen(s.callerListener)
	s.peerListener = d.identity.Listener(s.peerListener, true)
	s.httpListener = d.identity.Listener(s.httpListener, false)
	s.callerServer = grpc.NewServer(
		grpc.Creds(d.identity.ServerCredentials()),
		grpc.MaxRecvMsgSize(int(d.settings.GetListen().GetMaxMessageBytes())),
		grpc.StatsHandler(callWatcher{messages}),
		grpc.UnaryInterceptor(d.recoverUnary),
		grpc.StreamInterceptor(d.recoverStream),
	)
	callerpb.RegisterQueryServer(s.callerServer, queryServer{Daemon: d})
	operatorpb.RegisterOperatorServer(s.callerServer, d.Operators())
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, d); err != nil {
		return nil, fmt.Errorf("register the peer protocol: %w", err)
	}
	s.peerServer = peer.NewServer(recoveringHandler{handler: mux, daemon: d})
	s.ctx, s.stopPeers = context.WithCancel(ctx)
	s.httpServer = &http.Server{Handler: d.httpHandler(), ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpReadTimeout, MaxHeaderBytes: maxHTTPHead}
	return s, nil
}

// listenError returns the error of a listener, which a key of the settings names.
func listenError(key string, err error) error {
	return fmt.Errorf("[listen] %s: %w: choose a free address of this host", key, err)
}

// newMessages returns the limit of the messages of callers.
func (d *Daemon) newMessages() *callerconn.Messages {
	lines := obs.RateLimited(d.log, evictionLinesPerSecond)
	memory := int64(defaultMessageMemory)
	if set := d.settings.GetHost().GetMemoryMb(); set > 0 {
		memory = int64(set) << 20 / callerconn.MemoryDivisor
	}
	return callerconn.NewMessages(memory, func(r callerconn.Refusal) {
		lines.Info().Str("reason", r.Reason.String()).Str("caller", r.Caller.String()).Int64("held", r.Held).Dur("age", r.Age).Msg("connection of a caller closed to make room for others")
	})
}

func (s *servers) serve() {
	go func() { _ = s.callerServer.Serve(s.callerListener) }()
	go func() { _ = s.peerServer.Serve(s.ctx, s.peerListener) }()
	go func() { _ = s.httpServer.Serve(s.httpListener) }()
}

func (s *servers) close() {
	s.callerServer.Stop()
	s.stopPeers()
	_ = s.peerListener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	_ = s.httpServer.Shutdown(ctx)
}

// queryServer implements the Query service for desks.
type queryServer struct {
	callerpb.UnimplementedQueryServer
	*Daemon
}

// Ask implements callerpb.QueryServer.
func (s queryServer) Ask(ctx context.Context, req *callerpb.AskRequest) (*callerpb.AskReply, error) {
	return s.Daemon.Ask(ctx, req)
}

// requestCounter counts the requests in flight. It is safe for concurrent use.
type requestCounter struct {
	mu sync.Mutex
	n  int
}

// Add adds n to the count.
func (r *requestCounter) Add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n += n
}

// Done subtracts one from the count.
func (r *requestCounter) Done() { r.Add(-1) }

// Count returns the number of requests in flight.
func (r *requestCounter) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

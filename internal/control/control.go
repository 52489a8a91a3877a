package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/suspend"
	"github.com/mallowgap/mallowgap/limit"
)

// Config holds the dependencies and settings of a Control.
type Config struct {
	// Self is the store entry of this host.
	Self     *relaypb.Host
	Settings *settingspb.GatewayStoreSection
	// Seeds are addresses of hosts to ask while no other host is known.
	Seeds []string
	// RelaysPerDomain is the number of hosts in each failure domain that call the servers
	// there.
	RelaysPerDomain int
	// ColdBound limits the requests to a cold server. Its PerSecond is replaced by the setting of
	// the server's service.
	ColdBound limit.ColdBound
	Store     Store
	Peers     PeerClient
	Listener  Listener
	// Suspended returns how long the machine has been suspended since boot. It defaults to
	// suspend.Total.
	Suspended func() time.Duration
	Log       zerolog.Logger
}

// Control keeps one host in sync with the store and its peers.
type Control struct {
	name      string
	self      *relaypb.Host
	settings  *settingspb.GatewayStoreSection
	seeds     []string
	store     Store
	peers     PeerClient
	log       zerolog.Logger
	health    *PeerHealth
	state     *state
	announcer *announcer
	records   *recorder
	// relayRecords sends quarantine records to relays while the store is unreachable.
	relayRecords    *recorder
	relaysPerDomain int
	packer          entryPacker
	rereads         *metrics.Counter
	// suspended returns how long the machine has been suspended since boot; resumed receives
	// a value after each suspension.
	suspended func() time.Duration
	resumed   chan struct{}

	// The fields down to cooldownUntil belong to the goroutine of followStore. loaded reports
	// whether a complete state has been received; receivedRevision is the revision up to which
	// changes have been received.
	loaded           bool
	receivedRevision uint64
	// leaderFailures counts consecutive leaders that failed.
	leaderFailures int
	// discovered is set when discoverLeader has begun, which runs only once.
	discovered bool
	// cooldownUntil is the time until which a host, by address, is not chosen as leader.
	cooldownUntil map[string]time.Time

	// preferred is the address of a host that reaches the store while others do not;
	// preferredChanged receives a value when it changes.
	preferred        atomic.Pointer[string]
	preferredChanged chan struct{}

	// departed is the address of the follower that left last while this host had lost the store;
	// followerDeparted receives a value when one leaves.
	departed         atomic.Pointer[string]
	followerDeparted chan struct{}

	// uninformedPeer is set when another host has answered that it knows no state either.
	uninformedPeer atomic.Bool

	tasks sync.WaitGroup
	// leave is closed when a graceful shutdown begins.
	leave     chan struct{}
	leaveOnce sync.Once
}

// New returns a Control. Call Start to run it.
func New(config Config) *Control {
	c := &Control{
		name: config.Self.GetName(), self: config.Self, settings: config.Settings, seeds: config.Seeds,
		store: config.Store, peers: config.Peers, log: config.Log, health: newPeerHealth(),
		state:            newState(config.Store, config.Listener, hostFromEntry(config.Self), config.Settings.GetServerHeartbeat().AsDuration(), config.RelaysPerDomain, config.Log),
		rereads:          metrics.GetOrCreateCounter("mallowgap_store_rereads_total"),
		cooldownUntil:    map[string]time.Time{},
		preferredChanged: make(chan struct{}, 1),
		followerDeparted: make(chan struct{}, 1),
		leave:            make(chan struct{}),
		resumed:          make(chan struct{}, 1), suspended: config.Suspended,
	}
	if c.suspended == nil {
		c.suspended = suspend.Total
	}
	c.state.coldBound = config.ColdBound
	c.announcer = newAnnouncer(c, config.Settings.GetLease().AsDuration())
	c.relaysPerDomain = config.RelaysPerDomain
	count := func() int { return c.View().HostCount }
	c.records = newRecorder(c.writeRecords, config.Log, count)
	c.relayRecords = newRecorder(c.sendRecordsToRelays, config.Log, count)
	return c
}

// Start starts the goroutines of the Control. They run until ctx is done.
func (c *Control) Start(ctx context.Context) {
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	go func() {
		defer stopAnnouncing()
		select {
		case <-c.leave:
		case <-ctx.Done():
		}
	}()
	go c.state.run(ctx)
	c.spawn(func() { c.followStore(ctx) })
	c.spawn(func() { c.pollPeers(ctx) })
	c.spawn(func() { c.seekLeader(ctx) })
	c.spawn(func() { c.probePeers(ctx) })
	c.spawn(func() { c.announcer.run(announceCtx) })
	c.spawn(func() { c.records.run(ctx) })
	c.spawn(func() { c.relayRecords.run(ctx) })
	c.spawn(func() { c.detectSuspensions(ctx) })
}

// spawn runs a task in a goroutine that Wait waits for.
func (c *Control) spawn(run func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		run()
	}()
}

// View returns the current published state.
func (c *Control) View() *View { return c.state.view() }

// StoreAge returns the time since the store was last heard, by this host or by one that it hears from,
// and false if it never was.
func (c *Control) StoreAge(now time.Time) (time.Duration, bool) {
	last := c.state.lastHeard.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(*last), true
}

// Initialized returns a channel that is closed once the configuration and the servers are known.
func (c *Control) Initialized() <-chan struct{} { return c.state.initialized }

// FleetStarting reports whether neither this host nor another one that it asked knows the
// configuration yet, as after the loss of all hosts during an outage of the store.
func (c *Control) FleetStarting() bool { return !c.View().Initialized && c.uninformedPeer.Load() }

// Health returns the tracker of unresponsive peers.
func (c *Control) Health() *PeerHealth { return c.health }

// BeginStop begins a graceful shutdown: the host stops being ready and its entry is removed from
// the store.
func (c *Control) BeginStop(ctx context.Context) {
	c.state.do(ctx, func() {
		c.state.stopping = true
		c.state.publish(time.Now())
	})
	c.leaveOnce.Do(func() { close(c.leave) })
}

// Wait waits for the tasks of Start, which run until its context is done.
func (c *Control) Wait() { c.tasks.Wait() }

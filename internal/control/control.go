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

// Config is what a Control is made of.
type Config struct {
	// Self is the entry of this host.
	Self     *relaypb.Host
	Settings *settingspb.GatewayStoreSection
	// Seeds are addresses of hosts that may be asked before any is known.
	Seeds []string
	// RelaysPerDomain is the number of hosts of a failure domain that call its servers.
	RelaysPerDomain int
	// Cold is what a cold server takes, but for what its service says of it.
	Cold     limit.ColdBound
	Store    Store
	Peers    Peers
	Listener Listener
	// Suspended tells for how long the machine has been suspended since it started; nil is
	// suspend.Total.
	Suspended func() time.Duration
	Log       zerolog.Logger
}

// Control follows the store and the peers of one host.
type Control struct {
	name     string
	self     *relaypb.Host
	settings *settingspb.GatewayStoreSection
	seeds    []string
	store    Store
	peers    Peers
	log      zerolog.Logger
	health   *PeerHealth
	state    *state
	announce *announcer
	records  *recorder
	// word tells peers what records write, while the store is away.
	word            *recorder
	relaysPerDomain int
	packer          entryPacker
	rereads         *metrics.Counter
	// suspended tells for how long the machine has been suspended; awake has a value when it
	// has woken.
	suspended func() time.Duration
	awake     chan struct{}

	// loaded, followed and heldOff belong to the goroutine that follows the store.
	loaded   bool
	followed uint64
	// leaderFailures counts the hosts in a row that could not be followed.
	leaderFailures int
	// introduced tells that peers were asked for others after the first reading.
	introduced bool
	// heldOff tells until when a host, by its address, is not followed.
	heldOff map[string]time.Time

	// preferred is the address of a host that reaches the store while others do not;
	// better has a value when it changes.
	preferred atomic.Pointer[string]
	better    chan struct{}

	duties sync.WaitGroup
	// leave is closed when a planned stop begins.
	leave     chan struct{}
	leaveOnce sync.Once
}

// New returns a Control; Start must follow.
func New(config Config) *Control {
	c := &Control{
		name: config.Self.GetName(), self: config.Self, settings: config.Settings, seeds: config.Seeds,
		store: config.Store, peers: config.Peers, log: config.Log, health: newPeerHealth(),
		state:   newState(config.Store, config.Listener, hostOf(config.Self), config.RelaysPerDomain, config.Log),
		rereads: metrics.GetOrCreateCounter("mallowgap_store_rereads_total"),
		heldOff: map[string]time.Time{},
		better:  make(chan struct{}, 1),
		leave:   make(chan struct{}),
		awake:   make(chan struct{}, 1), suspended: config.Suspended,
	}
	if c.suspended == nil {
		c.suspended = suspend.Total
	}
	c.state.cold = config.Cold
	c.announce = newAnnouncer(c, config.Settings.GetLease().AsDuration())
	c.relaysPerDomain = config.RelaysPerDomain
	count := func() int { return c.View().Count }
	c.records = newRecorder(c.writeRecords, config.Log, count)
	c.word = newRecorder(c.tellPeers, config.Log, count)
	return c
}

// Start starts the control goroutine and the duties. They end with ctx.
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
	c.duty(func() { c.followStore(ctx) })
	c.duty(func() { c.followPeers(ctx) })
	c.duty(func() { c.probePeers(ctx) })
	c.duty(func() { c.announce.run(announceCtx) })
	c.duty(func() { c.records.run(ctx) })
	c.duty(func() { c.word.run(ctx) })
	c.duty(func() { c.watchClock(ctx) })
}

func (c *Control) duty(run func()) {
	c.duties.Add(1)
	go func() {
		defer c.duties.Done()
		run()
	}()
}

// View returns the published state.
func (c *Control) View() *View { return c.state.view() }

// Known is closed once the configuration and the servers are known.
func (c *Control) Known() <-chan struct{} { return c.state.started }

// Health tells which peers answer.
func (c *Control) Health() *PeerHealth { return c.health }

// Leave begins a planned stop: the host is no longer ready, and peers no longer
// find it.
func (c *Control) Leave(ctx context.Context) {
	c.state.do(ctx, func() {
		c.state.stopping = true
		c.state.publish(time.Now())
	})
	c.leaveOnce.Do(func() { close(c.leave) })
}

// Wait waits for the duties, which end with the context of Start.
func (c *Control) Wait() { c.duties.Wait() }

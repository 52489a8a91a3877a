package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/configpb"
	"github.com/mallowgap/mallowgap/config"
	"github.com/mallowgap/mallowgap/drain"
	"github.com/mallowgap/mallowgap/internal/home"
	"github.com/mallowgap/mallowgap/member"
)

// sweepInterval is how often expired suspicions and notices of leaving servers are removed.
const sweepInterval = 100 * time.Millisecond

// control owns the control state. Its methods must run in the control loop, except
// view, do and homeOf.
type control struct {
	log zerolog.Logger
	// panicLog gets a line for each recovered panic.
	panicLog zerolog.Logger
	commands chan func()
	stopped  chan struct{}
	current  atomic.Pointer[View]

	members    *member.Table
	holder     *config.Holder
	draining   *drain.Registry
	services   map[string]*home.Service
	newService func(name string) *home.Service
	// onConfigChange is called after a new configuration was applied. It must not
	// block.
	onConfigChange func()

	// synced is set once this host knows the current configuration and the members.
	synced   bool
	stopping bool
	// dirty forces a publish after the running command.
	dirty bool
	// publishedVersion is the version of the member table in the current View.
	publishedVersion uint64
	// placements were computed for placementsVersion of the member table and
	// placementsRevision of the configuration.
	placements         map[string]*Placement
	placementsVersion  uint64
	placementsRevision uint64
}

func newControl(self member.Fact, suspicion time.Duration, log zerolog.Logger) *control {
	c := &control{
		log:            log,
		commands:       make(chan func(), 64),
		stopped:        make(chan struct{}),
		members:        member.NewTable(self, member.Settings{SuspicionTimeout: suspicion}, rand.New(rand.NewPCG(self.Incarnation, 1))),
		holder:         config.NewHolder(),
		draining:       drain.NewRegistry(),
		services:       map[string]*home.Service{},
		onConfigChange: func() {},
	}
	c.publish()
	return c
}

// view returns the current View.
func (c *control) view() *View { return c.current.Load() }

// do runs fn in the control loop and waits for it. It returns false if fn panicked
// or the loop has ended.
func (c *control) do(fn func()) bool {
	completed, done := false, make(chan struct{})
	select {
	case c.commands <- func() {
		defer close(done)
		fn()
		completed = true
	}:
	case <-c.stopped:
		return false
	}
	select {
	case <-done:
		return completed
	case <-c.stopped:
		return false
	}
}

// run is the control loop. It ends with ctx.
func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-c.commands:
			c.recoverPanic("command of the control loop", fn)
		case <-ticker.C:
			c.recoverPanic("sweep", func() { c.sweep(time.Now()) })
		}
		if c.dirty || c.members.Version() != c.publishedVersion {
			c.recoverPanic("publication of the view", c.publish)
		}
	}
}

// recoverPanic runs fn and recovers from a panic, which would end the process.
func (c *control) recoverPanic(work string, fn func()) {
	_ = home.RecoverPanic(&c.panicLog, work, "", fn)
}

func (c *control) sweep(now time.Time) {
	for _, dead := range c.members.Tick(now) {
		c.log.Info().Str("member", dead.Host).Msg("member is dead")
	}
	if c.draining.Expire(now) {
		c.dirty = true
	}
}

// publish replaces the View with one of the current state and reconfigures the homes.
func (c *control) publish() {
	c.dirty = false
	c.publishedVersion = c.members.Version()
	conf := c.holder.Config()
	v := &View{
		Revision:      c.holder.Revision(),
		Self:          c.members.Self(),
		Members:       c.members.Members(),
		Synced:        c.synced,
		Ready:         c.synced && c.holder.Revision() > 0 && !c.stopping,
		Stopping:      c.stopping,
		services:      c.currentPlacements(conf),
		ranks:         deskRanks(conf),
		leavingLeaves: map[string]uint64{},
	}
	for _, notice := range c.draining.All(time.Now()) {
		v.leavingLeaves[notice.Address] = notice.Incarnation
	}
	previous := c.current.Swap(v)
	if previous != nil && previous.Ready != v.Ready {
		c.log.Info().Bool("ready", v.Ready).Uint64("revision", v.Revision).Msg("readiness changed")
	}
	c.configureHomes(v)
}

// currentPlacements returns the placements, computed again if the members or the
// configuration changed.
func (c *control) currentPlacements(conf *configpb.Config) map[string]*Placement {
	if c.placements == nil || c.placementsVersion != c.members.Version() || c.placementsRevision != conf.GetRevision() {
		c.placements = placeServices(conf, c.members.Members(), c.members.Self().Host)
		c.placementsVersion = c.members.Version()
		c.placementsRevision = conf.GetRevision()
	}
	return c.placements
}

// configureHomes configures the homes at this host, including those of services that
// have moved away and may still have queries.
func (c *control) configureHomes(v *View) {
	for name, p := range v.services {
		if p.Index < 0 && c.services[name] == nil {
			continue
		}
		c.service(name).Configure(p.Spec, p.slotShare(), v.LeavingLeaf)
	}
}

// service returns the home of a service at this host and creates it if needed.
func (c *control) service(name string) *home.Service {
	s := c.services[name]
	if s == nil {
		s = c.newService(name)
		c.services[name] = s
		c.log.Info().Str("service", name).Msg("serving as home of service")
	}
	return s
}

// homeOf returns the configured home of a service at this host, created if needed. It
// returns false if the service is not in the configuration, the loop has ended or its creation panicked.
func (c *control) homeOf(name string) (*home.Service, bool) {
	var s *home.Service
	completed := c.do(func() {
		p, ok := c.view().Service(name)
		if !ok {
			return
		}
		created := c.services[name] == nil
		s = c.service(name)
		if created {
			s.Configure(p.Spec, p.slotShare(), c.view().LeavingLeaf)
		}
	})
	return s, completed && s != nil
}

// applyConfig applies a configuration if it is newer than the current one.
func (c *control) applyConfig(head *configpb.Head, parts config.Parts) error {
	applied, err := c.holder.Install(head, parts)
	if err != nil {
		return err
	}
	if applied {
		c.log.Info().Uint64("revision", head.GetRevision()).Msg("configuration in force")
		c.dirty = true
		c.onConfigChange()
	}
	return nil
}

// addNotice records that a leaf is leaving.
func (c *control) addNotice(notice drain.Notice, source string) {
	if c.draining.Add(notice, time.Now()) {
		c.log.Info().Str("leaf", notice.Address).Str("from", source).Msg("leaf is leaving")
		c.dirty = true
	}
}

// learnRestarted records that a leaf runs as the given incarnation and is not leaving.
func (c *control) learnRestarted(address string, incarnation uint64) {
	if c.draining.Started(address, incarnation) {
		c.log.Info().Str("leaf", address).Msg("leaf has restarted")
		c.dirty = true
	}
}

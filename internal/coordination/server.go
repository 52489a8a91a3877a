package coordination

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// heartbeatInterval is the interval at which both ends of a stream send a message when there is
	// no news.
	heartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is the time without a message after which the other end has failed.
	silenceTimeout = 3 * heartbeatInterval
	// verdictInterval is the minimum time between verdicts on admission, and between reports
	// without an ask. It is short against the time in which a queue at a server fills.
	verdictInterval = 50 * time.Millisecond
	// loadInterval is the minimum time between messages about the loads of servers.
	loadInterval = 100 * time.Millisecond
)

var (
	errStopping  = errors.New("this host is stopping: connect to the next candidate")
	errNotReady  = errors.New("this host does not know the fleet yet: connect to the next candidate")
	errNameless  = errors.New("the first report lacks the name of the host: set host")
	errReplaced  = errors.New("the host has opened another stream")
	errSilent    = errors.New("no message within the timeout")
	errLeft      = errors.New("the host is shutting down")
	errSuspended = errors.New("this machine was suspended: streams may be dead")
)

// server accounts for all hosts that are connected to this one. Its fields belong to the goroutine
// of run; others post functions to it.
type server struct {
	config Config
	log    zerolog.Logger
	posts  chan func(now time.Time)
	// stopped is closed when run returns.
	stopped  chan struct{}
	stopping bool
	links    map[string]*link

	lastTick time.Time
	hosts    int
	// loggedLinks is the number of links in the last log line about it.
	loggedLinks int
	metered     []string
	// meteredVersion is the version of metered; 0 while the ledger does not know it.
	meteredVersion uint64
	// verdictsDue is set if something was reported since the verdicts were computed; refusing, while
	// one refuses a share of the work.
	verdictsDue, refusing bool
	lastVerdicts          time.Time
	gates                 []*relaypb.GateVerdict
	// loadsDue is set while there may be loads to tell; lastLoads is when they were last computed.
	loadsDue  bool
	lastLoads time.Time
}

func newServer(config Config, log zerolog.Logger) *server {
	return &server{
		config: config, log: log, posts: make(chan func(time.Time)), stopped: make(chan struct{}), links: map[string]*link{},
	}
}

// run owns the state of the server until ctx is done.
func (s *server) run(ctx context.Context) {
	defer close(s.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var wakeup <-chan time.Time
		if len(s.links) > 0 {
			timer.Reset(max(time.Until(s.nextWakeup()), 0))
			wakeup = timer.C
		}
		select {
		case f := <-s.posts:
			now := time.Now()
			recoverPanic(s.log, "tick", func() { s.catchUp(now) })
			recoverPanic(s.log, "report of a host", func() { f(now) })
		case <-wakeup:
			recoverPanic(s.log, "tick", func() { s.catchUp(time.Now()) })
		case <-ctx.Done():
			s.dropAll(errStopping, time.Now())
			return
		}
		recoverPanic(s.log, "verdict", func() { s.push(time.Now()) })
	}
}

// post runs f on the goroutine of run, and reports whether it will run.
func (s *server) post(f func(now time.Time)) bool {
	select {
	case s.posts <- f:
		return true
	case <-s.stopped:
		return false
	}
}

// nextWakeup returns the time of the next tick, verdict or message about loads.
func (s *server) nextWakeup() time.Time {
	next := s.lastTick.Add(heartbeatInterval)
	if verdicts := s.lastVerdicts.Add(verdictInterval); (s.verdictsDue || s.refusing) && verdicts.Before(next) {
		next = verdicts
	}
	if loads := s.lastLoads.Add(loadInterval); s.loadsDue && loads.Before(next) {
		next = loads
	}
	return next
}

// catchUp ticks if a tick is due, before anything else is decided: after a pause of this process,
// the hosts that it heard before may have connected to another coordinator.
func (s *server) catchUp(now time.Time) {
	if now.Sub(s.lastTick) >= heartbeatInterval {
		s.tick(now)
	}
}

// tick applies the state in force, drops silent hosts and sends heartbeats.
func (s *server) tick(now time.Time) {
	s.lastTick = now
	state := s.config.State()
	s.hosts = state.Hosts
	s.config.Ledger.SetConfig(state.Limit, state.Hosts, now)
	for _, l := range s.links {
		if now.Sub(l.heard) >= silenceTimeout {
			s.drop(l, errSilent, now)
		}
	}
	s.config.Ledger.Sweep(now)
	for _, l := range s.links {
		l.offer(&relaypb.CoordinateVerdict{Gates: s.gates})
	}
	s.logLinks()
}

// logLinks logs a change of the number of connected hosts.
func (s *server) logLinks() {
	connectedHosts.Set(float64(len(s.links)))
	if len(s.links) == s.loggedLinks {
		return
	}
	s.loggedLinks = len(s.links)
	s.log.Info().Int("hosts", len(s.links)).Int("of", s.hosts).Float64("fraction", float64(len(s.links))/float64(max(s.hosts, 1))).Msg("this host coordinates")
}

// serve serves the stream of one host until it ends. It first sends an empty message, by which a host
// learns that this one coordinates before it leaves another.
func (s *server) serve(stream ServerStream) error {
	refused := make(chan error, 1)
	if !s.post(func(time.Time) { refused <- s.refusal() }) {
		return errStopping
	}
	if err := <-refused; err != nil {
		return err
	}
	if err := stream.Send(&relaypb.CoordinateVerdict{}); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	l := newLink(first.GetHost())
	if !s.post(func(now time.Time) { s.join(l, first, now) }) {
		return errStopping
	}
	go s.receive(l, stream)
	return l.send(stream)
}

// receive passes the reports of a host to the server until the stream ends.
func (s *server) receive(l *link, stream ServerStream) {
	for {
		report, err := stream.Recv()
		if err != nil {
			s.post(func(now time.Time) { s.drop(l, err, now) })
			return
		}
		if !s.post(func(now time.Time) { s.report(l, report, now) }) {
			return
		}
	}
}

// join adds the stream of a host.
func (s *server) join(l *link, first *relaypb.CoordinateReport, now time.Time) {
	err := s.refusal()
	if l.host == "" {
		err = errNameless
	}
	if err != nil {
		l.close(err)
		return
	}
	if old := s.links[l.host]; old != nil {
		old.close(errReplaced)
	}
	l.heard = now
	s.links[l.host] = l
	s.config.Ledger.Join(l.host, first.GetIncarnation(), countsFromWire(first.GetRecent()), now)
	l.offer(&relaypb.CoordinateVerdict{Metered: s.metered, HasMetered: s.meteredVersion > 0, Gates: s.gates, Loads: loadsToWire(s.config.Gates.CombinedLoads())})
	s.report(l, first, now)
}

// refusal returns why no host can join, or nil.
func (s *server) refusal() error {
	switch {
	case s.stopping:
		return errStopping
	case s.hosts == 0:
		return errNotReady
	}
	return nil
}

// report handles a report of a host.
func (s *server) report(l *link, m *relaypb.CoordinateReport, now time.Time) {
	if s.links[l.host] != l {
		return
	}
	l.heard = now
	s.config.Ledger.Heard(l.host, now)
	if counts := countsFromWire(m.GetAdmitted()); len(counts) > 0 {
		s.config.Ledger.Admitted(l.host, counts, now)
	}
	if len(m.GetAsks()) > 0 {
		l.offer(&relaypb.CoordinateVerdict{Grants: s.grant(l.host, m.GetAsks(), now)})
	}
	for service, offered := range offeredFromWire(m.GetOffered()) {
		s.config.Gates.Offered(l.host, service, offered, now)
		s.verdictsDue = true
	}
	if loads := loadsFromWire(m.GetLoads()); len(loads) > 0 {
		s.config.Gates.Loads(l.host, loads, now)
		s.verdictsDue, s.loadsDue = true, true
	}
	if m.GetLeaving() {
		s.drop(l, errLeft, now)
	}
}

func (s *server) grant(host string, asks []*relaypb.TeamAsk, now time.Time) []*relaypb.TeamGrant {
	grants := make([]*relaypb.TeamGrant, 0, len(asks))
	for _, a := range asks {
		g := s.config.Ledger.Ask(host, quota.Ask{
			Team: a.GetTeam(), Requests: clampCount(a.GetCount()), Patience: millis(a.GetPatienceMs()), Returning: a.GetReturning(), Late: a.GetLate(),
		}, now)
		grants = append(grants, &relaypb.TeamGrant{Id: a.GetId(), Granted: uint32(min(max(g.Granted, 0), maxCount)), RetryAfterMs: toMillis(g.RetryAfter)})
	}
	return grants
}

// drop removes the stream of a host.
func (s *server) drop(l *link, err error, now time.Time) {
	l.close(err)
	if s.links[l.host] != l {
		return
	}
	delete(s.links, l.host)
	// Its process may run on, or run again, as a host of another coordinator, also if it has left.
	s.config.Ledger.Left(l.host, false, now)
	s.config.Gates.Left(l.host, now)
	s.log.Info().Str("peer", l.host).Err(err).Int("hosts", len(s.links)).Msg("host left the coordinator")
	if len(s.links) == 0 {
		s.logLinks()
	}
}

func (s *server) dropAll(err error, now time.Time) {
	for _, l := range s.links {
		s.drop(l, err, now)
	}
}

// beginStop ends all streams and refuses new ones.
func (s *server) beginStop() {
	s.post(func(now time.Time) {
		s.stopping = true
		s.dropAll(errStopping, now)
	})
}

// push sends the changes to all hosts.
func (s *server) push(now time.Time) {
	s.pushMetered(now)
	if (s.verdictsDue || s.refusing) && now.Sub(s.lastVerdicts) >= verdictInterval {
		s.pushVerdicts(now)
	}
	if s.loadsDue && now.Sub(s.lastLoads) >= loadInterval {
		s.pushLoads(now)
	}
}

func (s *server) pushMetered(now time.Time) {
	teams, version := s.config.Ledger.Metered(now)
	if version == s.meteredVersion || version == 0 {
		s.meteredVersion = version
		return
	}
	teams = slices.Sorted(slices.Values(teams))
	s.logMetered(teams)
	s.metered, s.meteredVersion = teams, version
	for _, l := range s.links {
		l.offer(&relaypb.CoordinateVerdict{Metered: teams, HasMetered: true})
	}
}

func (s *server) logMetered(teams []string) {
	for _, t := range teams {
		if _, found := slices.BinarySearch(s.metered, t); !found {
			s.log.Info().Str("team", t).Int("hosts", len(s.links)).Int("of", s.hosts).Msg("team metered: hosts ask before they admit a request")
		}
	}
	for _, t := range s.metered {
		if _, found := slices.BinarySearch(teams, t); !found {
			s.log.Info().Str("team", t).Int("hosts", len(s.links)).Int("of", s.hosts).Msg("team free: hosts report requests afterwards")
		}
	}
}

// pushVerdicts computes the verdicts on admission, and sends them if they have changed or refuse
// requests.
func (s *server) pushVerdicts(now time.Time) {
	s.lastVerdicts, s.verdictsDue = now, false
	verdicts, changed := s.config.Gates.Verdicts(now)
	s.refusing, s.gates = false, make([]*relaypb.GateVerdict, 0, len(verdicts))
	for service, v := range verdicts {
		s.refusing = s.refusing || v.RefusedShare > 0
		s.gates = append(s.gates, verdictToWire(service, v))
	}
	if !changed && !s.refusing {
		return
	}
	for _, l := range s.links {
		l.offer(&relaypb.CoordinateVerdict{Gates: s.gates})
	}
}

// pushLoads sends the loads of servers that have changed.
func (s *server) pushLoads(now time.Time) {
	s.lastLoads = now
	var changes []replica.ServerLoad
	if changes, s.loadsDue = s.config.Gates.LoadChanges(now); len(changes) == 0 {
		return
	}
	loads := loadsToWire(changes)
	for _, l := range s.links {
		l.offer(&relaypb.CoordinateVerdict{Loads: loads})
	}
}

package coordination

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/replica"
)

// State is what a host knows of the fleet and the configuration in force.
type State struct {
	// Enabled is set if hosts have decisions to take together.
	Enabled bool
	// Candidates are the hosts that may coordinate, as Order orders them.
	Candidates []Host
	// Hosts is the number of known hosts; 0 while the fleet is unknown.
	Hosts int
	// Rank is the rank (from 0) of this host among the known hosts, in an order that all share.
	Rank int
	// Limit returns the limit of a team, an invalid one if the team is not known.
	Limit func(team string) quota.Limit
}

// Peers calls other hosts.
type Peers interface {
	Coordinate(ctx context.Context, address string, run func(peer.CoordinateStream) error) error
	// CloseIdle closes the idle connections to a host.
	CloseIdle(address string)
}

// ServerStream is the coordinator's end of a stream. Send and Recv may be called by different
// goroutines.
type ServerStream interface {
	Send(verdict *relaypb.CoordinateVerdict) error
	Recv() (*relaypb.CoordinateReport, error)
}

// Meter decides on the requests of teams at this host. quota.Meter implements it.
type Meter interface {
	SetHosts(n, rank int)
	Take(team string, limit quota.Limit, now time.Time) quota.Decision
	Granted(team string, n int, now time.Time)
	Return(team string, now time.Time)
	Unanswered(team string, limit quota.Limit, now time.Time) quota.Decision
	Connected(now time.Time) (recent []quota.Count)
	Heard(metered []string, replace bool, now time.Time)
	Disconnected(now time.Time)
	Report(now time.Time) []quota.Count
}

// Ledger accounts for the requests of all hosts at the coordinator. quota.Ledger implements it.
type Ledger interface {
	SetConfig(limits func(team string) quota.Limit, hosts int, now time.Time)
	Join(host string, incarnation uint64, recent []quota.Count, now time.Time)
	Heard(host string, now time.Time)
	Left(host string, ended bool, now time.Time)
	Admitted(host string, counts []quota.Count, now time.Time)
	Ask(host string, ask quota.Ask, now time.Time) quota.Grant
	Metered(now time.Time) (teams []string, version uint64)
	Sweep(now time.Time)
}

// GateKeeper decides on admission for all hosts at the coordinator. Only the goroutine that owns
// the ledger calls it, so it must not block.
type GateKeeper interface {
	// Offered passes the work that a host was offered for a service.
	Offered(host, service string, offered []admission.Offered, now time.Time)
	// Loads passes the loads of servers that a host observed.
	Loads(host string, loads []replica.ServerLoad, now time.Time)
	// Left reports that the stream of a host has ended.
	Left(host string, now time.Time)
	// Verdicts returns the verdict for each service, and whether one has changed since the
	// previous call.
	Verdicts(now time.Time) (verdicts map[string]admission.Verdict, changed bool)
	// LoadChanges returns what all hosts have to be told of the loads of servers, and whether it must
	// be called again although no load is reported meanwhile. It is called every 100 ms at most.
	LoadChanges(now time.Time) (changes []replica.ServerLoad, again bool)
	// CombinedLoads returns what a host that has just connected has to be told.
	CombinedLoads() []replica.ServerLoad
}

// Listener learns at each host what the coordinator decided. Its methods must not block.
type Listener interface {
	// VerdictsChanged passes the verdicts by service.
	VerdictsChanged(verdicts map[string]admission.Verdict, now time.Time)
	// LoadsChanged passes the loads of servers that differ from those passed before.
	LoadsChanged(loads []replica.ServerLoad, now time.Time)
}

// Config holds the dependencies of a Coordination.
type Config struct {
	// Host is the name of this host, Incarnation the start time of its process in Unix
	// nanoseconds.
	Host        string
	Incarnation uint64
	// State returns the current state; it is called several times a second.
	State func() State
	// Suspected reports whether a host is known not to respond; Suspect reports that one does not.
	Suspected func(address string) bool
	Suspect   func(address string, now time.Time)
	Peers     Peers
	Meter     Meter
	Ledger    Ledger
	// Gates and Listener may be nil.
	Gates    GateKeeper
	Listener Listener
	Log      zerolog.Logger
}

// noGates is a GateKeeper that admits everything.
type noGates struct{}

func (noGates) Offered(string, string, []admission.Offered, time.Time) {}
func (noGates) Loads(string, []replica.ServerLoad, time.Time)          {}
func (noGates) Left(string, time.Time)                                 {}
func (noGates) Verdicts(time.Time) (map[string]admission.Verdict, bool) {
	return nil, false
}
func (noGates) LoadChanges(time.Time) ([]replica.ServerLoad, bool) { return nil, false }
func (noGates) CombinedLoads() []replica.ServerLoad                { return nil }

// noListener is a Listener that ignores everything.
type noListener struct{}

func (noListener) VerdictsChanged(map[string]admission.Verdict, time.Time) {}
func (noListener) LoadsChanged([]replica.ServerLoad, time.Time)            {}

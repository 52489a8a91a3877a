package member

// State is the state of a member. More severe states have higher numbers.
type State int

const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members missed a probe and can still refute the suspicion.
	Suspect
	// Leaving members finish the requests in flight and accept no new ones.
	Leaving
	// Dead members did not refute a suspicion in time, or have left.
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Fact is a claim about the state of a member, as exchanged between hosts.
type Fact struct {
	Host    string
	Address string
	Domain  string
	// Incarnation increases with each start of the host and each refutation.
	Incarnation uint64
	State       State
}

// supersedes reports whether f replaces old, a fact about the same host.
func (f Fact) supersedes(old Fact) bool {
	if f.Incarnation != old.Incarnation {
		return f.Incarnation > old.Incarnation
	}
	return f.State > old.State
}

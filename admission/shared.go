package admission

import "time"

const (
	// MaxVerdictAge is the age at which a verdict no longer decides. It is longer than two
	// intervals between heartbeats of the coordinator.
	MaxVerdictAge = time.Second
	// maxVerdictClasses and maxVerdictTime bound what a verdict in range may contain. A SharedGate
	// lists at most the four classes and the listed teams of each rank.
	maxVerdictClasses = maxRanks * (4 + 2*maxListedTeams)
	maxVerdictTime    = time.Minute
)

// Class is a class of requests for one service that are admitted alike.
type Class struct {
	Rank uint32
	// Late is set if the callers can no longer get an answer within the objective.
	Late bool
	// Returning is set if the callers return after a refusal.
	Returning bool
	// Team is empty if the class is not that of one team.
	Team string
}

// Offered is work of one class that was offered at one host.
type Offered struct {
	Class
	Requests  int
	Work      time.Duration
	Objective time.Duration
}

// Verdict is the decision of a SharedGate on the requests of all hosts.
type Verdict struct {
	// Wait is the wait at the servers on which it is based.
	Wait time.Duration
	// RefusedShare is the share (0 to 1) of the offered work that is refused.
	RefusedShare float64
	// Classes are the classes that are not always admitted. A class of one team goes before that
	// of all teams.
	Classes []ClassVerdict
}

// ClassVerdict is the decision on one class.
type ClassVerdict struct {
	Class
	// Probability is the probability (0 to 1) of admission.
	Probability float64
	// RetryAfter is the shortest delay after which a refused caller is expected to be admitted;
	// Spread is the span over which returns are to be spread.
	RetryAfter, Spread time.Duration
}

// valid reports whether all parts of a verdict are within their ranges.
func (v Verdict) valid() bool {
	if !isShare(v.RefusedShare) || !isVerdictTime(v.Wait) || len(v.Classes) > maxVerdictClasses {
		return false
	}
	for _, c := range v.Classes {
		if !isShare(c.Probability) || !isVerdictTime(c.RetryAfter) || !isVerdictTime(c.Spread) {
			return false
		}
	}
	return true
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

func isVerdictTime(d time.Duration) bool { return d >= 0 && d <= maxVerdictTime }

// find returns the verdict on a class: that of its team if there is one, otherwise that of all
// teams. A class that is not listed is admitted.
func (v Verdict) find(class Class) ClassVerdict {
	all := class
	all.Team = ""
	found := ClassVerdict{Class: class, Probability: 1}
	for _, c := range v.Classes {
		if c.Class == class {
			return c
		}
		if c.Class == all {
			found = c
		}
	}
	return found
}

package admission

import "time"

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

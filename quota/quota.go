// Package quota holds the request limits of teams over all hosts.
//
// One host, the coordinator, has a Ledger with a token bucket for each team; every host
// has a Meter. While a team is far below its limit, hosts admit its requests at once and
// report them afterwards. When the bucket runs low, the ledger declares the team metered:
// hosts then ask for an allowance before they admit a request. A host that hears no ledger uses its
// own fraction of the limit.
//
// The load that it answers: hundreds of hosts, each of which sees less than one request a second, and a team
// that suddenly sends ten times its usual.
//
// Invariants:
//   - In any window, the requests admitted by all hosts stay within
//     (PerSecond x window + Burst) x (1 + Excess) + Slack, whichever hosts or links fail.
//   - While all hosts are connected to one ledger, PerSecond x window + Burst holds, apart from the
//     requests admitted while the news that the team is metered is under way.
//   - A ledger grants the fraction of the limit that corresponds to the hosts it hears, so that two
//     ledgers together grant no more than one.
package quota

import "time"

// maxLimit is the highest rate (requests per second) and burst (requests) of a usable limit.
const maxLimit = 1e9

// Limit is the request limit of a team over all hosts: a token bucket.
type Limit struct {
	// PerSecond is the refill rate in requests per second; 0 means no limit.
	PerSecond float64
	// Burst is the depth of the bucket in requests.
	Burst float64
	// Invalid is set if the configured limit is out of range; no request is admitted then.
	Invalid bool
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond != 0 || l.Invalid }

// usable reports whether a limited team may run requests at all.
func (l Limit) usable() bool {
	return !l.Invalid && l.PerSecond > 0 && l.Burst >= 0 && l.PerSecond <= maxLimit && l.Burst <= maxLimit
}

// Bound is by how much a limit may be exceeded at moments when the hosts cannot agree.
type Bound struct {
	// Window is the span of time over which requests are counted.
	Window time.Duration
	// Excess is a share of what the limit allows in a window, Slack a number of requests.
	Excess, Slack float64
}

// Count is a number of requests that a host admitted for a team some time ago. It is negative
// if admitted requests were not run.
type Count struct {
	Team     string
	Requests int
	Age      time.Duration
}

// Ask asks a ledger for allowances.
type Ask struct {
	Team     string
	Requests int
	// Patience is how long a refused caller is willing to wait before it returns.
	Patience time.Duration
	// Returning is set if the caller returns after a refusal.
	Returning bool
	// Late is set if the caller can no longer get an answer within the objective. It gets only what
	// callers on time are expected to leave.
	Late bool
}

// Grant answers an Ask.
type Grant struct {
	Granted int
	// RetryAfter is when to come back if not all was granted. If it is within the caller's patience, an allowance is kept
	// for the caller at that time.
	RetryAfter time.Duration
}

// Action is what a host does with a request.
type Action int

const (
	// Admit: the request may run; it was counted.
	Admit Action = iota
	// AskFirst: the request may run if the ledger grants an allowance.
	AskFirst
	// Refuse: the request is over the limit.
	Refuse
)

// Decision is the decision of a Meter on one request.
type Decision struct {
	Action Action
	// RetryAfter is set if the action is Refuse.
	RetryAfter time.Duration
}

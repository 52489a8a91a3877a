// Package admission decides which requests of a service run next and which are
// refused before they reach a backend server.
//
// Queue orders waiting requests where one host has the slots of the servers. Gate
// refuses a share of the requests on arrival where many hosts share the servers. SharedGate
// decides the shares for the gates of all hosts, where each has too few requests to learn the
// state of the servers.
// WaitEstimator infers how long a caller has waited since its first attempt, which
// decides whether its request is late for a Gate.
//
// Invariants of a Queue ordered ByClass: an offered request is in exactly one of the
// states refused, waiting, withdrawn and admitted; a waiting request of a higher class
// is admitted before one of a lower class, except that the share FloorShare of the
// admissions goes to the lowest waiting class; no request is admitted while as many run
// as the capacity allows; a request is refused when it is offered if it is not expected
// to finish by its deadline, unless the queue is idle and the deadline has not passed.
//
// Invariants of a Gate: a request is admitted or refused when it is offered and never
// waits in the gate; late requests are refused first, then those of the lowest rank,
// except that a small share of the admitted work is reserved for each rank below the
// highest.
//
// Invariants of a SharedGate: its verdict is one that a Gate accepts, for any reports; a class
// that is not refused is not listed; its state is bounded by a number of ranks and teams, and
// forgets both after seconds.
package admission

// Package coordination connects the hosts with the coordinator, the host that accounts for the
// limits of teams and decides on admission for all hosts.
//
// Every host orders the same candidates by rendezvous hashing and keeps one stream to the first
// that responds; the host that is first connects to itself in the process. Over the stream it
// reports what it admitted and asks for allowances; the coordinator answers asks and pushes
// changes. Nobody is elected and nothing is stored: after a failure the hosts connect to the next
// candidate and tell it what they admitted within the last window.
//
// Invariants:
//   - The goroutine that owns the ledger never waits for a host, and no request waits for the
//     coordinator longer than askTimeout.
//   - While the configuration needs no coordination, no connection is open and nothing is sent.
package coordination

// Package guard holds what a host knows of requests under which servers end: it keeps the book
// of package quarantine, lets the store keep what this host saw, takes in what others saw, and
// says so in lines and counters.
//
// Invariants:
//   - While nothing is known of any request no fingerprint is worked out.
//   - What this host saw is in its book before it is told to others; what the store says of a
//     host replaces what was known of it.
//   - News is closed by every request that becomes barred, and the log names it, whether an
//     event was about it, about another request that had explained its ends, or about none but
//     the time: the book alone knows which standings have changed, and is asked after each step.
package guard

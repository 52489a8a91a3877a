// Package retry bounds the extra load of retries and hedged requests, and computes the
// delay after which to hedge.
//
// Invariant: over any sequence of first attempts, a Budget permits at most
// share times the first attempts plus size extra attempts, where share and size are the
// parameters of NewBudget. The bucket is refilled by first attempts and not by time, so that
// the extra load stays proportional to the offered load while a service fails.
package retry

// Package retry bounds the extra load of retries and hedged requests, and computes the
// delay after which to hedge.
//
// Invariants:
//   - Over any sequence of first attempts, a Budget permits at most ratio times the first
//     attempts plus size extra attempts (see NewBudget). The bucket is refilled by first
//     attempts and not by time, so that the extra load stays proportional to the offered load
//     while a service fails.
//   - A Window permits an extra attempt only if the extra attempts in the window that ends
//     then, including it, are at most share times the first attempts in that window plus the
//     slack. For this, a window is rounded up to whole time slots.
package retry

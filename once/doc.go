// Package once provides at-most-once execution of requests that are not
// idempotent, however often and through whichever hosts they are resent. It needs
// neither a store nor a lease.
//
// A host mints a ticket for one future request. The ticket can be redeemed only
// at the same incarnation of the same host, which keeps the redeemed tickets in
// memory. A redemption checks and records the ticket atomically under one lock,
// so a pause of the process cannot fall between the two.
//
// Invariants: a ticket permits at most one execution; a ticket is bound to the
// first request that redeems it; after its incarnation has ended, a ticket never
// permits an execution.
package once

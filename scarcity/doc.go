// Package scarcity decides which shards a query asks when some shards are scarce, that is
// when even their fastest servers are slow.
//
// An answer may lack a few shards. If more shards than that are scarce and every query
// asks all of them, the queries compete for the same slots and too few parts of each
// arrive in time. A query that asks only as many scarce shards as it needs, in a random
// order of its own, leaves the remaining capacity to other queries.
//
// Invariants: a shard that is not scarce is always asked; if a query needs at most three
// scarce shards, no more of them are in flight than it still needs; if it needs none, they
// are asked only where that displaces no other query.
package scarcity

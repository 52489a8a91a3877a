// Package snapshot chooses the index version that a query is pinned to before its
// fan-out.
//
// Invariant: the choice is one version for all shards; a version that more shards
// can serve is preferred to a newer one.
package snapshot

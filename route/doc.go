// Package route holds a versioned configuration of routes: which service, or
// which set of shards, serves a request of a given host name and path.
//
// Invariants: a Holder never goes back to an older version. Of the routes of a
// host the one with the longest matching prefix serves the request. A Table is
// immutable, so a request that keeps one sees a single version from its start
// to its end. Homes says which regions may see the requests of a route.
package route

// Package route maps the host name and path of a request to the service, or the
// set of shards, that serves it. The mapping is a versioned configuration.
//
// Invariants: a Holder never returns to an older version. Among the routes of a
// host name, the one with the longest matching prefix serves the request. The
// configuration of a Table is immutable, so a request that keeps its Table sees
// one version throughout. HomeRegions restricts the regions that may see the requests
// of a route.
package route

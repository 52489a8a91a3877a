// Package gateway implements the gateway daemon. It serves callers by routes: a request is either
// forwarded to one server of a service, or sent to one server of each of many shards whose parts
// are gathered into one answer. Platform adapters translate the protocols of callers, servers and
// the store; this package works with typed requests, replies and changes only.
//
// One goroutine owns the control state (configuration, servers, hosts) and publishes an immutable
// view. Request goroutines use the view that was current when the request arrived until the request
// ends.
//
// Servers near a host are called directly. Servers of a query in another failure domain are called
// through a gateway there, the relay, which merges their parts so that one short message crosses
// the long distance instead of many. Relays make no decisions: the host that received the request
// decides which servers are called and how often.
//
// If a route names home regions, its requests are seen only by servers and hosts in these regions,
// and by the host that the caller reached. A server that drains, or whose failure domain is
// evacuated, gets no new requests; requests that run there finish normally.
package gateway

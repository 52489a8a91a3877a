// Package gateway is the daemon that serves callers by routes: it passes a
// request on to one server of a service, or gathers an answer from one server
// of each of many shards. The adapters of its edges speak the platform's
// protocols; this package knows only typed requests, replies and changes.
//
// One goroutine owns the control state (configuration, servers, hosts) and
// publishes an immutable view. Traffic goroutines read the view that is in
// force when a request comes and keep it to the request's end.
//
// Servers near a host are called directly. Those of another failure domain are
// called through a gateway there, the relay, which merges their parts, so that
// one short message crosses the long way instead of many. A relay takes no
// decision: which server is called, and how often, is decided where the
// request came in.
//
// A request whose route names home regions is seen by servers and hosts of these
// only, and by the host that its caller reached. Nothing is sent to a server that
// drains, or whose failure domain is evacuated; what runs there ends by itself.
package gateway

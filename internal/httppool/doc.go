// Package httppool is an HTTP/1.1 client with a connection pool for servers that accept
// one request at a time on a connection and may misbehave: respond late or twice,
// truncate a response, or send bytes that are not a response.
//
// Invariant: a Response is complete and belongs to its request. A connection is reused
// only if nothing but that response was received on it.
package httppool

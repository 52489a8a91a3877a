// Package httppool exchanges HTTP/1.1 requests and responses with servers that
// take one request at a time on a connection and may misbehave: they answer
// late or twice, break off, or send bytes that are no response.
//
// Invariant: a Response is whole and belongs to its request. A connection is
// used again only if nothing but that response came on it.
package httppool

// Package httppool is an HTTP/1.1 client with a connection pool for servers that accept
// one request at a time on a connection and may misbehave: respond late or twice,
// truncate a response, or send bytes that are not a response.
//
// Invariants:
//   - A Response is complete and belongs to this attempt at its request. A server may repeat a
//     response where the next one on the connection is expected. The ID in it distinguishes
//     the copy from the response to another request, and no connection carries two attempts
//     at one request.
//   - A response that names no request is accepted only on a connection that carried no other.
//   - A connection is reused only if nothing followed the response.
package httppool

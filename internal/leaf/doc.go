// Package leaf contains the client for backend servers: an interface and an
// implementation over gRPC with one connection per server.
package leaf

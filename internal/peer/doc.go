// Package peer contains the client for calls between hosts: an interface for the
// calls between entry hosts, and an implementation over DRPC with a connection pool.
package peer

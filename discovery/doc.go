// Package discovery keeps a registry of the servers that are registered in a store.
//
// Invariant: a server whose registration is removed from the store gets no more
// requests. The exception is a registration that disappears during an outage of the
// store or within ReregistrationGrace after it. It is kept until ReregistrationGrace has passed,
// because registrations expire in an outage although their servers are alive, and
// are renewed afterwards.
//
// A registration from an earlier process under the same identifier is ignored. A
// server whose registration cannot be decoded is dropped.
package discovery

// Package control keeps the state that a gateway needs to handle requests: it
// follows the platform's store, directly or through another host, registers this
// host in the store, tracks which peers respond, and publishes an immutable View
// for package gateway, which handles the requests.
//
// Invariants:
//   - One goroutine owns the state; request handling reads a published View.
//   - Revisions only grow: an entry older than the known one is ignored.
//   - While the store is unreachable, the last known state stays in use. Entries that
//     expire meanwhile count until a grace period after the store's return; entries
//     that are still missing then are removed.
//   - A host follows only hosts that rank before it (by strength, then name), so no
//     two hosts follow each other.
//   - A suspected peer gets no requests until it has answered a probe.
package control

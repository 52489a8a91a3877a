// Package control is how a gateway learns what it works with: it follows the
// platform's store, by itself or through another host, announces this host,
// watches which peers answer, and publishes an immutable View for the way of a
// request, which is the business of package gateway.
//
// Invariants:
//   - One goroutine owns the state; traffic reads a published View.
//   - Revisions only grow: an entry older than the one known changes nothing.
//   - What is known stays in force while the store is away. Entries that lapse
//     meanwhile count until the store has been back for the time that its operators
//     name; what is missing after that is gone.
//   - A host follows only hosts that come before it (strength, then name), so no two
//     follow each other.
//   - A suspected peer gets no requests until it has answered a probe.
package control

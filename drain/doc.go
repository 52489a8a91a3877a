// Package drain records which backend servers are leaving, as reported by the servers
// themselves, the platform's host list or other entry hosts.
//
// Invariants: a notice applies to one incarnation of a server and never to a later one; a
// notice that is not confirmed expires, so that a false report does not remove a server
// permanently.
package drain

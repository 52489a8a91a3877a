// Package guard maintains the quarantine of a host: it holds the quarantine.Book, writes the
// records of this host to the store, applies those of other hosts, and logs and counts changes.
//
// Invariants:
//   - No fingerprint needs to be computed while the book is empty.
//   - A record of this host is in its book before it is written to the store. A record from the
//     store replaces the previous one of that host.
//   - Every request that becomes barred closes the channel of BarredSignal and is logged, whether
//     the cause is a record of the request, a change of another request to which its crashes were
//     attributed, or the passing of time. For this, each operation ends by processing the changes
//     that the book returns.
package guard

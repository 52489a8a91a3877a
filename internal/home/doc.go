// Package home runs the queries of a service at its home, the entry host that
// coordinates them: it admits each query, pins it to a snapshot, fans it out to
// the shards within the slots of the leaves, and merges the parts.
//
// The packages admission, snapshot, limit, replica, retry, quarantine and
// scatter make the decisions; this package adds the locking, the goroutines and
// the timers. One mutex guards all state of a service. It is never held during
// a call.
package home

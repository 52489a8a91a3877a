// Package replica selects the replica of a shard that a request is sent to,
// from the latency, load and failures that this host observed and from the
// reports of other hosts. Board decides at the coordinator which of these all
// hosts are told.
//
// Invariants:
//   - A leaving replica is never selected.
//   - The last usable replica of a shard is never ejected.
//   - At most half of the replicas of a shard are ejected.
//   - An abandoned request only raises a latency estimate, so that a replica
//     that never replies does not appear fast.
package replica

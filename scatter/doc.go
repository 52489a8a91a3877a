// Package scatter merges the partial results of one query and computes its
// coverage.
//
// Invariants: a part is merged only if it is complete and belongs to an attempt in
// flight, to the expected shard and to the pinned snapshot; each shard is merged
// at most once; coverage is computed only from merged parts; nothing is merged
// after Close.
package scatter

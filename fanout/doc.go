// Package fanout decides about one query over a named set of shards: which
// shards need an attempt, when a second one is due, when the answer goes out,
// and which parts it holds.
//
// Parts come in blocks. A block is what one call brought: the parts of one or
// more shards, merged on the way to their greatest records. A block cannot be
// taken apart, so an answer is made of blocks that share no shard.
//
// Invariants: an answer holds each shard at most once and names exactly the
// shards of its blocks; its records are the greatest of all records of those
// shards; a shard gets at most MaxAttempts attempts; a part that came is never
// given up for an answer with fewer shards.
package fanout

// Package fanout tracks the fan-out of one query over a set of shards: which
// shards need an attempt, when a retry or a hedge is due, when the query is
// finished, and which partial results its answer contains.
//
// Partial results arrive in blocks. A block is the reply to one call: the
// results of one or more shards, merged on the way into their top records. A
// block cannot be split, so an answer consists of blocks with disjoint shards.
//
// Invariants: an answer contains each shard at most once and names exactly the
// shards of its blocks; its records are the greatest of all records of those
// shards; a shard gets at most MaxAttempts attempts; coverage never decreases.
package fanout

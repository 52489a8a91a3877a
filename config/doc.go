// Package config stores the operators' configuration in a key-value store: a head
// value, changed by compare-and-swap, references immutable parts by their digests.
//
// Invariants: revisions form one chain, each derived from its predecessor; a host
// never goes back to a lower revision; a configuration is applied only if every
// part referenced by its head is available; a change that was reported as
// conflicting or invalid never takes effect later.
package config

// Package discovery keeps the servers that a store of registrations names.
//
// Invariant: a server that the store no longer names gets no more requests,
// with one exception: an entry that went missing while the store was away
// counts for ReturnGrace after the store's return, because entries lapse in an
// outage although their servers live and are registered again afterwards.
//
// A registration of an earlier process under the same identifier changes nothing,
// and one that cannot be read names no server.
package discovery

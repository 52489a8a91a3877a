// Package discovery keeps a registry of the servers that are registered in a store.
//
// Invariant: a server whose registration has disappeared gets no more requests once the store is known
// to have been in service for ReregistrationGrace. Until then the registration may have lapsed in an
// outage of the store, in which registrations expire although their servers are alive, and are renewed
// within ReregistrationGrace afterwards. Contact is the evidence: what one host cannot see is no outage
// while another host hears from the store.
//
// A registration from an earlier process under the same identifier is ignored. A
// server whose registration cannot be decoded is dropped.
package discovery

// Package limit bounds the number of requests that all hosts together run on a
// backend server.
//
// Invariant: the shares of all homes of a service (the hosts that dispatch its
// requests) add up to exactly the slots of each replica, so that together they do not
// exceed a server's capacity while they agree on the membership.
//
// A cold server, one that has just started, receives no more requests in any second
// from all hosts together than its bound. Only a few hosts call it: every host computes
// the same callers, and each caller sends at a steady rate.
package limit

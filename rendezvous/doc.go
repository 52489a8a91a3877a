// Package rendezvous assigns keys to members by rendezvous hashing (highest random
// weight, Thaler and Ravishankar, 1998).
//
// Invariant: hosts with the same members compute the same assignment, and a member that
// joins or leaves changes the assignment only of the keys that it gains or held.
package rendezvous

// Package member maintains the membership of entry hosts with the SWIM protocol
// (Das, Gupta and Motivala, 2002): each host probes one member per interval, and
// membership updates are piggybacked on the probes. Hosts that the platform's host
// list contains are added as well, although that list may be out of date.
//
// Invariants: of two facts about a host, the one with the higher incarnation
// wins; with equal incarnations, the one with the more severe state wins. The
// result does not depend on the order of arrival. A host that learns that it is
// considered suspect or dead refutes this with a higher incarnation. A member is
// declared dead only after the suspicion timeout, within which it can refute.
// The cost per host and interval does not depend on the number of members.
package member

// Package admission decides which requests of a service run next and which are
// refused before they reach a backend server.
//
// Invariants: a request is in exactly one of the states admitted, waiting and
// refused; a waiting request of a higher class is admitted before one of a lower
// class, except for the share reserved for the lowest class; no more requests run
// than the capacity allows; a request is refused as soon as it is known that it
// cannot be served.
package admission

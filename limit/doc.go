// Package limit keeps the number of requests that the whole tier has running
// on a backend server at or below the server's slots.
//
// Invariant: the shares of all homes of a service add up to exactly the slots
// of each replica, so that no two homes together exceed a server's cap while
// they agree on the members.
//
// A cold server gets no more in any second from all hosts together than it takes: the few
// that call it work out alike who they are, and each keeps a steady rate.
package limit

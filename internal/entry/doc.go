// Package entry is the daemon of an entry host. It connects the network and the
// platform to the packages that make the decisions.
//
// One goroutine, the control loop, owns the configuration, the members, the
// leaving leaves and the placement of services, and publishes them as an
// immutable View. Goroutines that handle requests only read the current View.
package entry

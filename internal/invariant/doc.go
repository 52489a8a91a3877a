// Package invariant tests the invariants of the entry hosts. The tests run complete hosts on fake
// servers, peers and platform services in fake time, inject faults, and check what callers,
// operators and backend servers observed. The package contains tests only.
package invariant

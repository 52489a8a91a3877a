// Package sockopt sets options of TCP sockets for which the standard library
// has no name.
package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which the package
// syscall does not name.
const tcpUserTimeout = 18

// UserTimeout returns a control function for a dialer. It bounds for how long
// sent bytes may stay unacknowledged, so that a host that vanished is noticed;
// 0 leaves the bound to the system.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		if d <= 0 {
			return nil
		}
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

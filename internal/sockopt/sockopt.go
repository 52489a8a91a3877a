// Package sockopt sets TCP socket options that the standard library does not support.
package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
const tcpUserTimeout = 18

// UserTimeout returns a net.Dialer Control function that sets how long sent data may
// remain unacknowledged before the connection is closed, so that an unreachable host
// is detected. If d is 0 or less, the system default applies.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		if d <= 0 {
			return nil
		}
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// ReceiveBuffer returns a net.ListenConfig Control function that sets how many bytes the kernel keeps unread for each
// accepted connection. The kernel takes as much again for its own use.
func ReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

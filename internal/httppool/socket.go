package httppool

import (
	"net"
	"syscall"
)

// isOpenAndEmpty reports whether a connection is open and has no unread data. A
// connection without a file descriptor is assumed to be open and empty.
func isOpenAndEmpty(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true // Done: don't wait until the socket is readable.
	})
	return err == nil && usable
}

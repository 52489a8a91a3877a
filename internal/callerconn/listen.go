package callerconn

import (
	"context"
	"net"

	"github.com/mallowgap/mallowgap/internal/sockopt"
)

const (
	// MemoryDivisor is the part of a host's memory that requests of callers may take by default, as a divisor: the
	// collector lets garbage grow to as much again, and connections and the kernel's buffers take more.
	MemoryDivisor = 8
	// receiveBuffer limits what the kernel keeps unread of a caller's connection, in bytes. It counts toward the
	// host's memory.
	receiveBuffer = 16 << 10
)

// ListenTCP returns a listener for callers, of whose connections the kernel keeps little unread.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: sockopt.ReceiveBuffer(receiveBuffer)}
	return config.Listen(ctx, "tcp", address)
}

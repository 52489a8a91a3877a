// Package endless helps tests of readers whose peer sends without end.
package endless

import (
	"bytes"
	"io"
	"net"
	"runtime"
)

// Size is where endless bytes end after all, so that a reader without a limit fails its test and not the
// machine.
const Size = 256 << 20

// blockSize is the least number of bytes of one write.
const blockSize = 64 << 10

// Write writes a prefix and then a unit again and again. It reports whether the receiver took Size bytes.
func Write(c net.Conn, prefix string, unit []byte) bool {
	if _, err := io.WriteString(c, prefix); err != nil {
		return false
	}
	block := bytes.Repeat(unit, 1+blockSize/len(unit))
	for written := 0; written < Size; written += len(block) {
		if _, err := c.Write(block); err != nil {
			return false
		}
	}
	return true
}

// Allocated returns the bytes that the process allocates while fn runs.
func Allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

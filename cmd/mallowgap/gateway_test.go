package main

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Logging must not block request handling while standard output is not read.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		w := nonBlockingWriter(out)
		start := time.Now()
		for range 10 * logBufferLines {
			_, err := w.Write([]byte("a line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		close(out.release)
		assert.NilError(t, w.Close())
	})
}

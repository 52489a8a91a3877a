package main

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is a writer whose reader stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{make(chan struct{})}
		w := bounded(out)
		start := time.Now()
		for range 10 * logBuffer {
			_, err := w.Write([]byte("a line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		close(out.release)
		assert.NilError(t, w.Close())
	})
}

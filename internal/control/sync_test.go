package control

import (
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replies of servers that wait, although they have arrived, until a large configuration
// is in force on a host with one processor.
func TestYieldLetsRepliesIn(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rounds = 20
	first := 0
	for range rounds {
		r, w, err := os.Pipe()
		assert.NilError(t, err)
		var handled atomic.Bool
		go func() {
			_, _ = r.Read(make([]byte, 1))
			handled.Store(true)
		}()
		time.Sleep(5 * time.Millisecond) // The goroutine waits for the pipe.
		_, err = w.Write([]byte{1})
		assert.NilError(t, err)
		Yield()
		if handled.Load() {
			first++
		}
		assert.NilError(t, w.Close())
		assert.NilError(t, r.Close())
	}
	// The process may be suspended at any point, for longer than Yield sleeps.
	assert.Assert(t, 2*first > rounds, "%d of %d replies were handled before the computation went on", first, rounds)
}

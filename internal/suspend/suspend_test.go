package suspend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The clock that counts suspensions is read last, so that the time between is none that is missing.
func TestTotalIsNotNegative(t *testing.T) {
	assert.Assert(t, Total() >= 0)
}

func BenchmarkTotal(b *testing.B) {
	for b.Loop() {
		_ = Total()
	}
}

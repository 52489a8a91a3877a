package suspend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reading CLOCK_BOOTTIME first, which could make the difference negative.
func TestTotalIsNotNegative(t *testing.T) {
	assert.Assert(t, Total() >= 0)
}

func BenchmarkTotal(b *testing.B) {
	for b.Loop() {
		_ = Total()
	}
}

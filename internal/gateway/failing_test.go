package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// One answer in eight is lost. A host has two or three extra attempts in a window for a shard:
// the last of them is left to what will be lost, and to hedges again when nothing is.
func TestHedgesLeaveBudgetToRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFailures()
		for i := range 80 {
			f.note(firstAttempt, time.Now())
			if i%8 == 0 {
				f.note(retryAttempt, time.Now())
			}
			f.note(hedgeAttempt, time.Now())
		}
		assert.Equal(t, f.share(time.Now()), 0.125, "hedges are no failures")
		time.Sleep(2 * failureSpan)
		assert.Equal(t, f.share(time.Now()), 0.0)
	})
}

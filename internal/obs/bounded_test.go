package obs_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/obs"
)

// The first line after dropped ones carries their number, and later lines do not.
func TestLinesBeyondTheBoundAreCountedInTheNextLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		log := obs.RateLimited(zerolog.New(zerolog.SyncWriter(&out)), 3)
		for range 10 {
			log.Info().Msg("a")
		}
		assert.Equal(t, strings.Count(out.String(), "\n"), 3)
		assert.Assert(t, !strings.Contains(out.String(), "left_out"))
		time.Sleep(2 * time.Second)
		log.Info().Msg("b")
		log.Info().Msg("c")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, lines[3], `{"level":"info","left_out":7,"message":"b"}`)
		assert.Equal(t, lines[4], `{"level":"info","message":"c"}`)
	})
}

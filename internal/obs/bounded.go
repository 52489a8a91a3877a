package obs

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// RateLimited returns a logger that writes at most perSecond lines a second. Dropped
// lines are counted in mallowgap_log_lines_sampled_total and in the field left_out
// of the next line that is written, which shows where lines are missing.
func RateLimited(log zerolog.Logger, perSecond int) zerolog.Logger {
	b := &lineLimiter{
		burst:   zerolog.BurstSampler{Burst: uint32(perSecond), Period: time.Second},
		counter: metrics.GetOrCreateCounter("mallowgap_log_lines_sampled_total"),
	}
	return log.Sample(b).Hook(b)
}

// lineLimiter drops the lines beyond a rate and counts them.
type lineLimiter struct {
	burst   zerolog.BurstSampler
	dropped atomic.Int64
	counter *metrics.Counter
}

// Sample implements zerolog.Sampler.
func (b *lineLimiter) Sample(level zerolog.Level) bool {
	if b.burst.Sample(level) {
		return true
	}
	b.dropped.Add(1)
	b.counter.Inc()
	return false
}

// Run implements zerolog.Hook. It adds the number of lines dropped before e.
func (b *lineLimiter) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	if n := b.dropped.Swap(0); n > 0 {
		e.Int64("left_out", n)
	}
}

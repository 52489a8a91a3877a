package obs

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Bounded returns a logger that writes at most perSecond lines a second. What is
// left out is counted in mallowgap_log_lines_sampled_total and in the field left_out
// of the next line that is written, so that a reader sees where lines are missing.
func Bounded(log zerolog.Logger, perSecond int) zerolog.Logger {
	b := &bound{
		burst:   zerolog.BurstSampler{Burst: uint32(perSecond), Period: time.Second},
		counter: metrics.GetOrCreateCounter("mallowgap_log_lines_sampled_total"),
	}
	return log.Sample(b).Hook(b)
}

// bound leaves out the lines beyond a number a second.
type bound struct {
	burst   zerolog.BurstSampler
	leftOut atomic.Int64
	counter *metrics.Counter
}

// Sample implements zerolog.Sampler.
func (b *bound) Sample(level zerolog.Level) bool {
	if b.burst.Sample(level) {
		return true
	}
	b.leftOut.Add(1)
	b.counter.Inc()
	return false
}

// Run implements zerolog.Hook.
func (b *bound) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	if n := b.leftOut.Swap(0); n > 0 {
		e.Int64("left_out", n)
	}
}

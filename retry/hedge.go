package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of samples in one histogram; then the next one is filled.
	windowSize = 256
	// minSamples is the number of samples required before a delay is returned.
	minSamples = 20
	// refreshInterval is the number of samples between two computations of the delay.
	refreshInterval = 16
	// maxMicros is the largest recorded latency, in microseconds; longer ones are capped.
	maxMicros = int64(60 * time.Second / time.Microsecond)
)

// HedgeDelay computes the delay after which to hedge a request to one shard, as a
// percentile of the shard's recent latency. It is not safe for concurrent use.
type HedgeDelay struct {
	percentile float64
	minDelay   time.Duration
	// current receives samples; previous holds the window before and is used while it has
	// more samples.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	delay    time.Duration
	// samples counts all samples ever observed.
	samples int
}

// NewHedgeDelay returns a delay at the given percentile (0 to 100) of the recent latency,
// but not below minDelay.
func NewHedgeDelay(percentile float64, minDelay time.Duration) *HedgeDelay {
	return &HedgeDelay{
		percentile: percentile,
		minDelay:   minDelay,
		current:    hdrhistogram.New(1, maxMicros, 1),
		previous:   hdrhistogram.New(1, maxMicros, 1),
	}
}

// Observe records the latency of one answered attempt.
func (h *HedgeDelay) Observe(latency time.Duration) {
	_ = h.current.RecordValue(min(max(latency.Microseconds(), 1), maxMicros))
	h.samples++
	if h.samples%refreshInterval == 0 {
		h.refresh()
	}
	if h.current.TotalCount() >= windowSize {
		h.current, h.previous = h.previous, h.current
		h.current.Reset()
	}
}

// refresh recomputes the delay from the histogram with more samples.
func (h *HedgeDelay) refresh() {
	source := h.current
	if h.previous.TotalCount() > source.TotalCount() {
		source = h.previous
	}
	h.delay = time.Duration(source.ValueAtQuantile(h.percentile)) * time.Microsecond
}

// Delay returns the hedge delay, or false while there are fewer than minSamples samples.
func (h *HedgeDelay) Delay() (time.Duration, bool) {
	if h.samples < minSamples {
		return 0, false
	}
	return max(h.delay, h.minDelay), true
}

package retry

import "time"

// windowSlices is the number of slices of a window; a slice counts until the
// last of its attempts has left the window.
const windowSlices = 20

// Window bounds the extra attempts of one service over a sliding span of time,
// as a share of its first attempts in the same span plus a slack. It is not
// safe for concurrent use.
type Window struct {
	span time.Duration
	// epoch is the first time seen: slices are counted from there, on the
	// steady clock, as the time of day may jump.
	epoch  time.Time
	slices [windowSlices + 1]windowSlice
}

type windowSlice struct {
	number       int64
	first, extra int
}

// NewWindow returns an empty window of the given span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// First notes n first attempts.
func (w *Window) First(n int, now time.Time) { w.slice(now).first += n }

// Take takes an extra attempt if, with it, the extra attempts of the span are
// at most share times its first attempts plus slack.
func (w *Window) Take(share, slack float64, now time.Time) bool {
	return w.TakePart(1, share, slack, now)
}

// TakePart is Take for an attempt that may only use a part (0 to 1) of what is
// permitted, so that the rest is left to others. Only whole attempts are kept
// back: of a few permitted ones none is.
func (w *Window) TakePart(part, share, slack float64, now time.Time) bool {
	first, extra := w.Counts(now)
	permitted := share*float64(first) + slack
	if float64(extra+1) > permitted || float64(extra) >= part*permitted {
		return false
	}
	w.slice(now).extra++
	return true
}

// Counts returns the first and extra attempts of the span that ends at now.
func (w *Window) Counts(now time.Time) (first, extra int) {
	oldest := w.number(now) - windowSlices
	for i := range w.slices {
		if s := &w.slices[i]; s.number >= oldest {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

func (w *Window) number(now time.Time) int64 {
	if w.epoch.IsZero() {
		w.epoch = now.Add(-w.span)
	}
	return int64(now.Sub(w.epoch) / (w.span / windowSlices))
}

func (w *Window) slice(now time.Time) *windowSlice {
	number := w.number(now)
	s := &w.slices[number%int64(len(w.slices))]
	if s.number != number {
		*s = windowSlice{number: number}
	}
	return s
}

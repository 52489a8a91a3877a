package retry

import "time"

// windowSlots is the number of time slots of a window. A slot counts until the last of its
// attempts has left the window.
const windowSlots = 20

// Window bounds the extra attempts (retries and hedges) of one service in a sliding time
// window to a share of its first attempts in the same window plus a constant slack. It is
// not safe for concurrent use.
type Window struct {
	span time.Duration
	// epoch is the start of slot 0. It is one span before the first use, so that the first
	// window contains no negative slot numbers. It has a monotonic clock reading, so that
	// changes of the wall clock have no effect.
	epoch time.Time
	// slots is a ring, indexed by the slot number modulo its length.
	slots [windowSlots + 1]windowSlot
}

// windowSlot counts the attempts of one time slot.
type windowSlot struct {
	// number is the position of the slot since epoch.
	number       int64
	first, extra int
}

// NewWindow returns an empty window of the given length.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// AddFirstAttempts records n first attempts.
func (w *Window) AddFirstAttempts(n int, now time.Time) { w.slot(now).first += n }

// Take reports whether an extra attempt is permitted, and records it if so: including it,
// the extra attempts in the window are at most share times the first attempts plus slack.
func (w *Window) Take(share, slack float64, now time.Time) bool {
	return w.TakeFraction(1, share, slack, now)
}

// TakeFraction is like Take, but uses only the given fraction (0 to 1) of the permitted extra
// attempts, rounded up to a whole attempt, and leaves the rest to other callers.
func (w *Window) TakeFraction(fraction, share, slack float64, now time.Time) bool {
	first, extra := w.Counts(now)
	permitted := share*float64(first) + slack
	if float64(extra+1) > permitted || float64(extra) >= fraction*permitted {
		return false
	}
	w.slot(now).extra++
	return true
}

// Counts returns the numbers of first and extra attempts in the window that ends at now.
func (w *Window) Counts(now time.Time) (first, extra int) {
	oldest := w.slotNumber(now) - windowSlots
	for i := range w.slots {
		if s := &w.slots[i]; s.number >= oldest {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

// slotNumber returns the number of the slot of now.
func (w *Window) slotNumber(now time.Time) int64 {
	if w.epoch.IsZero() {
		w.epoch = now.Add(-w.span)
	}
	return int64(now.Sub(w.epoch) / (w.span / windowSlots))
}

// slot returns the slot of now, which is reset if it still holds an earlier one.
func (w *Window) slot(now time.Time) *windowSlot {
	number := w.slotNumber(now)
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

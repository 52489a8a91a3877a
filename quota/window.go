package quota

import "time"

// windowSlots is the number of time slots of a window.
const windowSlots = 20

// maxCount bounds the requests of one count, so that sums do not overflow.
const maxCount = 1 << 20

// window counts requests by their age in slots of a sliding window.
type window struct {
	// last is the number of the newest slot since the Unix epoch; slots is a ring, indexed by
	// the slot number modulo its length.
	last  int64
	slots [windowSlots + 1]int32
}

func slotOf(span time.Duration, at time.Time) int64 {
	return at.UnixNano() / max(1, int64(span/windowSlots))
}

func (w *window) index(slot int64) int {
	return int((slot%int64(len(w.slots)) + int64(len(w.slots))) % int64(len(w.slots)))
}

// advance empties the slots that have left the window.
func (w *window) advance(span time.Duration, now time.Time) {
	newest := slotOf(span, now)
	if newest-w.last >= int64(len(w.slots)) {
		w.slots, w.last = [windowSlots + 1]int32{}, newest
	}
	for w.last < newest {
		w.last++
		w.slots[w.index(w.last)] = 0
	}
}

// add counts n requests of the given age. A slot never falls below 0.
func (w *window) add(n int, age, span time.Duration, now time.Time) {
	w.advance(span, now)
	slot := min(w.last, slotOf(span, now.Add(-max(0, age))))
	if age > span || w.last-slot >= int64(len(w.slots)) {
		return
	}
	s := &w.slots[w.index(slot)]
	*s = int32(max(0, min(maxCount, int(*s)+n)))
}

// remove removes the newest request.
func (w *window) remove(span time.Duration, now time.Time) {
	w.advance(span, now)
	for i := range int64(len(w.slots)) {
		if s := &w.slots[w.index(w.last-i)]; *s > 0 {
			*s--
			return
		}
	}
}

// each calls f for the non-empty slots, the newest first, with the lowest possible age of their requests.
func (w *window) each(span time.Duration, now time.Time, f func(n int, age time.Duration)) {
	w.advance(span, now)
	width := max(1, int64(span/windowSlots))
	for i := range int64(len(w.slots)) {
		slot := w.last - i
		if n := w.slots[w.index(slot)]; n > 0 {
			f(int(n), max(0, time.Duration(now.UnixNano()-(slot+1)*width)))
		}
	}
}

// sum returns the requests in the window.
func (w *window) sum(span time.Duration, now time.Time) (total int) {
	w.each(span, now, func(n int, _ time.Duration) { total += n })
	return total
}

package limit

import "time"

const (
	// ShedPause is how long, after a server shed a request, it runs no more requests
	// of this host than it did at that moment.
	ShedPause = 25 * time.Millisecond
	// rampDuration is the time in which the limit of a restarted server grows from one
	// slot to the full share.
	rampDuration = 2 * time.Second
)

// Slots limits the requests that this host runs on one backend server. It is not safe
// for concurrent use.
type Slots struct {
	share     int
	inUse     int
	shedUntil time.Time
	// inUseAtShed is the number of requests running when a request was last shed.
	inUseAtShed int
	rampStart   time.Time
}

// NewSlots returns the limiter of a server of which this home holds share slots.
func NewSlots(share int) Slots {
	return Slots{share: share}
}

// SetShare changes the number of slots held. Running requests are unaffected.
func (s *Slots) SetShare(share int) { s.share = share }

// Share returns the number of slots held, without temporary reductions.
func (s *Slots) Share() int { return s.share }

// InUse returns the number of running requests.
func (s *Slots) InUse() int { return s.inUse }

// Free reports whether another request may start at now.
func (s *Slots) Free(now time.Time) bool { return s.inUse < s.Limit(now) }

// Limit returns how many requests may run at now: the share, reduced after a restart
// and after a shed request.
func (s *Slots) Limit(now time.Time) int {
	limit := s.share
	if age := now.Sub(s.rampStart); !s.rampStart.IsZero() && age < rampDuration && limit > 1 {
		limit = 1 + int(float64(limit-1)*float64(age)/float64(rampDuration))
	}
	if now.Before(s.shedUntil) {
		limit = min(limit, s.inUseAtShed)
	}
	return limit
}

// Acquire takes a slot and reports whether one was free.
func (s *Slots) Acquire(now time.Time) bool {
	if !s.Free(now) {
		return false
	}
	s.inUse++
	return true
}

// Release returns a slot taken by Acquire.
func (s *Slots) Release() { s.inUse-- }

// Shed records that the server refused a request because it was full. This happens when
// other hosts hold its slots or cancelled requests still run, so the limit is lowered for
// ShedPause.
func (s *Slots) Shed(now time.Time) {
	s.shedUntil = now.Add(ShedPause)
	s.inUseAtShed = s.inUse
}

// StartRampUp records that the server started at about now, which begins its ramp-up.
func (s *Slots) StartRampUp(now time.Time) { s.rampStart = now }

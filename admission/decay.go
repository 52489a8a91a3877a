package admission

import (
	"math"
	"time"
)

// decayedSum is a sum whose terms lose weight exponentially with their age.
type decayedSum struct {
	value float64
	at    time.Time
}

// add adds a term at now. span is the time constant of the decay.
func (s *decayedSum) add(term float64, span time.Duration, now time.Time) {
	s.value = s.value*math.Exp(-float64(now.Sub(s.at))/float64(span)) + term
	s.at = now
}

// rate returns the mean sum of terms per second within the last span.
func (s *decayedSum) rate(span time.Duration, now time.Time) float64 {
	return s.value * math.Exp(-float64(max(now.Sub(s.at), 0))/float64(span)) / span.Seconds()
}

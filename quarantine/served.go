package quarantine

import "time"

// maxServed bounds each of the two generations of a servedSet, at some 50 bytes per request. A
// request that many callers repeat enters again with each reply.
const maxServed = 4096

// servedSet remembers when requests were last served: the last maxServed of them at least.
type servedSet struct {
	current, previous map[Fingerprint]time.Time
}

// add records that a request was served.
func (s *servedSet) add(f Fingerprint, now time.Time) {
	if _, known := s.current[f]; !known && len(s.current) >= maxServed {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[Fingerprint]time.Time{}
	}
	s.current[f] = now
}

// within returns when a request was last served, if that is less than servedGrace ago.
func (s *servedSet) within(f Fingerprint, now time.Time) (time.Time, bool) {
	at, known := s.current[f]
	if !known {
		at, known = s.previous[f]
	}
	return at, known && now.Sub(at) < servedGrace
}

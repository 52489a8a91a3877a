package discovery

import "time"

// expiryHeartbeats is the number of heartbeat intervals after which a registration expires that its
// server has not renewed.
const expiryHeartbeats = 3

// Contact is the latest span of time in which the store is known to have been in service: it responded
// to some host often enough that no registration can have lapsed. A host extends it by its own calls and
// by what other hosts report of theirs, so that a host which cannot reach the store itself does not
// mistake this for an outage. A store that was never heard is not in service.
type Contact struct {
	// maxGap is the longest time between two responses in the span.
	maxGap      time.Duration
	since, last time.Time
	// interrupted is set if an interruption before since is known.
	interrupted bool
	// suspended is for how long the machine was suspended since last.
	suspended time.Duration
}

// NewContact returns the contact with a store in which servers renew their registrations once every
// heartbeat. The last renewal before an outage is at most one heartbeat old, so that registrations lapse
// only in an outage that lasts for the others that they need to expire.
func NewContact(heartbeat time.Duration) Contact {
	return Contact{maxGap: (expiryHeartbeats - 1) * heartbeat}
}

// Heard records that the store responded at a time, and had been in service without interruption for
// inService before it.
func (c *Contact) Heard(at time.Time, inService time.Duration) {
	start := at.Add(-inService)
	switch {
	case c.last.IsZero():
		c.since = start
	case start.Sub(c.last) > c.maxGap+c.suspended:
		c.since, c.interrupted = start, true
	case c.since.Sub(at) > c.maxGap:
		return // The span ended before an interruption that is known.
	case start.Before(c.since):
		c.since = start
	}
	if at.After(c.last) {
		c.last, c.suspended = at, 0
	}
}

// Last returns when the store was last heard, or the zero time.
func (c *Contact) Last() time.Time { return c.last }

// Length returns the length of the span.
func (c *Contact) Length() time.Duration { return c.last.Sub(c.since) }

// Current reports whether the store is in service as far as is known.
func (c *Contact) Current(now time.Time) bool {
	return !c.last.IsZero() && now.Sub(c.last) <= c.maxGap+c.suspended
}

// Settled reports whether an entry that is missing from the store is gone: the store has been in service
// for grace since its last known outage, in which the entry could have lapsed.
func (c *Contact) Settled(grace time.Duration, now time.Time) bool {
	return c.Current(now) && (!c.interrupted || c.Length() >= grace)
}

// AddSuspension moves the span earlier by d, the time that the machine was suspended and that its
// monotonic clock did not count. A suspension of the machine is no interruption of the store.
func (c *Contact) AddSuspension(d time.Duration) {
	if c.last.IsZero() {
		return
	}
	c.since, c.last, c.suspended = c.since.Add(-d), c.last.Add(-d), c.suspended+d
}

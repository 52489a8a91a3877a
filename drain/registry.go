package drain

import (
	"slices"
	"strings"
	"time"
)

const (
	// NoticeTTL is the time after its last confirmation at which a notice expires.
	NoticeTTL = 30 * time.Second
	// minExtension is the least extension of a notice's expiry at which a confirmation is
	// announced again.
	minExtension = NoticeTTL / 3
	// announceTime is how long a new or extended notice is sent with heartbeats.
	announceTime = 5 * time.Second
)

// Notice states that one incarnation of a server is leaving.
type Notice struct {
	Address string
	// Incarnation is the incarnation of the server; 0 means the one currently running.
	Incarnation uint64
	// TTL is the remaining time to live.
	TTL time.Duration
}

// record is the stored form of a notice.
type record struct {
	incarnation uint64
	// expires is when the notice expires, announceUntil when it is no longer announced.
	expires       time.Time
	announceUntil time.Time
}

// Registry holds the notices known to one host. It is not safe for concurrent use.
type Registry struct {
	records map[string]record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[string]record{}}
}

// Add records a notice and reports whether it was new. A notice about an earlier incarnation
// than the known one is ignored, as is a confirmation that extends the expiry by less than
// minExtension.
func (r *Registry) Add(notice Notice, now time.Time) bool {
	known, ok := r.records[notice.Address]
	expires := now.Add(min(notice.TTL, NoticeTTL))
	if ok && notice.Incarnation < known.incarnation {
		return false
	}
	isNew := !ok || notice.Incarnation > known.incarnation || !now.Before(known.expires)
	if !isNew && expires.Sub(known.expires) < minExtension {
		return false
	}
	r.records[notice.Address] = record{
		incarnation:   notice.Incarnation,
		expires:       expires,
		announceUntil: now.Add(announceTime),
	}
	return isNew
}

// Started records that an incarnation of a server was seen running and not leaving. It
// removes a notice about an earlier incarnation and reports whether there was one. A notice
// without an incarnation stays until it expires.
func (r *Registry) Started(address string, incarnation uint64) bool {
	known, ok := r.records[address]
	if !ok || known.incarnation == 0 || incarnation <= known.incarnation {
		return false
	}
	delete(r.records, address)
	return true
}

// Expire removes expired notices and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	expired := false
	for address, known := range r.records {
		if !now.Before(known.expires) {
			delete(r.records, address)
			expired = true
		}
	}
	return expired
}

// Leaving returns the incarnation that is leaving at an address, or false if none is.
func (r *Registry) Leaving(address string, now time.Time) (uint64, bool) {
	known, ok := r.records[address]
	if !ok || !now.Before(known.expires) {
		return 0, false
	}
	return known.incarnation, true
}

// Pending returns the notices to send to other hosts, ordered by address.
func (r *Registry) Pending(now time.Time) []Notice {
	return r.notices(func(k record) bool { return now.Before(k.announceUntil) }, now)
}

// All returns every notice that has not expired, ordered by address.
func (r *Registry) All(now time.Time) []Notice {
	return r.notices(func(record) bool { return true }, now)
}

// notices returns the unexpired notices that keep accepts, ordered by address.
func (r *Registry) notices(keep func(record) bool, now time.Time) []Notice {
	var notices []Notice
	for address, known := range r.records {
		if keep(known) && now.Before(known.expires) {
			notices = append(notices, Notice{Address: address, Incarnation: known.incarnation, TTL: known.expires.Sub(now)})
		}
	}
	slices.SortFunc(notices, func(a, b Notice) int { return strings.Compare(a.Address, b.Address) })
	return notices
}

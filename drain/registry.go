package drain

import (
	"slices"
	"strings"
	"time"
)

const (
	// NoticeTTL is the time after its last confirmation at which a fact expires.
	NoticeTTL = 30 * time.Second
	// minExtension is the least extension of a fact's expiry at which a confirmation is
	// announced again.
	minExtension = NoticeTTL / 3
	// announceTime is how long a new or extended fact is sent with heartbeats.
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

// record is the stored form of a fact.
type record struct {
	incarnation uint64
	// expires is when the fact expires, announceUntil when it is no longer announced.
	expires       time.Time
	announceUntil time.Time
}

// Registry holds the facts known to one host. It is not safe for concurrent use.
type Registry struct {
	records map[string]record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[string]record{}}
}

// Add records a fact and reports whether it was new. A fact about an earlier incarnation
// than the known one is ignored, as is a confirmation that extends the expiry by less than
// minExtension.
func (r *Registry) Add(fact Notice, now time.Time) bool {
	known, ok := r.records[fact.Address]
	expires := now.Add(min(fact.TTL, NoticeTTL))
	if ok && fact.Incarnation < known.incarnation {
		return false
	}
	isNew := !ok || fact.Incarnation > known.incarnation || !now.Before(known.expires)
	if !isNew && expires.Sub(known.expires) < minExtension {
		return false
	}
	r.records[fact.Address] = record{
		incarnation:   fact.Incarnation,
		expires:       expires,
		announceUntil: now.Add(announceTime),
	}
	return isNew
}

// Started records that an incarnation of a server was seen running and not leaving. It
// removes a fact about an earlier incarnation and reports whether there was one. A fact
// without an incarnation stays until it expires.
func (r *Registry) Started(address string, incarnation uint64) bool {
	known, ok := r.records[address]
	if !ok || known.incarnation == 0 || incarnation <= known.incarnation {
		return false
	}
	delete(r.records, address)
	return true
}

// Expire removes expired facts and reports whether there were any.
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

// Pending returns the facts to send to other hosts, ordered by address.
func (r *Registry) Pending(now time.Time) []Notice {
	return r.facts(func(k record) bool { return now.Before(k.announceUntil) }, now)
}

// All returns every fact that has not expired, ordered by address.
func (r *Registry) All(now time.Time) []Notice {
	return r.facts(func(record) bool { return true }, now)
}

// facts returns the unexpired facts that keep accepts, ordered by address.
func (r *Registry) facts(keep func(record) bool, now time.Time) []Notice {
	var facts []Notice
	for address, known := range r.records {
		if keep(known) && now.Before(known.expires) {
			facts = append(facts, Notice{Address: address, Incarnation: known.incarnation, TTL: known.expires.Sub(now)})
		}
	}
	slices.SortFunc(facts, func(a, b Notice) int { return strings.Compare(a.Address, b.Address) })
	return facts
}

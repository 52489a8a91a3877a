package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// ReturnGrace is for how long after the store's return an entry that lapsed in
// the outage may still come back: the store's operators name about two seconds.
const ReturnGrace = 2200 * time.Millisecond

// Server is one running server as its registration describes it.
type Server struct {
	// ID names the server. Another process may start under the same one: then Born differs.
	ID      string
	Service string
	// Address is where it is called, IP:port. It may be used again by another
	// server after this one ended.
	Address string
	// Domain is the failure domain it stands in.
	Domain string
	// Version is that of its software; empty is unknown.
	Version string
	// Slots is the number of requests it runs at a time.
	Slots int
	// Draining servers finish what they have and get nothing new.
	Draining bool
	// Cold is for how much longer it is slow after its start, when registered.
	Cold time.Duration
	// ColdUntil is when it is slow no longer, as far as the registry knows; zero is never
	// slow. The registry sets it.
	ColdUntil time.Time
	// Born is when its process started, in milliseconds of Unix time; 0 is unknown.
	Born int64
	// Evacuated servers stand in a failure domain that is to get nothing. The registry sets
	// it.
	Evacuated bool
}

// Replaces reports whether the server is a later process under the identifier of another.
func (s Server) Replaces(other Server) bool { return s.Born > other.Born && other.Born > 0 }

type entry struct {
	server Server
	// missing is set where the entry lapsed in an outage of the store.
	missing bool
}

// Registry holds the servers known to one host. It is not safe for concurrent
// use.
type Registry struct {
	entries map[string]*entry
	away    bool
	// trustFrom is when missing entries count as gone again.
	trustFrom time.Time
	loaded    bool
	// evacuated are the failure domains whose servers are to get nothing.
	evacuated map[string]bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, evacuated: map[string]bool{}}
}

// Loaded reports whether all registrations were read at least once.
func (r *Registry) Loaded() bool { return r.loaded }

// StoreLost notes that the store does not answer.
func (r *Registry) StoreLost() { r.away = true }

// StoreRegained notes that the store answers, and reports whether it was away.
func (r *Registry) StoreRegained(now time.Time) bool {
	if !r.away {
		return false
	}
	r.away = false
	r.trustFrom = now.Add(ReturnGrace)
	return true
}

// Put takes a registration in, and reports whether it counts: that of an earlier process
// than the one known does not. One that does not tell when its process started is of the
// process known.
func (r *Registry) Put(server Server, now time.Time) bool {
	if known, ok := r.entries[server.ID]; ok {
		if server.Born == 0 {
			server.Born = known.server.Born
		}
		if known.server.Replaces(server) {
			return false
		}
	}
	server.ColdUntil = time.Time{}
	if server.Cold > 0 {
		server.ColdUntil = now.Add(server.Cold)
	}
	r.entries[server.ID] = &entry{server: server}
	return true
}

// Drop takes a server out whose registration cannot be read, and reports whether it was
// known.
func (r *Registry) Drop(id string) bool {
	_, known := r.entries[id]
	delete(r.entries, id)
	return known
}

// Evacuate notes that the servers of a failure domain are to get nothing, and reports
// whether that is news.
func (r *Registry) Evacuate(domain string) bool {
	news := !r.evacuated[domain]
	r.evacuated[domain] = true
	return news
}

// Restore takes an evacuation back, and reports whether there was one. The servers may have
// become cold meanwhile; coldFor tells for how long those of a service are then.
func (r *Registry) Restore(domain string, coldFor func(service string) time.Duration, now time.Time) bool {
	if !r.evacuated[domain] {
		return false
	}
	delete(r.evacuated, domain)
	for _, e := range r.entries {
		if until := now.Add(coldFor(e.server.Service)); e.server.Domain == domain && until.After(e.server.ColdUntil) {
			e.server.ColdUntil = until
		}
	}
	return true
}

// Server returns a server by its identifier.
func (r *Registry) Server(id string) (Server, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Server{}, false
	}
	return e.server, true
}

// Remove takes a server out that the store no longer names, and reports whether it
// is gone: one that lapsed in an outage of the store still counts.
func (r *Registry) Remove(id string, now time.Time) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	if r.away || now.Before(r.trustFrom) {
		e.missing = true
		return false
	}
	delete(r.entries, id)
	return true
}

// Complete notes that all registrations were read.
func (r *Registry) Complete() { r.loaded = true }

// Expire drops the entries that lapsed and did not come back in time, and
// returns their servers.
func (r *Registry) Expire(now time.Time) []Server {
	if r.away || now.Before(r.trustFrom) {
		return nil
	}
	var gone []Server
	for id, e := range r.entries {
		if e.missing {
			gone = append(gone, e.server)
			delete(r.entries, id)
		}
	}
	return gone
}

// Slept takes in that the machine was suspended for a time, which the clock of the registry
// did not count.
func (r *Registry) Slept(d time.Duration) {
	if !r.trustFrom.IsZero() {
		r.trustFrom = r.trustFrom.Add(-d)
	}
	for _, e := range r.entries {
		if !e.server.ColdUntil.IsZero() {
			e.server.ColdUntil = e.server.ColdUntil.Add(-d)
		}
	}
}

// Servers returns all servers, in the order of their identifiers.
func (r *Registry) Servers() []Server {
	servers := make([]Server, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		server := r.entries[id].server
		server.Evacuated = r.evacuated[server.Domain]
		servers = append(servers, server)
	}
	return servers
}

// ByService groups servers by their service.
func ByService(servers []Server) map[string][]Server {
	groups := map[string][]Server{}
	for _, s := range servers {
		groups[s.Service] = append(groups[s.Service], s)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return groups
}

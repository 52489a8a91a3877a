package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// ReregistrationGrace is how long after an outage of the store lapsed entries are kept.
// The operators of the store state that servers register again within about two seconds.
const ReregistrationGrace = 2200 * time.Millisecond

// Server is a running server as described by its registration.
type Server struct {
	// ID identifies the server. A later process may reuse it with a different StartedAtMillis.
	ID      string
	Service string
	// Address is the IP:port of the server. Another server may reuse it after this
	// one ended.
	Address string
	// Domain is the failure domain of the server.
	Domain string
	// Version is the software version; empty means unknown.
	Version string
	// Slots is the maximum number of requests that the server runs concurrently.
	Slots int
	// Draining is set if the server finishes its requests and gets no new ones.
	Draining bool
	// ColdDuration is the time from registration until the server has warmed up.
	ColdDuration time.Duration
	// ColdUntil is when the server has warmed up; the zero time means that it is warm.
	// It is set by the registry.
	ColdUntil time.Time
	// StartedAtMillis is the start time of the process in Unix milliseconds; 0 means unknown.
	StartedAtMillis int64
	// Evacuated is set if the failure domain of the server gets no requests. It is set
	// by the registry.
	Evacuated bool
	// Unregistered is set if the registration has disappeared and the server is still in use,
	// because it may have lapsed in an outage of the store. It is set by the registry.
	Unregistered bool
}

// Replaces reports whether s is a later process than other under the same identifier.
// It returns false if either start time is unknown.
func (s Server) Replaces(other Server) bool {
	return s.StartedAtMillis > other.StartedAtMillis && other.StartedAtMillis > 0
}

type entry struct {
	server Server
	// lapsed is set if the registration disappeared while the store was not known to have been in
	// service for ReregistrationGrace.
	lapsed bool
}

// Registry holds the servers known to one host. It is not safe for concurrent
// use.
type Registry struct {
	entries map[string]*entry
	// Contact is the contact of this host, and of those that it hears from, with the store.
	Contact Contact
	loaded  bool
	// evacuated is the set of failure domains that get no requests.
	evacuated map[string]bool
}

// NewRegistry returns an empty registry of servers that renew their registrations once every heartbeat.
func NewRegistry(heartbeat time.Duration) *Registry {
	return &Registry{Contact: NewContact(heartbeat), entries: map[string]*entry{}, evacuated: map[string]bool{}}
}

// Loaded reports whether all registrations have been read at least once.
func (r *Registry) Loaded() bool { return r.loaded }

// Put adds or replaces a registration, and reports whether it did. A registration from
// an earlier process than the known one is ignored. One without a start time is
// attributed to the known process.
func (r *Registry) Put(server Server, now time.Time) bool {
	if known, ok := r.entries[server.ID]; ok {
		if server.StartedAtMillis == 0 {
			server.StartedAtMillis = known.server.StartedAtMillis
		}
		if known.server.Replaces(server) {
			return false
		}
	}
	server.ColdUntil = time.Time{}
	if server.ColdDuration > 0 {
		server.ColdUntil = now.Add(server.ColdDuration)
	}
	r.entries[server.ID] = &entry{server: server}
	return true
}

// Drop removes a server whose registration cannot be decoded, and reports whether it
// was known.
func (r *Registry) Drop(id string) bool {
	_, known := r.entries[id]
	delete(r.entries, id)
	return known
}

// Evacuate marks a failure domain whose servers get no requests, and reports whether it
// was unmarked before.
func (r *Registry) Evacuate(domain string) bool {
	added := !r.evacuated[domain]
	r.evacuated[domain] = true
	return added
}

// Restore ends the evacuation of a failure domain, and reports whether there was one. Its
// servers may have become cold meanwhile; coldDuration returns how long those of a service
// stay cold.
func (r *Registry) Restore(domain string, coldDuration func(service string) time.Duration, now time.Time) bool {
	if !r.evacuated[domain] {
		return false
	}
	delete(r.evacuated, domain)
	for _, e := range r.entries {
		if until := now.Add(coldDuration(e.server.Service)); e.server.Domain == domain && until.After(e.server.ColdUntil) {
			e.server.ColdUntil = until
		}
	}
	return true
}

// Server returns the server with an identifier, and whether it is known.
func (r *Registry) Server(id string) (Server, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Server{}, false
	}
	return e.server, true
}

// Remove removes a server whose registration is no longer in the store, and reports
// whether it did. While the store is not known to have been in service for ReregistrationGrace,
// the server is kept and only marked as lapsed.
func (r *Registry) Remove(id string, now time.Time) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	if !r.Contact.Settled(ReregistrationGrace, now) {
		e.lapsed = true
		return false
	}
	delete(r.entries, id)
	return true
}

// MarkLoaded records that all registrations have been read.
func (r *Registry) MarkLoaded() { r.loaded = true }

// Expire removes the lapsed entries once the store is known to have been in service for
// ReregistrationGrace, and returns their servers.
func (r *Registry) Expire(now time.Time) []Server {
	if !r.Contact.Settled(ReregistrationGrace, now) {
		return nil
	}
	var expired []Server
	for id, e := range r.entries {
		if e.lapsed {
			expired = append(expired, e.server)
			delete(r.entries, id)
		}
	}
	return expired
}

// AddSuspension moves the times of the registry earlier by d, the time that the machine was
// suspended and that its monotonic clock did not count.
func (r *Registry) AddSuspension(d time.Duration) {
	r.Contact.AddSuspension(d)
	for _, e := range r.entries {
		if !e.server.ColdUntil.IsZero() {
			e.server.ColdUntil = e.server.ColdUntil.Add(-d)
		}
	}
}

// Servers returns all servers, sorted by identifier.
func (r *Registry) Servers() []Server {
	servers := make([]Server, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		server := r.entries[id].server
		server.Evacuated = r.evacuated[server.Domain]
		server.Unregistered = r.entries[id].lapsed
		servers = append(servers, server)
	}
	return servers
}

// ByService groups servers by service, each group sorted by identifier.
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

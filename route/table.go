package route

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/mallowgap/mallowgap/team"
)

// Table finds the route of a request in one configuration. It is immutable except
// for the state of its round robins, and safe for concurrent use.
type Table struct {
	config   Config
	byHost   map[string][]*Entry
	services map[string]Service
	shards   map[string]bool
	// shardSets holds the distinct lists of shards of the queries, in the order given.
	// Lists that differ only in their order are distinct.
	shardSets  [][]string
	routeNames map[string]bool
	// gates holds the servers of each admission gate by the name of the gate.
	gates map[string]GateServers
	teams *team.Directory
	// limitsTeams is set if a team has a limit.
	limitsTeams bool
}

// Entry is a route of a table.
type Entry struct {
	*Route
	split roundRobin
	// MaxMissing is, for a query, the number of shards that may be missing from its
	// answer under the strictest MinShare of all queries over the same list of shards.
	MaxMissing int
	// shardSet is, for a query, the index of its shards in Table.shardSets.
	shardSet int
}

// NewTable returns the table of a valid configuration, which must not change afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		config: config, byHost: map[string][]*Entry{}, services: make(map[string]Service, len(config.Services)), shards: map[string]bool{},
		routeNames: make(map[string]bool, len(config.Routes)), gates: map[string]GateServers{},
	}
	entries := make([]Entry, len(config.Routes))
	// maxMissing is Entry.MaxMissing of the queries over each of shardSets.
	var maxMissing []int
	for i := range config.Routes {
		r, e := &config.Routes[i], &entries[i]
		t.routeNames[r.Name] = true
		if q := r.Query; q != nil {
			e.shardSet = t.addShards(q)
			if e.shardSet == len(maxMissing) {
				maxMissing = append(maxMissing, len(q.Shards))
			}
			maxMissing[e.shardSet] = min(maxMissing[e.shardSet], len(q.Shards)-int(math.Ceil(q.MinShare*float64(len(q.Shards)))))
		}
		t.addGates(r)
		e.Route = r
		if len(r.Targets) > 1 {
			e.split.current = make([]float64, len(r.Targets))
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], e)
	}
	for _, entries := range t.byHost {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	for i := range entries {
		if entries[i].Query != nil {
			entries[i].MaxMissing = maxMissing[entries[i].shardSet]
		}
	}
	if len(config.Teams) > 0 {
		t.teams = team.NewDirectory(config.Teams)
		t.limitsTeams = slices.ContainsFunc(config.Teams, func(t team.Team) bool { return t.Limit.Limited() })
		t.config.Teams = nil // The directory holds no key in clear.
	}
	return t
}

// addShards adds the shards of a query and returns the index of their list in shardSets.
func (t *Table) addShards(q *Query) int {
	i := slices.IndexFunc(t.shardSets, func(set []string) bool { return slices.Equal(set, q.Shards) })
	if i >= 0 {
		return i
	}
	t.shardSets = append(t.shardSets, q.Shards)
	for _, shard := range q.Shards {
		t.shards[shard] = true
	}
	return len(t.shardSets) - 1
}

// ShardSets returns the distinct lists of shards of the queries, in the order given. Lists
// that differ only in their order are distinct.
func (t *Table) ShardSets() [][]string { return t.shardSets }

// IsShard reports whether a service is a shard of a query.
func (t *Table) IsShard(service string) bool { return t.shards[service] }

// HasRoute reports whether a route with the name exists.
func (t *Table) HasRoute(name string) bool { return t.routeNames[name] }

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits of the configuration.
func (t *Table) Limits() Limits { return t.config.Limits }

// Teams returns the teams of the configuration, or nil if it has none.
func (t *Table) Teams() *team.Directory { return t.teams }

// LimitsTeams reports whether a team of the configuration has a limit.
func (t *Table) LimitsTeams() bool { return t.limitsTeams }

// Service returns the named service. If the configuration does not describe it,
// only its name is set.
func (t *Table) Service(name string) Service {
	s, ok := t.services[name]
	if !ok {
		s.Name = name
	}
	return s
}

// Match returns the route of a request, or nil if there is none. A port in host is
// ignored.
func (t *Table) Match(host, path string) *Entry {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, e := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Choose returns the service for the next request of a route with targets. It
// splits requests in proportion to the weights.
func (e *Entry) Choose() string {
	if len(e.Targets) == 1 {
		return e.Targets[0].Service
	}
	return e.Targets[e.split.next(e.Targets)].Service
}

// roundRobin is a smooth weighted round robin.
type roundRobin struct {
	mu      sync.Mutex
	current []float64
}

func (s *roundRobin) next(targets []Target) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, total := 0, 0.0
	for i, t := range targets {
		s.current[i] += t.Weight
		total += t.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= total
	return best
}

// Holder holds the newest table. It is not safe for concurrent use.
type Holder struct{ table *Table }

// Table returns the newest table, or nil if none was adopted yet.
func (h *Holder) Table() *Table { return h.table }

// Adopt replaces the table by one for config if config is valid and newer, and
// reports whether it did. An error is an *InvalidError.
func (h *Holder) Adopt(config Config) (bool, error) {
	if h.table != nil && config.Version <= h.table.Version() {
		return false, nil
	}
	if err := config.Validate(); err != nil {
		return false, err
	}
	h.table = NewTable(config)
	return true, nil
}

package route

import (
	"fmt"
	"strings"
	"time"
)

// InvalidError reports an invalid value in a configuration and how to correct it.
type InvalidError struct {
	Version uint64
	// Route, Service or Team is the name of what the value belongs to; the others are empty.
	Route, Service, Team string
	Field                string
	Remedy               string
}

// Error returns the name of the value and the remedy.
func (e *InvalidError) Error() string {
	kind, name := "route", e.Route
	switch {
	case e.Service != "":
		kind, name = "service", e.Service
	case e.Team != "":
		kind, name = "team", e.Team
	}
	return fmt.Sprintf("configuration %d: %s %q: invalid %s: %s", e.Version, kind, name, e.Field, e.Remedy)
}

// Warnings returns the invalid values for which the configuration was not rejected.
// Each names the value that is used instead.
func (t *Table) Warnings() []*InvalidError {
	c := &t.config
	var warnings []*InvalidError
	for i := range c.Routes {
		r := &c.Routes[i]
		warn := func(field, remedy string) {
			warnings = append(warnings, &InvalidError{Version: c.Version, Route: r.Name, Field: field, Remedy: remedy})
		}
		if r.Priority < 0 {
			warn("priority", "0, the highest, is used instead; set 0 or more")
		}
		if r.Objective == 0 {
			warn("objective", "half of the timeout is used instead; set a positive time")
		}
		if r.Objective > r.Timeout {
			warn("objective", "the timeout is used instead; set a time no longer than the timeout")
		}
		if r.MaxAttempts > maxAttempts {
			warn("max attempts", fmt.Sprintf("%d is used instead, as no service has more servers in use; set no more", maxAttempts))
		}
	}
	for _, s := range c.Services {
		for _, field := range s.UndecodableFields {
			warnings = append(warnings, &InvalidError{Version: c.Version, Service: s.Name, Field: field, Remedy: "it is treated as unknown; set 0 or a positive number"})
		}
	}
	if t.teams != nil {
		for _, p := range t.teams.Problems() {
			warnings = append(warnings, &InvalidError{Version: c.Version, Team: p.Team, Field: p.Field, Remedy: p.Remedy})
		}
	}
	return warnings
}

// Rank returns the priority of the route; 0 is the highest, and negative values
// count as 0.
func (r *Route) Rank() uint32 { return uint32(max(r.Priority, 0)) }

// maxAttempts limits MaxAttempts: a host uses at most so many servers of a service.
const maxAttempts = 64

// EffectiveMaxAttempts returns the maximum number of servers that one request is sent to.
func (r *Route) EffectiveMaxAttempts() int { return min(r.MaxAttempts, maxAttempts) }

// maxTop limits Top to more records than an answer can hold in memory, so that their size in bytes
// and their number in messages between hosts do not overflow.
const maxTop = 1 << 30

// EffectiveTop returns the number of records in an answer.
func (q *Query) EffectiveTop() int { return min(q.Top, maxTop) }

// defaultObjectiveShare is the default objective as a share of the timeout.
const defaultObjectiveShare = 0.5

// EffectiveObjective returns the effective latency objective: the default if the route has none,
// and at most the timeout.
func (r *Route) EffectiveObjective() time.Duration {
	if r.Objective <= 0 {
		return time.Duration(defaultObjectiveShare * float64(r.Timeout))
	}
	return min(r.Objective, r.Timeout)
}

// Validate returns an *InvalidError for the first value that makes the configuration
// unusable, or nil.
func (c *Config) Validate() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		if field, remedy := r.invalidField(); field != "" {
			return &InvalidError{Version: c.Version, Route: r.Name, Field: field, Remedy: remedy}
		}
	}
	return nil
}

// invalidField returns the first invalid field and its remedy, or empty strings.
func (r *Route) invalidField() (field, remedy string) {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "prefix", "begin and end it with a slash"
	case r.Timeout <= 0:
		return "timeout", "set a positive time"
	case r.Objective < 0:
		return "objective", "set a positive time, or 0 for none"
	case r.MaxAttempts < 1:
		return "max attempts", "set 1 or more"
	case r.Query == nil && len(r.Targets) == 0:
		return "targets", "set a service or a set of shards"
	case r.Query != nil:
		return r.Query.invalidField()
	}
	return r.invalidTarget()
}

func (r *Route) invalidTarget() (field, remedy string) {
	total := 0.0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return "weight", "set 0 or more"
		}
		total += t.Weight
	}
	if total <= 0 {
		return "weight", "set a weight above 0 for at least one service"
	}
	return "", ""
}

func (q *Query) invalidField() (field, remedy string) {
	seen := map[string]bool{}
	for _, shard := range q.Shards {
		if seen[shard] {
			return "shards", "list each shard once"
		}
		seen[shard] = true
	}
	switch {
	case len(q.Shards) == 0:
		return "shards", "list at least one shard"
	case q.Top < 1:
		return "top", "set the number of records of an answer to 1 or more"
	case q.MinShare < 0 || q.MinShare > 1:
		return "min share", "set a share from 0 to 1"
	}
	return "", ""
}

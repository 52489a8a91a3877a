package route

import (
	"fmt"
	"strings"
	"time"
)

// InvalidError says which value of a configuration cannot be used, and why.
type InvalidError struct {
	Version uint64
	// Route is the name of the route, or empty; Service that of the service.
	Route, Service string
	Field          string
	Remedy         string
}

// Error names the value and the remedy.
func (e *InvalidError) Error() string {
	if e.Service != "" {
		return fmt.Sprintf("configuration %d: service %q: %s is not usable: %s", e.Version, e.Service, e.Field, e.Remedy)
	}
	return fmt.Sprintf("configuration %d: route %q: %s is not usable: %s", e.Version, e.Route, e.Field, e.Remedy)
}

// Warnings returns the values that are odd but do not keep a configuration from
// being used. Each says what is done instead.
func (c *Config) Warnings() []*InvalidError {
	var warnings []*InvalidError
	for i := range c.Routes {
		r := &c.Routes[i]
		warn := func(field, instead string) {
			warnings = append(warnings, &InvalidError{Version: c.Version, Route: r.Name, Field: field, Remedy: instead})
		}
		if r.Priority < 0 {
			warn("priority", "the highest rank, 0, is used instead; give 0 or more")
		}
		if r.Objective == 0 {
			warn("objective", "half of the timeout is used instead; give a positive time")
		}
		if r.Objective > r.Timeout {
			warn("objective", "the timeout is used instead; give a time that is not longer")
		}
	}
	for _, s := range c.Services {
		for _, field := range s.Odd {
			warnings = append(warnings, &InvalidError{Version: c.Version, Service: s.Name, Field: field, Remedy: "it is taken to be unknown; give 0 or a positive number"})
		}
	}
	return warnings
}

// Rank is the rank of the route's class; 0 is the highest.
func (r *Route) Rank() uint32 { return uint32(max(r.Priority, 0)) }

// noObjectiveShare stands for the objective of a route that has none, as a share of
// its timeout.
const noObjectiveShare = 0.5

// Goal is the time within which an answer has its full worth.
func (r *Route) Goal() time.Duration {
	if r.Objective <= 0 {
		return time.Duration(noObjectiveShare * float64(r.Timeout))
	}
	return min(r.Objective, r.Timeout)
}

// Validate reports the first value that cannot be used, as an *InvalidError.
func (c *Config) Validate() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		if field, remedy := r.problem(); field != "" {
			return &InvalidError{Version: c.Version, Route: r.Name, Field: field, Remedy: remedy}
		}
	}
	return nil
}

func (r *Route) problem() (field, remedy string) {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "prefix", "begin and end it with a slash"
	case r.Timeout <= 0:
		return "timeout", "give a positive time"
	case r.Objective < 0:
		return "objective", "give a positive time, or 0 for none"
	case r.MaxAttempts < 1:
		return "max attempts", "allow one attempt or more"
	case r.Query == nil && len(r.Targets) == 0:
		return "targets", "name a service or a set of shards"
	case r.Query != nil:
		return r.Query.problem()
	}
	return r.targetProblem()
}

func (r *Route) targetProblem() (field, remedy string) {
	total := 0.0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return "weight", "give 0 or more"
		}
		total += t.Weight
	}
	if total <= 0 {
		return "weight", "give one service a weight above 0"
	}
	return "", ""
}

func (q *Query) problem() (field, remedy string) {
	seen := map[string]bool{}
	for _, shard := range q.Shards {
		if seen[shard] {
			return "shards", "name each shard once"
		}
		seen[shard] = true
	}
	switch {
	case len(q.Shards) == 0:
		return "shards", "name one shard or more"
	case q.Top < 1:
		return "top", "give the number of records of an answer"
	case q.MinShare < 0 || q.MinShare > 1:
		return "least share", "give a share from 0 to 1"
	}
	return "", ""
}

package route

import (
	"time"

	"github.com/mallowgap/mallowgap/team"
)

// Config is one version of the routing configuration.
type Config struct {
	// Version orders configurations; a higher version is newer.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams are the teams whose keys requests carry. If there are none, keys are not looked at.
	Teams []team.Team
}

// Route describes how the requests for one host name and path prefix are served.
type Route struct {
	Name string
	// Host is the host name of the requests, without a port.
	Host string
	// Prefix is the path prefix of the requests. It begins and ends with a slash.
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective; 0 means none. See EffectiveObjective.
	Objective time.Duration
	// Priority is the priority of the route; 0 is the highest. See Rank.
	Priority int
	// MaxAttempts is the maximum number of servers that one request is sent to. For
	// a query, it applies to each shard.
	MaxAttempts int
	// Targets are the services that the requests are split among; empty for a query.
	Targets []Target
	// Query is set if a request fans out to a set of shards.
	Query *Query
	// HomeRegions are the regions whose servers and hosts may see a request.
	HomeRegions HomeRegions
	// Public is set if a request needs no key of a team.
	Public bool
}

// Target is a service of a route and its weight in the split of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Query describes an answer that is merged from several shards.
type Query struct {
	// Shards are the services that hold the shards of the index.
	Shards []string
	// Top is the number of records in an answer.
	Top int
	// MinShare is the minimum share of the shards (0 to 1) in an answer.
	MinShare float64
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that one server accepts from
	// all hosts together; 0 means unknown.
	MaxConns int
	// ColdDuration is how long a server is cold after its start; 0 means unknown.
	ColdDuration time.Duration
	// ColdPerSecond is the maximum request rate (per second) that a cold server
	// accepts from all hosts together; 0 means unknown and sets no limit.
	ColdPerSecond float64
	// UndecodableFields names the fields of the service that could not be decoded. They are treated
	// as unknown.
	UndecodableFields []string
}

// Limits bounds what a caller may send; 0 means no limit.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request's header and body.
	HeaderBytes, BodyBytes int
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

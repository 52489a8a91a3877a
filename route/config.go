package route

import "time"

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says what serves the requests of one host name and path prefix.
type Route struct {
	Name string
	// Host is the host name of the request, without a port.
	Host string
	// Prefix begins the paths of the route; it begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the number of servers that one request may be sent to; for
	// a query it counts for each shard.
	MaxAttempts int
	// Targets are the services that share the requests; empty for a query.
	Targets []Target
	// Query is set where requests are spread over a set of shards.
	Query *Query
	// Homes are the regions in which a request may be served or held.
	Homes Homes
}

// Target is one of the services of a route, with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Query describes an answer that is gathered from many shards.
type Query struct {
	// Shards are the services that hold the parts of the index.
	Shards []string
	// Top is the number of records in an answer.
	Top int
	// MinShare is the least share of the shards (0 to 1) of an answer.
	MinShare float64
}

// Service is a group of servers that answer alike.
type Service struct {
	Name string
	// MaxConns is the number of connections that one server accepts from all
	// hosts together; 0 is unknown.
	MaxConns int
	// ColdFor is for how long a server is cold after its start; 0 is unknown.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests a second that a cold server tolerates from
	// all hosts together; 0 is unknown, and no bound.
	ColdPerSecond float64
	// Odd names the fields of the service that could not be read; they are unknown.
	Odd []string
}

// Limits bound what a caller may send; 0 is no bound.
type Limits struct {
	// HeaderBytes bounds the header of a request, BodyBytes its body.
	HeaderBytes, BodyBytes int
	// IdleTimeout is for how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

// Package team finds the team of a request by its API key.
//
// Invariants: a key is kept and compared only as a digest, and appears in no error, log or
// message. A key that two teams hold belongs to neither. A Directory is immutable.
package team

import "github.com/mallowgap/mallowgap/quota"

// Team is a customer whose requests carry one of its keys.
type Team struct {
	Name string
	// Keys are the API keys, of any bytes.
	Keys []string
	// Priority is the priority of its requests; nil means that of the route. See Rank.
	Priority *int
	// Limit is the limit on its requests over all hosts.
	Limit quota.Limit
}

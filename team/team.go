// Package team finds the team of a request by its API key.
//
// Invariants: a key is kept and compared only as a digest, and appears in no error, log or
// message. A key that two teams hold belongs to neither. A Directory is immutable.
package team

import (
	"math"
	"strings"

	"github.com/mallowgap/mallowgap/quota"
)

// Team is a customer whose requests carry one of its keys.
type Team struct {
	Name string
	// Keys are the API keys, of any bytes.
	Keys []string
	// Priority is the priority of its requests; nil means that of the route. See Rank.
	Priority *int
	// Limit is the limit on its requests over all hosts.
	Limit quota.Limit
	// UndecodableFields names the fields of the team that could not be decoded. An undecodable
	// key is left out, an undecodable limit must be marked as invalid.
	UndecodableFields []string
}

// Rank returns the rank of a request of the team on a route of the given rank; 0 is the highest.
// The priority of the team takes precedence, and a negative one counts as 0. A request without a
// team, a nil *Team, has the rank of the route.
func (t *Team) Rank(routeRank uint32) uint32 {
	if t == nil || t.Priority == nil {
		return routeRank
	}
	return uint32(min(max(*t.Priority, 0), math.MaxInt32))
}

// Credential returns the key in the values of a request's Authorization header. It is not ok
// unless there is exactly one value, of the scheme Bearer in any case, followed by spaces and
// a key.
func Credential(authorization []string) (key string, ok bool) {
	if len(authorization) != 1 {
		return "", false
	}
	scheme, rest, _ := strings.Cut(authorization[0], " ")
	key = strings.TrimLeft(rest, " ")
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return "", false
	}
	return key, true
}

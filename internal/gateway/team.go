package gateway

import (
	"fmt"

	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/team"
)

const headerAuthorization = "Authorization"

// authenticate returns the team whose key a request carries, or nil if there is none and the route
// is public. It returns the answer that refuses the request and false if the route requires a key.
// If the configuration has teams, neither the key nor what the caller named as its team reaches
// a server or a relay. Without teams, nil in place of the directory, the request stays as it is.
func (g *Gateway) authenticate(teams *team.Directory, entry *route.Entry, r *Request) (*team.Team, Answer, bool) {
	if teams == nil {
		return nil, Answer{}, true
	}
	key, hasKey := team.Credential(r.Authorization)
	r.Authorization = nil
	r.Header.Del(headerAuthorization)
	r.Header.Del(g.adapters.TeamHeader)
	found, known := teams.Lookup(key)
	if known {
		r.Team = found.Name
		r.Header.Set(g.adapters.TeamHeader, found.Name)
	}
	switch {
	case known || entry.Public:
		return found, Answer{}, true
	case !hasKey:
		return nil, Answer{Outcome: Unauthorized, Cause: CauseMissingKey, Reason: fmt.Sprintf("the route %s requires a key: send one Authorization header of the form \"Bearer KEY\"", entry.Name)}, false
	}
	return nil, Answer{Outcome: Unauthorized, Cause: CauseUnknownKey, Reason: "the configuration in force assigns the key of the request to no team, or to several: send a valid key"}, false
}

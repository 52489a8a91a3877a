package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/route"
	"github.com/mallowgap/mallowgap/team"
)

const headerAuthorization = "Authorization"

// teamResult is what became of a request, for the metrics by team.
type teamResult string

const (
	teamServed  teamResult = "served"
	teamRefused teamResult = "refused"
	teamFailed  teamResult = "failed"
)

var teamResults = []teamResult{teamServed, teamRefused, teamFailed}

func teamResultOf(a Answer) teamResult {
	switch {
	case a.Outcome == Forwarded && a.Reply.OK() || a.Outcome == Gathered:
		return teamServed
	case a.Outcome == NotRun || a.Outcome == OverLimit:
		return teamRefused
	}
	return teamFailed
}

// teamMetrics counts requests by team, with labels of their own for the busiest teams only.
type teamMetrics struct {
	mu      sync.Mutex
	busiest *team.Busiest
}

func newTeamMetrics() *teamMetrics { return &teamMetrics{busiest: team.NewBusiest()} }

// count counts a request of a team. The lock keeps the series of a withdrawn label from coming
// back.
func (m *teamMetrics) count(name string, result teamResult, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	label, withdrawn := m.busiest.Count(name, now)
	for _, w := range withdrawn {
		for _, r := range teamResults {
			metrics.UnregisterMetric(teamMetric(w, r))
		}
	}
	metrics.GetOrCreateCounter(teamMetric(label, result)).Inc()
}

func teamMetric(label string, result teamResult) string {
	return fmt.Sprintf("mallowgap_team_requests_total{team=%q,result=%q}", label, result)
}

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

package gateway

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/api/relaypb"
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

// labelEscaper escapes the value of a label. The text format of metrics has no other escapes, unlike
// Go's quoted strings.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func teamMetric(label string, result teamResult) string {
	return fmt.Sprintf(`mallowgap_team_requests_total{team="%s",result="%s"}`, labelEscaper.Replace(label), result)
}

// authenticate returns the team whose key a request carries, or nil if there is none and the route
// is public. It returns the answer that refuses the request and false if the route requires a key.
// If the configuration has teams, neither the key nor what the caller named as its team reaches
// a server or a relay. Without teams, nil in place of the directory, the request stays as it is.
func (g *Gateway) authenticate(teams *team.Directory, entry *route.Entry, r *Request) (*team.Team, Answer, bool) {
	if teams == nil {
		return nil, Answer{}, true
	}
	found, known, hasKey := g.identify(teams, r)
	switch {
	case known || entry.Public:
		return found, Answer{}, true
	case !hasKey:
		return nil, Answer{Outcome: Unauthorized, Cause: CauseMissingKey, Reason: fmt.Sprintf("the route %s requires a key: send one Authorization header of the form \"Bearer KEY\"", entry.Name)}, false
	}
	return nil, Answer{Outcome: Unauthorized, Cause: CauseUnknownKey, Reason: "the configuration in force assigns the key of the request to no team, or to several: send a valid key"}, false
}

// identify finds the team whose key a request carries, and replaces the key, and what the caller
// named as its team, by the name of that team.
func (g *Gateway) identify(teams *team.Directory, r *Request) (found *team.Team, known, hasKey bool) {
	key, hasKey := team.Credential(r.Authorization)
	r.Authorization = nil
	r.Header.Del(headerAuthorization)
	r.Header.Del(g.adapters.TeamHeader)
	found, known = teams.Lookup(key)
	if known {
		r.Team = found.Name
		r.Header.Set(g.adapters.TeamHeader, found.Name)
	}
	return found, known, hasKey
}

// allowsRelayed reports whether the configuration of this host allows a relayed request. It checks
// only what the requesting host did not: requests of a host that looked at no key, as it knows no
// team or is of the previous build, and teams that a host knows from an older configuration.
func (g *Gateway) allowsRelayed(m *relaypb.GatherRequest, r *Request) bool {
	table := g.control.View().Table
	if table == nil || table.Teams() == nil || m.GetTeamsVersion() >= table.Version() {
		return true
	}
	var known bool
	if m.GetTeamsVersion() == 0 {
		r.Authorization = r.Header.Values(headerAuthorization)
		_, known, _ = g.identify(table.Teams(), r)
	} else if _, known = table.Teams().Team(r.Header.Get(g.adapters.TeamHeader)); !known {
		r.Header.Del(g.adapters.TeamHeader)
	}
	path, _, _ := strings.Cut(r.Target, "?")
	entry := table.Match(r.Host, path)
	return known || entry != nil && entry.Public
}

package gateway

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

const (
	// minAbsentRetryAfter and maxAbsentRetryAfter limit when a caller whose servers are gone is
	// told to retry: starting a process takes at least the former, and after the latter it should
	// try another host.
	minAbsentRetryAfter = 500 * time.Millisecond
	maxAbsentRetryAfter = 2 * time.Second
)

// absentError reports that nothing listens at the addresses of all servers of a shard.
type absentError struct {
	// wait is the time until one of the servers is tried again.
	wait time.Duration
}

// Error implements error.
func (e *absentError) Error() string {
	return fmt.Sprintf("nothing listens at the address of any server: start the servers; the next attempt at one is in %v", e.wait.Round(time.Millisecond))
}

// absenceCheck probes absent shards before a query is sent anywhere else. If a query depends on
// shards at whose servers nothing listened when they were last asked, these shards are asked first.
// If they are still gone the query is refused without any other server having run it; meanwhile
// other queries are refused at once. The zero value defers nothing.
type absenceCheck struct {
	// pending holds the absent shards that are being asked.
	pending map[int]bool
	// possible is the number of shards that may answer, including the pending ones; needed is the
	// number of shards that an answer needs.
	possible, needed int
}

// defers reports whether a shard must wait for the pending ones.
func (c *absenceCheck) defers(shard int) bool { return len(c.pending) > 0 && !c.pending[shard] }

// insufficient reports whether too few shards can answer.
func (c *absenceCheck) insufficient() bool { return c.possible < c.needed }

// resolveAbsence records the result of a call to a pending shard. The other shards follow once
// enough shards have servers.
func (q *query) resolveAbsence(r result) {
	check := &q.absence
	if !check.pending[r.shard] {
		return
	}
	delete(check.pending, r.shard)
	if r.absent {
		check.possible--
	}
	if check.possible-len(check.pending) >= check.needed {
		check.pending = nil
	}
	if len(check.pending) == 0 && !check.insufficient() {
		q.resumeHeldShards(time.Now())
	}
}

// lacksServers reports whether so many shards have no listening server that the query cannot be
// answered now. Otherwise it sets up the check of shards whose servers may be back.
func (q *query) lacksServers(now time.Time) bool {
	present, pending := 0, map[int]bool(nil)
	for n, g := range q.groups {
		switch presence, _ := g.presence(q.entry.HomeRegions, now); presence {
		case replica.Present:
			present++
		case replica.RetryDue:
			if pending == nil {
				pending = map[int]bool{} // Allocated only if needed, as few queries lack servers.
			}
			pending[n] = true
		}
	}
	needed := q.state.MinShards()
	if present >= needed {
		return false
	}
	q.absence = absenceCheck{pending: pending, possible: present + len(pending), needed: needed}
	return q.absence.insufficient()
}

// absentAnswer refuses a query that lacks servers. The caller is told to retry after as long as
// they have been gone, which is the best available estimate.
func (q *query) absentAnswer(now time.Time) Answer {
	absentShards, latestLoss, name := 0, time.Time{}, ""
	for _, g := range q.groups {
		presence, since := g.presence(q.entry.HomeRegions, now)
		if presence == replica.Present {
			continue
		}
		absentShards++
		if since.After(latestLoss) {
			latestLoss, name = since, g.service
		}
	}
	reason := fmt.Sprintf("nothing listens at the servers of %d of %d shards, at those of %s for %v: start them",
		absentShards, len(q.groups), name, now.Sub(latestLoss).Round(time.Millisecond))
	return notRun(CauseAbsent, reason, min(max(now.Sub(latestLoss), minAbsentRetryAfter), maxAbsentRetryAfter))
}

// presence returns whether the servers that may see a request with the given homes are present, and
// if not, since when.
func (g *group) presence(homes route.HomeRegions, now time.Time) (replica.Presence, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Presence(g.outsideHomes(homes), now)
}

package gateway

import (
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/replica"
	"github.com/mallowgap/mallowgap/route"
)

const (
	// shortestComeBack and longestComeBack bound when a caller is asked to come back whose
	// servers are gone: a process takes about as long to start at the least, and a caller who
	// waits longer had better ask elsewhere.
	shortestComeBack = 500 * time.Millisecond
	longestComeBack  = 2 * time.Second
)

// absentError says that nothing listens at the addresses of all servers of a shard.
type absentError struct {
	// wait is when one of them is asked again.
	wait time.Duration
}

// Error names the wait.
func (e *absentError) Error() string {
	return fmt.Sprintf("nothing listens at the address of any server; one is asked again in %v: start the servers", e.wait.Round(time.Millisecond))
}

// doubt is what a query does where it depends on shards at whose servers nothing listened when they
// were last asked: it asks these first. If they are still gone it is refused, and no other server
// has run it for nothing; until its answer is there, other queries are refused at once. The zero
// value has no doubts.
type doubt struct {
	// open are the shards in doubt that are being asked.
	open map[int]bool
	// hoped is the number of shards that may answer, those in doubt included; needed that of an
	// answer.
	hoped, needed int
}

// holds reports whether a shard has to wait for those in doubt.
func (d *doubt) holds(shard int) bool { return len(d.open) > 0 && !d.open[shard] }

// hopeless reports whether too few shards are left.
func (d *doubt) hopeless() bool { return d.hoped < d.needed }

// settleDoubt takes in what became of a call at a shard in doubt. The others follow once enough
// shards have servers.
func (q *query) settleDoubt(r result) {
	d := &q.doubt
	if !d.open[r.shard] {
		return
	}
	delete(d.open, r.shard)
	if r.absent {
		d.hoped--
	}
	if d.hoped-len(d.open) >= d.needed {
		d.open = nil
	}
	if len(d.open) == 0 && !d.hopeless() {
		q.releaseHeld(time.Now())
	}
}

// lacksServers reports whether nothing listens at the servers of so many shards that the query
// cannot be answered now. It notes which are to be asked first, where that may have changed.
func (q *query) lacksServers(now time.Time) bool {
	present, open := 0, map[int]bool(nil)
	for n, g := range q.groups {
		switch found, _ := g.presence(q.entry.Homes, now); found {
		case replica.Present:
			present++
		case replica.Doubtful:
			if open == nil {
				open = map[int]bool{} // Not for each of the many queries that lack nothing.
			}
			open[n] = true
		}
	}
	needed := q.state.Needed()
	if present >= needed {
		return false
	}
	q.doubt = doubt{open: open, hoped: present + len(open), needed: needed}
	return q.doubt.hopeless()
}

// absentAnswer refuses a query that lacks servers, and tells when to come back: after as long as
// they have been gone, as nothing else is known of when they return.
func (q *query) absentAnswer(now time.Time) Answer {
	lost, latest, name := 0, time.Time{}, ""
	for _, g := range q.groups {
		found, since := g.presence(q.entry.Homes, now)
		if found == replica.Present {
			continue
		}
		lost++
		if since.After(latest) {
			latest, name = since, g.service
		}
	}
	reason := fmt.Sprintf("nothing listens at the servers of %d of %d shards, of %s since %v: start them",
		lost, len(q.groups), name, now.Sub(latest).Round(time.Millisecond))
	return notRun(CodeAbsent, reason, min(max(now.Sub(latest), shortestComeBack), longestComeBack))
}

// presence returns what is known of the servers that may see a request with homes, and since when
// they are gone.
func (g *group) presence(homes route.Homes, now time.Time) (replica.Presence, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Presence(g.outside(homes), now)
}

package quarantine

import "time"

const (
	// trialSettle is for how long no server may have ended under a query, but on trial, for
	// the end of one on trial to count: those that end together, as with a failure domain, are
	// noticed within a few milliseconds, however long they work. A trial waits for that time where
	// the query was taken from its servers, and after another trial; elsewhere it holds nobody up.
	trialSettle = 25 * time.Millisecond
	// TrialSpread is the longest wait, drawn at random, before a second trial, beside a shard
	// drawn at random: requests that lost the same servers would meet on trial again, and one that
	// ended none be barred. Where work takes longer than this, they are told apart by the shard,
	// and by which of them ended more servers.
	TrialSpread = 100 * time.Millisecond
	// stopAfter is the number of servers that end under a query that none has served after
	// which it is taken from those that run it: one may be chance, and two before any has
	// served are not, where fewer than half of all are lost.
	stopAfter = 2
	// verdictPart is the part of its time, one in so many, for which a query awaits the verdict of
	// another's trial: the rest is enough for a trial of its own and for the answer.
	verdictPart = 3
)

// End is the end of a server under a query.
type End struct {
	// Server names its process.
	Server string
	// Version is that of its software; empty is unknown.
	Version string
	// OnTrial tells that the query was sent to it alone, after others had ended.
	OnTrial bool
}

// Suspicion is what one query knows of servers that ended under it. While they are more than
// those that served it, it is to be sent to one server at a time, on trial: if that serves,
// the others follow at once; if it ends too, all hosts are to be told. The zero value knows
// nothing. It is not safe for concurrent use.
//
// It protects the other callers of a service, whose servers would end with each repeat, and
// requests that lost servers by chance: to bar by the number of ends alone refuses those that ran
// beside such a query, or when all servers were lost, though they had nothing to do with it.
type Suspicion struct {
	// suspected tells that servers ended under the same request before.
	suspected bool
	served    int
	// seen is what is to be told of the servers that ended since one served the query.
	seen Record
	// lastEnd is when the last server ended that was not on trial, trialFrom when the next
	// trial may begin.
	lastEnd, trialFrom time.Time
	stopped            bool
}

// Suspect notes that servers ended under the same request before: the query begins on trial, or
// once another one has been tried.
func (s *Suspicion) Suspect(verdictBy time.Time) { s.suspected, s.trialFrom = true, verdictBy }

// AwaitVerdict returns until when a query that came at a time and ends at another is to leave the
// trial of a suspect to others: words on one that is innocent may follow each other, so that it
// waits for a part of its time at the most.
func AwaitVerdict(verdictBy, came, end time.Time) time.Time {
	if latest := came.Add(end.Sub(came) / verdictPart); latest.Before(verdictBy) {
		return latest
	}
	return verdictBy
}

// Absolve notes that a server has served the same request since.
func (s *Suspicion) Absolve() { s.suspected = false }

// OnTrial reports whether the query is to be sent to one server at a time.
func (s *Suspicion) OnTrial() bool { return s.served == 0 && s.suspected || s.seen.Ended > s.served }

// Wait puts the next trial off, by a time drawn at random: requests that lost the same servers
// would go on trial at the same moments.
func (s *Suspicion) Wait(d time.Duration) { s.trialFrom = s.trialFrom.Add(d) }

// TrialFrom returns when the next trial may begin.
func (s *Suspicion) TrialFrom() time.Time { return s.trialFrom }

// Served notes that a server served the query, and reports whether that clears the request.
func (s *Suspicion) Served() (clears bool) {
	s.served++
	s.seen = Record{}
	return s.served == 1 && s.suspected
}

// WasServed reports whether a server served the query.
func (s *Suspicion) WasServed() bool { return s.served > 0 }

// Ended notes that a server ended under the query. stop tells that the query is to be taken
// from the servers that still run it, and all hosts are to suspect it; told that one on trial
// ended, of which all hosts are to hear now.
func (s *Suspicion) Ended(e End, now time.Time) (stop, told bool) {
	s.seen.Ended++
	s.seen.At = now.UnixMilli()
	s.seen.Servers = addBounded(s.seen.Servers, e.Server)
	if e.Version != "" {
		s.seen.Versions = addBounded(s.seen.Versions, e.Version)
	}
	if !e.OnTrial {
		s.lastEnd = now
		stop = !s.stopped && s.served == 0 && s.seen.Ended >= stopAfter
		s.stopped = s.stopped || stop
		if stop {
			s.trialFrom = now.Add(trialSettle) // Its end would not count before.
		}
		return stop, false
	}
	if now.Sub(s.lastEnd) < trialSettle {
		s.trialFrom = s.lastEnd.Add(trialSettle)
		return false, false
	}
	s.seen.Trials = addBounded(s.seen.Trials, e.Server)
	s.trialFrom = now.Add(trialSettle)
	return false, true
}

// Tell returns what all hosts are to hear, once, and whether there is anything: servers that
// ended since one served the query, more than served it.
func (s *Suspicion) Tell() (Record, bool) {
	if s.seen.Ended <= s.served {
		return Record{}, false
	}
	seen := s.seen
	s.seen, s.suspected = Record{}, true
	return seen, true
}

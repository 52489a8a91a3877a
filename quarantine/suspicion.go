package quarantine

import "time"

const (
	// trialQuietPeriod is the minimum time between the last crash outside a trial and a crash on
	// trial that counts as one. If servers are lost together, as with a failure domain, their
	// crashes are noticed within a few milliseconds of each other, and one of them may be noticed
	// during a trial. The next trial is delayed by this time only after the query was cancelled at
	// its servers, or after another trial.
	trialQuietPeriod = 25 * time.Millisecond
	// MaxTrialJitter is the maximum random delay of a further trial, which also goes to a random
	// shard. The delay separates the trials of requests that ran on the same crashed servers, so
	// that a harmless one is not barred with the other. Requests that run longer than this are
	// distinguished by the shard and by the number of crashes seen under each.
	MaxTrialJitter = 100 * time.Millisecond
	// cancelThreshold is the number of crashes before any reply at which a query is cancelled at
	// the servers that still run it. A single crash may be a coincidence; two before any reply
	// are unlikely to be one unless half of all servers are lost.
	cancelThreshold = 2
	// trialWaitDivisor determines how long a query may wait for the result of another query's
	// trial: its own time divided by this number. The rest is for its own trial and the answer.
	trialWaitDivisor = 3
)

// Crash is the crash of a server while it ran a query.
type Crash struct {
	// Server identifies the process.
	Server string
	// Version is the version of the server's software; empty if unknown.
	Version string
	// OnTrial is whether the query was sent to the server alone, after other crashes.
	OnTrial bool
}

// Suspicion tracks the crashes of servers under one query. While there are more crashes than
// replies, the query is on trial and must be sent to one server at a time: if that server replies,
// the others follow; if it crashes too, the crash must be reported to all hosts. The zero value is
// ready to use. It is not safe for concurrent use.
//
// Trials protect other callers, because each retry of a poison request would crash one of the
// servers that they need. They also protect harmless requests: if crashes alone counted, requests
// that ran on the same servers, or while many servers were lost for another reason, would be barred
// too.
type Suspicion struct {
	// suspected is whether other attempts or hosts reported crashes under the same request.
	suspected bool
	// served is the number of servers that served the query.
	served int
	// unreported holds the crashes since the last reply that TakeReport has not returned yet.
	unreported Record
	// lastCrash is the time of the last crash outside a trial, nextTrial the earliest start of
	// the next trial.
	lastCrash, nextTrial time.Time
	// cancelled is whether Crashed has requested that the query be cancelled.
	cancelled bool
}

// Suspect records that servers crashed under earlier attempts of the request: the query starts on
// trial. Its first trial starts no earlier than trialDeadline, because until then the trial of
// another query may give a result.
func (s *Suspicion) Suspect(trialDeadline time.Time) { s.suspected, s.nextTrial = true, trialDeadline }

// TrialWaitDeadline returns the time until which a query of a suspect request waits for the trial of
// another query. This is trialDeadline, but limited to a fixed part of the time between arrived and
// deadline, because reports that keep arriving about a harmless request would otherwise delay the
// query until its deadline.
func TrialWaitDeadline(trialDeadline, arrived, deadline time.Time) time.Time {
	if latest := arrived.Add(deadline.Sub(arrived) / trialWaitDivisor); latest.Before(trialDeadline) {
		return latest
	}
	return trialDeadline
}

// Clear records that a server has meanwhile served another query with the same request.
func (s *Suspicion) Clear() { s.suspected = false }

// OnTrial reports whether the query must be sent to one server at a time.
func (s *Suspicion) OnTrial() bool {
	return s.served == 0 && s.suspected || s.unreported.Crashes > s.served
}

// DelayTrial delays the next trial by d. Callers choose d at random, so that requests that ran on
// the same crashed servers do not go on trial at the same time.
func (s *Suspicion) DelayTrial(d time.Duration) { s.nextTrial = s.nextTrial.Add(d) }

// NextTrial returns the earliest start of the next trial.
func (s *Suspicion) NextTrial() time.Time { return s.nextTrial }

// Served records that a server served the query, and reports whether that clears the request.
func (s *Suspicion) Served() (clears bool) {
	s.served++
	s.unreported = Record{}
	return s.served == 1 && s.suspected
}

// WasServed reports whether a server served the query.
func (s *Suspicion) WasServed() bool { return s.served > 0 }

// Crashed records the crash of a server under the query. If cancel is true, the query must be
// cancelled at the servers that still run it and all hosts must suspect it. If report is true, a
// crash on trial must be reported to all hosts now.
func (s *Suspicion) Crashed(crash Crash, now time.Time) (cancel, report bool) {
	s.unreported.Crashes++
	s.unreported.LastCrash = now.UnixMilli()
	s.unreported.Servers = appendUnique(s.unreported.Servers, crash.Server)
	if crash.Version != "" {
		s.unreported.Versions = appendUnique(s.unreported.Versions, crash.Version)
	}
	if !crash.OnTrial {
		s.lastCrash = now
		cancel = !s.cancelled && s.served == 0 && s.unreported.Crashes >= cancelThreshold
		s.cancelled = s.cancelled || cancel
		if cancel {
			s.nextTrial = now.Add(trialQuietPeriod) // A crash on trial before then would not count.
		}
		return cancel, false
	}
	if now.Sub(s.lastCrash) < trialQuietPeriod {
		s.nextTrial = s.lastCrash.Add(trialQuietPeriod)
		return false, false
	}
	s.unreported.Trials = appendUnique(s.unreported.Trials, crash.Server)
	s.nextTrial = now.Add(trialQuietPeriod)
	return false, true
}

// TakeReport returns the crashes since the last reply that were not reported to all hosts yet, and
// marks the query as suspected. It returns false if there are no more crashes than replies.
func (s *Suspicion) TakeReport() (Record, bool) {
	if s.unreported.Crashes <= s.served {
		return Record{}, false
	}
	record := s.unreported
	s.unreported, s.suspected = Record{}, true
	return record, true
}

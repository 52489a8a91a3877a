package home

import (
	"context"
	"fmt"
	"time"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/quarantine"
)

const (
	// witnessTimeout bounds the question that tells whether a leaf ended with a query: the way
	// to another failure domain and back many times.
	witnessTimeout = 100 * time.Millisecond
	// verdictStep is how often a query that waits for its trial looks whether it is needed yet.
	verdictStep = 20 * time.Millisecond
	// noTrial is the shard on trial where none is.
	noTrial = -1
)

// trial is what a query does about leaves that end under it. The home of a service sees all of
// its queries, so that what it knows need not be told to other hosts; a host that becomes the
// home finds out anew, at the cost of a few leaves.
type trial struct {
	quarantine.Suspicion
	// shard is the one on trial, or noTrial.
	shard int
	// held are the attempts that wait for the trial.
	held []heldAttempt
	// probation tells that the content is barred and this query is its trial.
	probation bool
	barred    bool
	// news is closed when some content is barred.
	news <-chan struct{}
}

// heldAttempt is an attempt that waits for a trial.
type heldAttempt struct {
	shard int
	kind  obs.Attempt
}

// fingerprint stands for the content of a query and its desk.
func fingerprint(ask *callerpb.AskRequest) quarantine.Fingerprint {
	return quarantine.Of(quarantine.Content{Host: ask.GetService(), Caller: ask.GetDesk(), Body: ask.GetQuery()})
}

// standing looks up what is known of a query, and how it begins. It returns a refusal where its
// content is barred and no trial of it is due. The lock is held.
func (s *Service) standing(ask *callerpb.AskRequest, deadline, now time.Time) (trial, *callerpb.AskReply) {
	t := trial{shard: noTrial, news: s.barred}
	if s.book.Len() == 0 {
		return t, nil
	}
	s.book.Expired(now) // Nothing is kept elsewhere that would have to be removed.
	s.tell()
	f := fingerprint(ask)
	switch s.book.Standing(f) {
	case quarantine.Clear:
		return t, nil
	case quarantine.Suspect:
		t.Suspect(quarantine.AwaitVerdict(s.book.VerdictBy(f), now, deadline))
		return t, nil
	}
	if name, due := s.book.DueTrial(f, nil, now); due {
		if claim, err := quarantine.ParseName(name); err == nil {
			s.book.LearnClaim(claim, now)
			t.Suspect(time.Time{})
			t.probation = true
			return t, nil
		}
	}
	return t, NotRun(ask, callerpb.Reason_BARRED, s.barredText(f), quarantine.FirstProbation)
}

// tell wakes the queries under way where a content has been barred, for whatever reason: each
// that goes on may end more leaves. The lock is held.
func (s *Service) tell() {
	for _, c := range s.book.Changes() {
		if c.Now.Standing == quarantine.Barred {
			close(s.barred)
			s.barred = make(chan struct{})
		}
	}
}

// heardNews looks up whether the content of the query is what was barred. The lock is held.
func (q *query) heardNews() {
	q.trial.news = q.service.barred
	if !q.trial.probation && q.service.book.Standing(fingerprint(q.ask)) == quarantine.Barred {
		q.trial.barred = true
	}
}

func (s *Service) barredText(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%d leaves ended under this query, fingerprint %v: mend the leaves; it is tried again after a while", s.book.Summary(f).Ended, f)
}

// hasEnded asks a leaf at which a call broke off whether it is still the process that it was.
func (s *Service) hasEnded(ctx context.Context, address string) bool {
	s.mu.Lock()
	known := s.incarnations[address]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
	defer cancel()
	reply, err := s.client.Describe(ctx, address)
	return err != nil || known != 0 && reply.GetStatus().GetIncarnation() > known
}

// hold reports whether an attempt has to wait for a trial, and keeps it if so; otherwise it is
// the trial, where there is to be one. None begins beside other attempts of the query: its end
// would tell nothing, and cost the others of the service a leaf.
func (q *query) hold(shard int, kind obs.Attempt, now time.Time) bool {
	t := &q.trial
	if !t.OnTrial() || q.absolved() {
		return false
	}
	if t.shard == noTrial && len(q.running) == 0 && !now.Before(t.TrialFrom()) {
		t.shard = shard
		return false
	}
	t.held = append(t.held, heldAttempt{shard, kind})
	if now.Before(t.TrialFrom()) {
		q.look(now.Add(verdictStep))
	}
	return true
}

// absolved reports whether the content was served to another query while this one waited for its
// trial.
func (q *query) absolved() bool {
	if q.reached == 0 && !q.trial.probation && q.service.book.Standing(fingerprint(q.ask)) == quarantine.Clear {
		q.trial.Absolve()
	}
	return !q.trial.OnTrial()
}

// releaseHeld sends the attempts that no longer have to wait: all where the query is not on
// trial, else the next one where none is.
func (q *query) releaseHeld(now time.Time) {
	held := q.trial.held
	q.trial.held = nil
	for _, h := range held {
		if q.gather.Open(h.shard) {
			q.want(h.shard, h.kind, now)
		}
	}
}

// leafEnded notes that a leaf ended with an attempt.
func (q *query) leafEnded(a *attempt, now time.Time) {
	stop, told := q.trial.Ended(quarantine.End{Server: fmt.Sprintf("%s#%d", a.address, q.service.incarnations[a.address]), OnTrial: a.onTrial}, now)
	if stop {
		for _, other := range q.running {
			other.cancel()
		}
		q.tellEnds(now) // A repeat may come before the trial is over.
	}
	if told {
		q.trial.Wait(time.Duration(q.service.rng.Int64N(int64(quarantine.TrialSpread))))
		q.tellEnds(now)
	}
}

// tellEnds notes the leaves that ended under a query that none served since, for later ones.
func (q *query) tellEnds(now time.Time) {
	seen, any := q.trial.Tell()
	if !any {
		return
	}
	seen.What = "query of desk " + q.ask.GetDesk()
	f := fingerprint(q.ask)
	q.service.book.Note(f, seen, now)
	q.service.tell()
	q.trial.barred = q.service.book.Standing(f) == quarantine.Barred
}

// served notes that a leaf served the query.
func (q *query) served(now time.Time) {
	if q.trial.Served() {
		q.service.book.Clear(fingerprint(q.ask), now)
		q.service.tell()
	}
	q.trial.shard = noTrial
}

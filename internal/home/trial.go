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
	// crashCheckTimeout bounds the Describe call that checks whether a leaf crashed. It
	// allows for several round trips to another failure domain.
	crashCheckTimeout = 100 * time.Millisecond
	// trialPollInterval is how often a query that waits for a trial checks whether the
	// trial may start or is no longer needed.
	trialPollInterval = 20 * time.Millisecond
	// noTrialShard is the value of trialShard while no trial is running.
	noTrialShard = -1
)

// quarantineState tracks the leaf crashes under one query. The home sees all queries of
// its service, so crashes are not reported to other hosts. A host that becomes the home
// does not know of earlier crashes, and a few leaves may crash before it bars the same
// content again.
type quarantineState struct {
	quarantine.Suspicion
	// trialShard is the shard whose attempt is on trial, or noTrialShard.
	trialShard int
	// held are the attempts that wait for the trial to end.
	held []heldAttempt
	// probation is set if the content is barred and this query is the trial that is
	// permitted after a probation.
	probation bool
	// barred is set if the content was barred while the query was running.
	barred bool
	// barredChanged is closed when any content becomes barred.
	barredChanged <-chan struct{}
}

// heldAttempt is an attempt that is held back during a trial.
type heldAttempt struct {
	shard int
	kind  obs.AttemptKind
}

// fingerprint returns the fingerprint of the content and the desk of a request.
func fingerprint(req *callerpb.AskRequest) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Content{Host: req.GetService(), Caller: req.GetDesk(), Body: req.GetQuery()})
}

// checkQuarantine returns the initial quarantine state of a query, or a refusal if its
// content is barred and no trial is due. s.mu must be held.
func (s *Service) checkQuarantine(req *callerpb.AskRequest, deadline, now time.Time) (quarantineState, *callerpb.AskReply) {
	state := quarantineState{trialShard: noTrialShard, barredChanged: s.barredChanged}
	if s.quarantine.Len() == 0 {
		return state, nil
	}
	// The returned names are those of entries to delete from a store; the home has none.
	s.quarantine.RemoveExpired(now)
	s.signalBarred()
	f := fingerprint(req)
	switch s.quarantine.Standing(f) {
	case quarantine.Clear:
		return state, nil
	case quarantine.Suspect:
		state.Suspect(quarantine.TrialWaitDeadline(s.quarantine.TrialDeadline(f), now, deadline))
		return state, nil
	}
	if name, due := s.quarantine.DueTrial(f, nil, now); due {
		if claim, err := quarantine.ParseRecordKey(name); err == nil {
			s.quarantine.ApplyClaim(claim, now)
			state.Suspect(time.Time{})
			state.probation = true
			return state, nil
		}
	}
	return state, NotRun(req, callerpb.Reason_BARRED, s.barredMessage(f), quarantine.FirstProbation)
}

// checkQuarantineNow is checkQuarantine for callers that do not hold s.mu.
func (s *Service) checkQuarantineNow(req *callerpb.AskRequest, deadline time.Time) (quarantineState, *callerpb.AskReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkQuarantine(req, deadline, time.Now())
}

// signalBarred wakes all running queries if any content became barred, so that those
// with this content end before they crash more leaves. s.mu must be held.
func (s *Service) signalBarred() {
	for _, c := range s.quarantine.TakeChanges() {
		if c.Now.Standing == quarantine.Barred {
			close(s.barredChanged)
			s.barredChanged = make(chan struct{})
		}
	}
}

// recheckBarred records whether the query's own content has become barred. s.mu must be
// held.
func (q *query) recheckBarred() {
	q.quarantine.barredChanged = q.service.barredChanged
	if !q.quarantine.probation && q.service.quarantine.Standing(fingerprint(q.req)) == quarantine.Barred {
		q.quarantine.barred = true
	}
}

// barredMessage returns the message of a reply with reason BARRED. s.mu must be held.
func (s *Service) barredMessage(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%d leaves crashed while running this query (fingerprint %v): fix the leaves; the query is tried again after a while", s.quarantine.Summary(f).Crashes, f)
}

// hasCrashed asks a leaf whose call failed for its incarnation and reports whether its
// process ended. A leaf that does not reply counts as crashed.
func (s *Service) hasCrashed(ctx context.Context, address string) bool {
	known := s.incarnationOf(address)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	reply, err := s.client.Describe(ctx, address)
	return err != nil || known != 0 && reply.GetStatus().GetIncarnation() > known
}

// incarnationOf returns the incarnation that a leaf last reported, or 0.
func (s *Service) incarnationOf(address string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[address]
}

// holdForTrial holds an attempt back if it must wait for a trial, and reports whether it
// did. Otherwise, if a trial is needed, the attempt becomes the trial. A trial does not
// start while other attempts of the query run, because a crash would then not prove that
// this query caused it.
func (q *query) holdForTrial(shard int, kind obs.AttemptKind, now time.Time) bool {
	state := &q.quarantine
	if !state.OnTrial() || q.cleared() {
		return false
	}
	if state.trialShard == noTrialShard && len(q.running) == 0 && !now.Before(state.NextTrial()) {
		state.trialShard = shard
		return false
	}
	state.held = append(state.held, heldAttempt{shard, kind})
	if now.Before(state.NextTrial()) {
		q.wakeBy(now.Add(trialPollInterval))
	}
	return true
}

// cleared reports whether the query needs no trial, in particular because another query
// with the same content was served while this one waited.
func (q *query) cleared() bool {
	if q.maybeExecuted == 0 && !q.quarantine.probation && q.service.quarantine.Standing(fingerprint(q.req)) == quarantine.Clear {
		q.quarantine.Clear()
	}
	return !q.quarantine.OnTrial()
}

// restartHeld starts the held attempts again. While the query is on trial, holdForTrial
// permits at most one of them and holds the others again.
func (q *query) restartHeld(now time.Time) {
	held := q.quarantine.held
	q.quarantine.held = nil
	for _, h := range held {
		if q.gather.Open(h.shard) {
			q.startAttempt(h.shard, h.kind, now)
		}
	}
}

// onLeafCrash records a leaf crash during an attempt. After several crashes, the other
// attempts of the query are canceled.
func (q *query) onLeafCrash(a *attempt, now time.Time) {
	cancel, report := q.quarantine.Crashed(quarantine.Crash{Server: fmt.Sprintf("%s#%d", a.address, q.service.incarnations[a.address]), OnTrial: a.onTrial}, now)
	if cancel {
		for _, other := range q.running {
			other.cancel()
		}
		q.recordCrashes(now) // Another query with this content may arrive before the trial ends.
	}
	if report {
		q.quarantine.DelayTrial(time.Duration(q.service.rng.Int64N(int64(quarantine.MaxTrialJitter))))
		q.recordCrashes(now)
	}
}

// recordCrashes adds the crashes since a leaf last served the query to the quarantine of
// the service, where other queries with the same content find them. It reports whether
// there are any.
func (q *query) recordCrashes(now time.Time) bool {
	record, ok := q.quarantine.TakeReport()
	if !ok {
		return false
	}
	record.Description = "query of desk " + q.req.GetDesk()
	f := fingerprint(q.req)
	q.service.quarantine.AddReport(f, record, now)
	q.service.signalBarred()
	q.quarantine.barred = q.service.quarantine.Standing(f) == quarantine.Barred
	return true
}

// recordServed records that the query was served, if any content is in the quarantine:
// leaves may crash under another query with the same content.
func (q *query) recordServed(now time.Time) {
	if !q.quarantine.WasServed() || q.service.quarantine.Len() == 0 {
		return
	}
	if f := fingerprint(q.req); q.service.quarantine.NoteServed(f, now) {
		q.service.quarantine.Clear(f, now)
		q.service.signalBarred()
	}
}

// onServed records that a leaf served the query, which ends its trial.
func (q *query) onServed(now time.Time) {
	if q.quarantine.Served() {
		q.service.quarantine.Clear(fingerprint(q.req), now)
		q.service.signalBarred()
	}
	q.quarantine.trialShard = noTrialShard
}

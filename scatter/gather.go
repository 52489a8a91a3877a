package scatter

import "time"

// Snapshot identifies the state of the index that a query is pinned to.
type Snapshot struct {
	Epoch uint64
	// Version is the index version; 0 pins the query to that of the first part.
	Version uint64
}

// Part is the partial result of one leaf for one shard.
type Part struct {
	Shard    string
	Snapshot Snapshot
	Rows     [][]byte
	// RowCount is the number of rows that the leaf announced.
	RowCount int
}

// Verdict is the outcome of a received part.
type Verdict int

const (
	// Merged means that the part is in the answer.
	Merged Verdict = iota
	// Late means that the shard or the gather was already closed.
	Late
	// UnknownAttempt means that no attempt in flight has the identifier.
	UnknownAttempt
	// OtherSnapshot means that the part is of another epoch, version or shard.
	OtherSnapshot
	// Truncated means that the part does not have RowCount rows.
	Truncated
)

// String returns the name of the verdict as used in metrics.
func (v Verdict) String() string {
	return [...]string{"merged", "late", "foreign", "other_snapshot", "cut_short"}[v]
}

// MissingReason is the reason why a shard did not contribute.
type MissingReason int

const (
	// ReasonNone means that the shard contributed.
	ReasonNone MissingReason = iota
	// NoReplica means that there was no live replica to send the request to.
	NoReplica
	// Refused means that every replica refused the request.
	Refused
	// Failed means that the attempts failed.
	Failed
	// TooLate means that no part arrived in time.
	TooLate
	// SnapshotUnavailable means that no replica could serve the pinned snapshot.
	SnapshotUnavailable
	// TruncatedPart means that the received part lacked rows.
	TruncatedPart
)

// EarlyStop is the condition for answering without the remaining shards.
type EarlyStop struct {
	// Share is the share of the shards (0 to 1) that must have contributed; 0 waits
	// for all of them.
	Share float64
	// After is the time since the start during which all shards are waited for.
	After time.Duration
}

type shardState struct {
	running []string
	merged  *Part
	closed  bool
	missing MissingReason
}

// Gather collects the parts of one query. It is not safe for concurrent use.
type Gather struct {
	shardNames []string
	shards     []shardState
	snapshot   Snapshot
	early      EarlyStop
	start      time.Time
	// pending is the number of shards that are not closed.
	pending int
	merged  int
	closed  bool
}

// New returns a gather for the named shards, pinned to a snapshot.
func New(shardNames []string, snapshot Snapshot, early EarlyStop, start time.Time) *Gather {
	return &Gather{
		shardNames: shardNames,
		shards:     make([]shardState, len(shardNames)),
		snapshot:   snapshot,
		early:      early,
		start:      start,
		pending:    len(shardNames),
	}
}

// Snapshot returns the pinned snapshot.
func (g *Gather) Snapshot() Snapshot { return g.snapshot }

// Merged returns the number of shards that contributed.
func (g *Gather) Merged() int { return g.merged }

// Open reports whether a part for a shard can still be merged.
func (g *Gather) Open(shard int) bool { return !g.closed && !g.shards[shard].closed }

// Contributed reports whether the part of a shard was merged.
func (g *Gather) Contributed(shard int) bool { return g.shards[shard].merged != nil }

// Running returns the number of attempts in flight for a shard.
func (g *Gather) Running(shard int) int { return len(g.shards[shard].running) }

// Started records that an attempt for a shard was sent.
func (g *Gather) Started(shard int, attempt string) {
	s := &g.shards[shard]
	s.running = append(s.running, attempt)
}

// Reply ends an attempt with a part, and merges the part if it is valid.
func (g *Gather) Reply(shard int, attempt string, part Part) Verdict {
	if !g.removeAttempt(shard, attempt) {
		return UnknownAttempt
	}
	s := &g.shards[shard]
	if g.closed || s.closed {
		return Late
	}
	if len(part.Rows) != part.RowCount {
		s.missing = TruncatedPart
		return Truncated
	}
	if part.Shard != g.shardNames[shard] || part.Snapshot.Epoch != g.snapshot.Epoch || part.Snapshot.Version == 0 {
		s.missing = SnapshotUnavailable
		return OtherSnapshot
	}
	if g.snapshot.Version == 0 {
		g.snapshot.Version = part.Snapshot.Version
	}
	if part.Snapshot.Version != g.snapshot.Version {
		s.missing = SnapshotUnavailable
		return OtherSnapshot
	}
	s.merged = &part
	s.closed = true
	s.missing = ReasonNone
	g.pending--
	g.merged++
	return Merged
}

// Ended records that an attempt ended without a part.
func (g *Gather) Ended(shard int, attempt string, reason MissingReason) {
	if g.removeAttempt(shard, attempt) && g.Open(shard) {
		g.shards[shard].missing = reason
	}
}

// removeAttempt removes an attempt in flight, and reports whether there was one with
// the identifier.
func (g *Gather) removeAttempt(shard int, attempt string) bool {
	s := &g.shards[shard]
	for i, a := range s.running {
		if a == attempt {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return true
		}
	}
	return false
}

// GiveUp closes a shard that gets no more attempts. If reason is ReasonNone, the
// reason of an earlier attempt is kept.
func (g *Gather) GiveUp(shard int, reason MissingReason) {
	if !g.Open(shard) {
		return
	}
	s := &g.shards[shard]
	s.closed = true
	if reason != ReasonNone {
		s.missing = reason
	}
	if s.missing == ReasonNone {
		s.missing = Failed
	}
	g.pending--
}

// Finished reports whether the query can be answered at now.
func (g *Gather) Finished(now time.Time) bool {
	if g.pending == 0 {
		return true
	}
	at, ok := g.EarlyAt()
	return ok && !now.Before(at)
}

// EarlyAt returns when the query may be answered without the remaining shards, and
// false if too few have contributed so far.
func (g *Gather) EarlyAt() (time.Time, bool) {
	if g.early.Share <= 0 || float64(g.merged) < g.early.Share*float64(len(g.shardNames)) {
		return time.Time{}, false
	}
	return g.start.Add(g.early.After), true
}

// MissingShard is a shard that did not contribute.
type MissingShard struct {
	Name   string
	Reason MissingReason
}

// Result is the merged answer and its coverage.
type Result struct {
	Snapshot    Snapshot
	Contributed []string
	Missing     []MissingShard
	Rows        [][]byte
}

// Close ends the gather and returns the result, in the order of the shards.
func (g *Gather) Close() Result {
	g.closed = true
	result := Result{Snapshot: g.snapshot, Contributed: make([]string, 0, g.merged)}
	for i := range g.shards {
		s := &g.shards[i]
		if s.merged != nil {
			result.Contributed = append(result.Contributed, g.shardNames[i])
			result.Rows = append(result.Rows, s.merged.Rows...)
			continue
		}
		reason := s.missing
		if reason == ReasonNone {
			reason = TooLate
		}
		result.Missing = append(result.Missing, MissingShard{Name: g.shardNames[i], Reason: reason})
	}
	return result
}

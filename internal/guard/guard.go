package guard

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/quarantine"
)

const (
	// linesPerSecond bounds the lines of one process about requests under which
	// servers ended. They have a bound of their own: an outage that such a request causes
	// fills the common one with calls that could not be made.
	linesPerSecond = 20
	// SweepEvery is how often records are to be looked at whose time may be over.
	SweepEvery = 10 * time.Second
)

var (
	serversEnded      = metrics.GetOrCreateCounter("mallowgap_servers_ended_under_requests_total")
	quarantineRefused = metrics.GetOrCreateCounter("mallowgap_quarantine_refused_total")
	quarantineCleared = metrics.GetOrCreateCounter("mallowgap_quarantine_cleared_total")
)

// Keeper lets the store keep records for all hosts.
type Keeper interface {
	PutRecord(name string, value []byte)
	RemoveRecords(names []string)
}

// Guard keeps requests from servers that end under them. It is safe for concurrent use.
type Guard struct {
	host   string
	log    zerolog.Logger
	keeper Keeper
	// known is the number of requests that the book knows: while it is 0, no fingerprint is
	// worked out.
	known atomic.Int64

	mu   sync.Mutex
	book *quarantine.Book
	// witnesses wait for what becomes of servers at which calls broke off.
	witnesses *quarantine.Witnesses
	// barred is closed, and made anew, when a request is barred.
	barred chan struct{}
}

// New returns a guard of a host that knows nothing.
func New(host string, keeper Keeper, log zerolog.Logger) *Guard {
	return &Guard{
		host: host, keeper: keeper, log: obs.Bounded(log, linesPerSecond),
		book: quarantine.NewBook(host), witnesses: quarantine.NewWitnesses(), barred: make(chan struct{}),
	}
}

// Active reports whether anything is held against some request.
func (g *Guard) Active() bool { return g.known.Load() > 0 }

// Standing returns what is to be done with a request.
func (g *Guard) Standing(f quarantine.Fingerprint) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Standing(f)
}

// VerdictBy returns until when another query may have a suspect on trial.
func (g *Guard) VerdictBy(f quarantine.Fingerprint) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.VerdictBy(f)
}

// Refused counts that a barred request is turned away, and returns what is known of it.
func (g *Guard) Refused(f quarantine.Fingerprint) quarantine.Summary {
	quarantineRefused.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Summary(f)
}

// News returns what is closed when a request is barred.
func (g *Guard) News() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.barred
}

// DueTrial returns the name of the trial of a barred request that is due, if one is.
func (g *Guard) DueTrial(f quarantine.Fingerprint, versions []string, now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.DueTrial(f, versions, now)
}

// tell lets all know how standings have changed: calls under way of requests that are barred end,
// and a line says so of each, whether an event was about that request, about another one that
// explained its ends, or about none but the time. Callers hold the lock.
func (g *Guard) tell(by string) {
	g.known.Store(int64(g.book.Len()))
	for _, c := range g.book.Changes() {
		if c.Now.Standing == quarantine.Barred {
			close(g.barred)
			g.barred = make(chan struct{})
		}
		g.logChange(c, by)
	}
}

func (g *Guard) logChange(c quarantine.Change, by string) {
	s := c.Now
	e := g.log.Warn().Stringer("fingerprint", s.Fingerprint).Stringer("standing", s.Standing).Stringer("before", c.Before).Str("told_by", by).
		Int("servers_ended", s.Ended).Strs("servers", s.Servers).Strs("seen_by", s.Hosts).Str("what", s.What)
	if len(s.ExplainedBy) > 0 {
		e = e.Stringers("explained_by", stringers(s.ExplainedBy))
	}
	e.Msg("standing of a request under which servers ended has changed")
}

func stringers(prints []quarantine.Fingerprint) []fmt.Stringer {
	var all []fmt.Stringer
	for _, f := range prints {
		all = append(all, f)
	}
	return all
}

// Note takes in what this host saw of a request, lets all others know, and returns its
// standing.
func (g *Guard) Note(f quarantine.Fingerprint, seen quarantine.Record, now time.Time) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(f, seen, now)
	return g.book.Standing(f)
}

// note is Note for callers that hold the lock.
func (g *Guard) note(f quarantine.Fingerprint, seen quarantine.Record, now time.Time) {
	record := g.book.Note(f, seen, now)
	g.tell(g.host)
	g.put(f, record)
}

// Broke takes in that a call of a query that nobody served broke off: the entry of its server
// may yet tell that it ended.
func (g *Guard) Broke(c quarantine.BrokenCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.witnesses.Broke(c)
}

// ServerEnded takes in that a process of a server ended without having drained: the calls that
// broke off there not long before ended with it.
func (g *Guard) ServerEnded(process, server, service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.witnesses.Ended(process, now) {
		g.LogEnd(c.Fingerprint, "", server, service, now.Sub(c.At), "a call broke off, and its entry tells that it ended", c.End)
		g.note(c.Fingerprint, c.Record(), now)
	}
}

// Clear takes in that a server served a request.
func (g *Guard) Clear(f quarantine.Fingerprint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, over, known := g.book.Clear(f, now)
	if !known {
		return
	}
	quarantineCleared.Inc()
	g.tell(g.host)
	g.put(f, own)
	g.keeper.RemoveRecords(over)
}

// put lets the store keep the record of this host. Callers hold the lock.
func (g *Guard) put(f quarantine.Fingerprint, own quarantine.Record) {
	value, err := proto.Marshal(encodeRecord(own))
	if err != nil {
		g.log.Error().Err(err).Stringer("fingerprint", f).Msg("a record cannot be encoded: other hosts do not learn of it")
		return
	}
	g.keeper.PutRecord(quarantine.RecordName(f, g.host), value)
}

// Learn takes in an entry of the store.
func (g *Guard) Learn(e control.Entry, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name, err := LearnRecord(g.book, e, now)
	if err != nil {
		g.log.Warn().Err(err).Str("entry", e.Name).Msg("entry about a request in quarantine cannot be read; it is left out")
		return
	}
	g.tell(name.Host)
}

// LearnRecord takes an entry of the store into a book, and returns its name.
func LearnRecord(book *quarantine.Book, e control.Entry, now time.Time) (quarantine.Name, error) {
	name, err := quarantine.ParseName(e.Name)
	if err != nil {
		return name, err
	}
	switch {
	case e.Removed:
		book.Forget(name, now)
	case name.Claim != "":
		book.LearnClaim(name, now)
	default:
		var record relaypb.QuarantineRecord
		if err := proto.Unmarshal(e.Value, &record); err != nil {
			return name, fmt.Errorf("decode the record %s: %w", e.Name, err)
		}
		book.Learn(name.Fingerprint, name.Host, decodeRecord(&record), now)
	}
	return name, nil
}

// Sweep forgets what is over. Only a host that reads the store itself removes it there.
func (g *Guard) Sweep(readsStore bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.book.Expired(now)
	g.tell("time")
	if len(names) == 0 {
		return
	}
	g.log.Info().Int("records", len(names)).Bool("removed_here", readsStore).Msg("records of requests in quarantine are over")
	if readsStore {
		g.keeper.RemoveRecords(names)
	}
}

func encodeRecord(r quarantine.Record) *relaypb.QuarantineRecord {
	return &relaypb.QuarantineRecord{Servers: r.Servers, Ended: uint32(r.Ended), TrialServers: r.Trials, Versions: r.Versions, What: r.What, At: r.At, Served: r.Served}
}

func decodeRecord(m *relaypb.QuarantineRecord) quarantine.Record {
	return quarantine.Record{
		Servers: m.GetServers(), Ended: int(m.GetEnded()), Trials: m.GetTrialServers(),
		Versions: m.GetVersions(), What: m.GetWhat(), At: m.GetAt(), Served: m.GetServed(),
	}
}

// LogEnd writes the line about a server that ended with a request.
func (g *Guard) LogEnd(f quarantine.Fingerprint, request, server, service string, elapsed time.Duration, reason string, end quarantine.End) {
	serversEnded.Inc()
	g.log.Warn().Str("request", request).Stringer("fingerprint", f).Str("server", server).Str("service", service).Str("version", end.Version).
		Dur("elapsed", elapsed).Str("reason", reason).Bool("trial", end.OnTrial).Msg("server ended with a request: nothing listens at its address")
}

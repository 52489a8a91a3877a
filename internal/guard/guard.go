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
	// logLinesPerSecond limits the log lines of the guard, separately from those of other packages:
	// during an outage that a poison request causes, failed calls exhaust their limit.
	logLinesPerSecond = 20
	// SweepInterval is the interval at which expired records should be removed.
	SweepInterval = 10 * time.Second
)

var (
	serversCrashed    = metrics.GetOrCreateCounter("mallowgap_servers_ended_under_requests_total")
	quarantineRefused = metrics.GetOrCreateCounter("mallowgap_quarantine_refused_total")
	quarantineCleared = metrics.GetOrCreateCounter("mallowgap_quarantine_cleared_total")
)

// RecordStore writes and removes quarantine records in the store, for all hosts.
type RecordStore interface {
	PutRecord(name string, value []byte)
	RemoveRecords(names []string)
}

// Guard tracks poison requests on behalf of a host. It is safe for concurrent use.
type Guard struct {
	host  string
	log   zerolog.Logger
	store RecordStore
	// requestCount is the number of requests in the book, readable without mu.
	requestCount atomic.Int64

	mu   sync.Mutex
	book *quarantine.Book
	// brokenCalls are calls whose connection broke and whose servers may have crashed.
	brokenCalls *quarantine.BrokenCalls
	// barredSignal is closed and replaced when a request becomes barred.
	barredSignal chan struct{}
}

// New returns a guard with an empty book for a host.
func New(host string, store RecordStore, log zerolog.Logger) *Guard {
	return &Guard{
		host: host, store: store, log: obs.RateLimited(log, logLinesPerSecond),
		book: quarantine.NewBook(host), brokenCalls: quarantine.NewBrokenCalls(), barredSignal: make(chan struct{}),
	}
}

// Active reports whether the book contains any request. It does not lock.
func (g *Guard) Active() bool { return g.requestCount.Load() > 0 }

// Standing returns the standing of a request.
func (g *Guard) Standing(f quarantine.Fingerprint) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Standing(f)
}

// TrialDeadline returns the time until which another query may have a suspect on trial.
func (g *Guard) TrialDeadline(f quarantine.Fingerprint) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.TrialDeadline(f)
}

// CountRefusal counts a refusal of a barred request, and returns the summary of the request.
func (g *Guard) CountRefusal(f quarantine.Fingerprint) quarantine.Summary {
	quarantineRefused.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Summary(f)
}

// BarredSignal returns a channel that is closed when any request becomes barred next.
func (g *Guard) BarredSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.barredSignal
}

// DueTrial returns the name under which the next trial of a barred request must be claimed, and
// whether the trial is due.
func (g *Guard) DueTrial(f quarantine.Fingerprint, versions []string, now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.DueTrial(f, versions, now)
}

// processChanges updates requestCount, logs the pending changes of the book, and closes barredSignal
// if a request became barred. Each waiter then checks the standing of its own request. source names
// the origin of the changes in the log. The caller must hold g.mu.
func (g *Guard) processChanges(source string) {
	g.requestCount.Store(int64(g.book.Len()))
	for _, c := range g.book.TakeChanges() {
		if c.Now.Standing == quarantine.Barred {
			close(g.barredSignal)
			g.barredSignal = make(chan struct{})
		}
		g.logChange(c, source)
	}
}

// logChange logs a change of a standing.
func (g *Guard) logChange(c quarantine.Change, source string) {
	s := c.Now
	e := g.log.Warn().Stringer("fingerprint", s.Fingerprint).Stringer("standing", s.Standing).Stringer("before", c.Before).Str("told_by", source).
		Int("servers_ended", s.Crashes).Strs("servers", s.Servers).Strs("seen_by", s.Hosts).Str("what", s.Description)
	if len(s.AttributedTo) > 0 {
		e = e.Stringers("explained_by", stringers(s.AttributedTo))
	}
	e.Msg("standing of a request under which servers ended has changed")
}

// stringers converts fingerprints to the type that zerolog takes.
func stringers(fingerprints []quarantine.Fingerprint) []fmt.Stringer {
	var all []fmt.Stringer
	for _, f := range fingerprints {
		all = append(all, f)
	}
	return all
}

// AddLocal adds what a query of this host observed of its request to the record of this host, writes
// the record to the store, and returns the standing of the request.
func (g *Guard) AddLocal(f quarantine.Fingerprint, seen quarantine.Record, now time.Time) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publish(f, g.book.AddReport(f, seen, now))
	return g.book.Standing(f)
}

// publish processes the changes of the book and writes the record of this host to the store. The
// caller must hold g.mu.
func (g *Guard) publish(f quarantine.Fingerprint, record quarantine.Record) {
	g.processChanges(g.host)
	g.storeRecord(f, record)
}

// AddBrokenCall records that the connection of a call broke, in a query that no server served. The
// registry entry of the server may show later that it crashed.
func (g *Guard) AddBrokenCall(c quarantine.BrokenCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.brokenCalls.Add(c)
}

// ServerCrashed records that the registry shows the end of a process: its entry was replaced by that
// of a later process, or was removed although the server was not draining. process identifies one
// run of the server, under which its calls are recorded; server is the ID of the server. The recent
// broken calls to the process are counted as crashes.
func (g *Guard) ServerCrashed(process, server, service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.brokenCalls.Take(process, now) {
		g.LogCrash(c.Fingerprint, "", server, service, now.Sub(c.At), "the connection broke, and the registry entry shows that the server ended", c.Crash)
		g.publish(c.Fingerprint, g.book.AddLocal(c.Fingerprint, c.Record(), now))
	}
}

// NoteServed records that a query of this host was served, and clears its request if that is suspect
// or barred. It need not be called unless Active.
func (g *Guard) NoteServed(f quarantine.Fingerprint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.NoteServed(f, now) {
		g.clearLocked(f, now)
	}
}

// Clear records that a server served a request, and removes the obsolete records of other hosts
// from the store.
func (g *Guard) Clear(f quarantine.Fingerprint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clearLocked(f, now)
}

// clearLocked implements Clear. The caller must hold g.mu.
func (g *Guard) clearLocked(f quarantine.Fingerprint, now time.Time) {
	own, obsolete, known := g.book.Clear(f, now)
	if !known {
		return
	}
	quarantineCleared.Inc()
	g.processChanges(g.host)
	g.storeRecord(f, own)
	g.store.RemoveRecords(obsolete)
}

// storeRecord writes the record of this host to the store. The caller must hold g.mu.
func (g *Guard) storeRecord(f quarantine.Fingerprint, own quarantine.Record) {
	value, err := proto.Marshal(encodeRecord(own))
	if err != nil {
		g.log.Error().Err(err).Stringer("fingerprint", f).Msg("quarantine record cannot be encoded: other hosts do not receive it")
		return
	}
	g.store.PutRecord(quarantine.RecordKeyFor(f, g.host), value)
}

// ApplyEntry applies an entry of the store. An invalid one is logged and ignored.
func (g *Guard) ApplyEntry(e control.Entry, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key, err := ApplyEntryTo(g.book, e, now)
	if err != nil {
		g.log.Warn().Err(err).Str("entry", e.Name).Msg("quarantine entry is invalid and ignored")
		return
	}
	g.processChanges(key.Host)
}

// ApplyEntryTo applies an entry of the store to a book, and returns the parsed name of the entry.
func ApplyEntryTo(book *quarantine.Book, e control.Entry, now time.Time) (quarantine.RecordKey, error) {
	key, err := quarantine.ParseRecordKey(e.Name)
	if err != nil {
		return key, err
	}
	switch {
	case e.Removed:
		book.RemoveRecord(key, now)
	case key.Claim != "":
		book.ApplyClaim(key, now)
	default:
		var record relaypb.QuarantineRecord
		if err := proto.Unmarshal(e.Value, &record); err != nil {
			return key, fmt.Errorf("decode quarantine record %s: %w", e.Name, err)
		}
		book.ApplyRecord(key.Fingerprint, key.Host, decodeRecord(&record), now)
	}
	return key, nil
}

// Sweep removes expired requests from the book and, if removeFromStore is set, their records and
// claims from the store.
func (g *Guard) Sweep(removeFromStore bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.book.RemoveExpired(now)
	g.processChanges("time")
	if len(names) == 0 {
		return
	}
	g.log.Info().Int("records", len(names)).Bool("removed_here", removeFromStore).Msg("quarantine records expired")
	if removeFromStore {
		g.store.RemoveRecords(names)
	}
}

func encodeRecord(r quarantine.Record) *relaypb.QuarantineRecord {
	return &relaypb.QuarantineRecord{Servers: r.Servers, Ended: uint32(r.Crashes), TrialServers: r.Trials, Versions: r.Versions, What: r.Description, At: r.LastCrash, Served: r.Served}
}

func decodeRecord(m *relaypb.QuarantineRecord) quarantine.Record {
	return quarantine.Record{
		Servers: m.GetServers(), Crashes: int(m.GetEnded()), Trials: m.GetTrialServers(),
		Versions: m.GetVersions(), Description: m.GetWhat(), LastCrash: m.GetAt(), Served: m.GetServed(),
	}
}

// LogCrash logs and counts the crash of a server while it ran a request. reason names the evidence.
// For a failed call, it is the error of the call, after which nothing listened at the address of
// the server. ServerCrashed has other evidence: the connection of the call broke, and the registry
// shows that the process ended; whether its address is in use again was not checked.
func (g *Guard) LogCrash(f quarantine.Fingerprint, request, server, service string, elapsed time.Duration, reason string, crash quarantine.Crash) {
	serversCrashed.Inc()
	g.log.Warn().Str("request", request).Stringer("fingerprint", f).Str("server", server).Str("service", service).Str("version", crash.Version).
		Dur("elapsed", elapsed).Str("reason", reason).Bool("trial", crash.OnTrial).Msg("server ended with a request: nothing listens at its address")
}

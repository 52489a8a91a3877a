package gateway

import (
	"fmt"
	"slices"
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
	// quarantineLinesPerSecond bounds the lines of one process about requests under which
	// servers ended. They have a bound of their own: an outage that such a request causes
	// writes 2,000 lines a second of calls that could not be made, of which the common bound
	// lets 70 through.
	quarantineLinesPerSecond = 20
	// quarantineSweep is how often records are looked at whose time may be over.
	quarantineSweep = 10 * time.Second
	// maxWhat bounds the description of a request for operators, in bytes.
	maxWhat = 160
)

var (
	serversEnded      = metrics.GetOrCreateCounter("mallowgap_servers_ended_under_requests_total")
	quarantineRefused = metrics.GetOrCreateCounter("mallowgap_quarantine_refused_total")
	quarantineTrials  = metrics.GetOrCreateCounter("mallowgap_quarantine_trials_total")
	quarantineCleared = metrics.GetOrCreateCounter("mallowgap_quarantine_cleared_total")
)

// recordKeeper lets the store keep records for all hosts.
type recordKeeper interface {
	PutRecord(name string, value []byte)
	RemoveRecords(names []string)
}

// guard keeps requests from servers that end under them. It is safe for concurrent use.
type guard struct {
	host   string
	log    zerolog.Logger
	keeper recordKeeper
	// known is the number of requests that the book knows: while it is 0, no fingerprint is
	// worked out.
	known atomic.Int64

	mu   sync.Mutex
	book *quarantine.Book
	// barred is closed, and made anew, when a request is barred.
	barred chan struct{}
}

func newGuard(host string, log zerolog.Logger) *guard {
	return &guard{host: host, log: obs.Bounded(log, quarantineLinesPerSecond), book: quarantine.NewBook(host), barred: make(chan struct{})}
}

// fingerprint stands for the content of a request and its caller.
func fingerprint(r *Request) quarantine.Fingerprint {
	return quarantine.Of(quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Caller: r.Header.Get("Authorization"), Body: r.Body})
}

// active reports whether anything is held against some request.
func (g *guard) active() bool { return g.known.Load() > 0 }

func (g *guard) standing(f quarantine.Fingerprint) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Standing(f)
}

func (g *guard) summary(f quarantine.Fingerprint) quarantine.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Summary(f)
}

// bars reports whether a request is barred.
func (g *guard) bars(r *Request) bool {
	return g.active() && g.standing(fingerprint(r)) == quarantine.Barred
}

// news is closed when a request is barred.
func (g *guard) news() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.barred
}

func (g *guard) dueTrial(f quarantine.Fingerprint, versions []string, now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.DueTrial(f, versions, now)
}

// changed notes what the book holds now. Callers hold the lock.
func (g *guard) changed(f quarantine.Fingerprint, before quarantine.Standing, toldBy string) {
	g.known.Store(int64(g.book.Len()))
	s := g.book.Summary(f)
	if s.Standing == before {
		return
	}
	if s.Standing == quarantine.Barred {
		close(g.barred)
		g.barred = make(chan struct{})
	}
	g.log.Warn().Stringer("fingerprint", f).Stringer("standing", s.Standing).Stringer("before", before).Str("told_by", toldBy).
		Int("servers_ended", s.Ended).Strs("servers", s.Servers).Strs("seen_by", s.Hosts).Str("what", s.What).
		Msg("standing of a request under which servers ended has changed")
}

// note takes in what this host saw of a request, lets all others know, and returns its
// standing.
func (g *guard) note(f quarantine.Fingerprint, seen quarantine.Record, now time.Time) quarantine.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.book.Standing(f)
	record := g.book.Note(f, seen, now)
	g.changed(f, before, g.host)
	value, err := proto.Marshal(encodeRecord(record))
	if err != nil {
		g.log.Error().Err(err).Stringer("fingerprint", f).Msg("a record cannot be encoded: other hosts do not learn of it")
	} else {
		g.keeper.PutRecord(quarantine.RecordName(f, g.host), value)
	}
	return g.book.Standing(f)
}

// clear takes in that a server served a request.
func (g *guard) clear(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.book.Standing(f)
	names := g.book.Clear(f)
	if len(names) == 0 {
		return
	}
	quarantineCleared.Inc()
	g.changed(f, before, g.host)
	g.keeper.RemoveRecords(names)
}

// learn takes in an entry of the store.
func (g *guard) learn(e control.Entry, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name, err := quarantine.ParseName(e.Name)
	before := g.book.Standing(name.Fingerprint)
	if err == nil {
		err = LearnRecord(g.book, e, now)
	}
	if err != nil {
		g.log.Warn().Err(err).Str("entry", e.Name).Msg("entry about a request in quarantine cannot be read; it is left out")
		return
	}
	g.changed(name.Fingerprint, before, name.Host)
}

// LearnRecord takes an entry of the store into a book.
func LearnRecord(book *quarantine.Book, e control.Entry, now time.Time) error {
	name, err := quarantine.ParseName(e.Name)
	if err != nil {
		return err
	}
	switch {
	case e.Removed:
		book.Forget(name)
	case name.Claim != "":
		book.LearnClaim(name, now)
	default:
		var record relaypb.QuarantineRecord
		if err := proto.Unmarshal(e.Value, &record); err != nil {
			return fmt.Errorf("decode the record %s: %w", e.Name, err)
		}
		book.Learn(name.Fingerprint, name.Host, decodeRecord(&record), now)
	}
	return nil
}

// sweep forgets what is over. Only a host that reads the store itself removes it there.
func (g *guard) sweep(readsStore bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.book.Expired(now)
	g.known.Store(int64(g.book.Len()))
	if len(names) == 0 {
		return
	}
	g.log.Info().Int("records", len(names)).Bool("removed_here", readsStore).Msg("records of requests in quarantine are over")
	if readsStore {
		g.keeper.RemoveRecords(names)
	}
}

func encodeRecord(r quarantine.Record) *relaypb.QuarantineRecord {
	return &relaypb.QuarantineRecord{Servers: r.Servers, Ended: uint32(r.Ended), Trial: r.Trial, Versions: r.Versions, What: r.What, At: r.At}
}

func decodeRecord(m *relaypb.QuarantineRecord) quarantine.Record {
	servers := m.GetServers()
	return quarantine.Record{
		Servers: servers[:min(len(servers), quarantine.MaxNamed)], Ended: int(m.GetEnded()), Trial: m.GetTrial(),
		Versions: m.GetVersions(), What: m.GetWhat(), At: m.GetAt(),
	}
}

// describe says to operators what a request asks for.
func describe(r *Request, routeName string) string {
	what := r.Method + " " + r.Host + r.Target + " (route " + routeName + ")"
	return what[:min(len(what), maxWhat)]
}

// logEnd writes the line about a server that ended with a request.
func (g *guard) logEnd(f quarantine.Fingerprint, r *Request, b *backend, elapsed time.Duration, reason string, trial bool) {
	serversEnded.Inc()
	g.log.Warn().Str("request", r.ID).Stringer("fingerprint", f).Str("server", b.ID).Str("service", b.Service).Str("version", b.Version).
		Dur("elapsed", elapsed).Str("reason", reason).Bool("trial", trial).Msg("server ended with a request: nothing listens at its address")
}

// versions returns the versions of the servers in service of some groups.
func versions(groups []*group) []string {
	var found []string
	for _, g := range groups {
		g.mu.Lock()
		for _, b := range g.members {
			if !slices.Contains(found, b.Version) {
				found = append(found, b.Version)
			}
		}
		g.mu.Unlock()
	}
	return found
}

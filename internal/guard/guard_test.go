package guard

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/quarantine"
)

// discardStore is a RecordStore that discards all records.
type discardStore struct{}

func (discardStore) PutRecord(string, []byte) {}
func (discardStore) RemoveRecords([]string)   {}

// A request that was served recently stays suspect. Once the grace period ends it is barred, which
// is signalled and logged once.
func TestBarAfterServedGraceIsPublished(t *testing.T) {
	var log bytes.Buffer
	g := New("h1", discardStore{}, zerolog.New(&log))
	f, start := quarantine.FingerprintOf(quarantine.Content{Target: "/x"}), time.Unix(1_000_000, 0)
	seen := quarantine.Record{Servers: []string{"a", "b", "c"}, Crashes: 3, Trials: []string{"b", "c"}}
	g.AddLocal(f, quarantine.Record{Servers: []string{"a"}, Crashes: 1}, start)
	g.Clear(f, start)
	g.AddLocal(f, seen, start)
	assert.Equal(t, g.Standing(f), quarantine.Suspect)

	signal := g.BarredSignal()
	signalled := func() bool {
		select {
		case <-signal:
			return true
		default:
			return false
		}
	}
	log.Reset()
	g.Sweep(false, start.Add(SweepInterval))
	assert.Equal(t, signalled(), false)
	assert.Equal(t, log.String(), "")

	g.Sweep(false, start.Add(time.Minute))
	assert.Equal(t, g.Standing(f), quarantine.Barred)
	assert.Equal(t, signalled(), true)
	g.Sweep(false, start.Add(time.Minute+SweepInterval))
	assert.Equal(t, strings.Count(log.String(), "standing of a request"), 1, log.String())
}

// Crashes of a request's servers are attributed to a barred request that also ran there. When the
// barred one is removed, they count against the other again and may bar it. That must be signalled
// and logged, although no record of the other request has changed.
func TestBarFollowingRemovalOfAnotherIsPublished(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	later := start.Add(24*time.Hour - time.Second)
	poison, popular := quarantine.FingerprintOf(quarantine.Content{Target: "/poison"}), quarantine.FingerprintOf(quarantine.Content{Target: "/popular"})
	trials := []string{"b", "c"}
	// addBarred adds another barred request, with servers of its own.
	addBarred := func(g *Guard, i int) {
		one, two, three := fmt.Sprint(i, "a"), fmt.Sprint(i, "b"), fmt.Sprint(i, "c")
		f := quarantine.FingerprintOf(quarantine.Content{Target: fmt.Sprint(i)})
		g.AddLocal(f, quarantine.Record{Servers: []string{one, two, three}, Crashes: 3, Trials: []string{two, three}}, later)
	}
	removals := map[string]func(g *Guard){
		"served": func(g *Guard) { g.Clear(poison, later) },
		"cleared by operator": func(g *Guard) {
			g.ApplyEntry(control.Entry{Name: quarantine.RecordKeyFor(poison, "h1"), Removed: true}, later)
		},
		"expired": func(g *Guard) { g.Sweep(false, start.Add(24*time.Hour)) },
		"evicted": func(g *Guard) { addBarred(g, quarantine.MaxRequests) },
	}
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				g := New("h1", discardStore{}, zerolog.New(&log))
				g.AddLocal(poison, quarantine.Record{Servers: []string{"a", "b", "c", "d"}, Crashes: 4, Trials: trials}, start)
				g.AddLocal(popular, quarantine.Record{Servers: []string{"a", "b", "c"}, Crashes: 3, Trials: trials}, later)
				assert.Equal(t, g.Standing(popular), quarantine.Suspect)
				// Fill the book, so that one more request evicts the oldest.
				for i := range quarantine.MaxRequests - 2 {
					addBarred(g, i)
				}
				time.Sleep(time.Minute) // Refills the rate limit of the log.
				log.Reset()
				signal := g.BarredSignal()
				remove(g)
				assert.Equal(t, g.Standing(poison), quarantine.Clear)
				assert.Equal(t, g.Standing(popular), quarantine.Barred)
				assert.Assert(t, strings.Contains(log.String(), `"fingerprint":"`+popular.String()+`","standing":"barred"`), log.String())
				select {
				case <-signal:
				default:
					t.Fatal("the bar is not signalled to calls in flight")
				}
			})
		})
	}
}

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

// nobody keeps nothing.
type nobody struct{}

func (nobody) PutRecord(string, []byte) {}
func (nobody) RemoveRecords([]string)   {}

// A request that a server has just served is barred by nothing. Where servers end under it all
// the same, it is barred once that time is over: calls under way are to end then, as with every
// other bar, and the log is to say so, once.
func TestBarThatBeginsWithTimeIsNews(t *testing.T) {
	var log bytes.Buffer
	g := New("h1", nobody{}, zerolog.New(&log))
	f, start := quarantine.Of(quarantine.Content{Target: "/x"}), time.Unix(1_000_000, 0)
	seen := quarantine.Record{Servers: []string{"a", "b", "c"}, Ended: 3, Trials: []string{"b", "c"}}
	g.Note(f, quarantine.Record{Servers: []string{"a"}, Ended: 1}, start)
	g.Clear(f, start)
	g.Note(f, seen, start)
	assert.Equal(t, g.Standing(f), quarantine.Suspect)

	news := g.News()
	told := func() bool {
		select {
		case <-news:
			return true
		default:
			return false
		}
	}
	log.Reset()
	g.Sweep(false, start.Add(SweepEvery))
	assert.Equal(t, told(), false)
	assert.Equal(t, log.String(), "")

	g.Sweep(false, start.Add(time.Minute))
	assert.Equal(t, g.Standing(f), quarantine.Barred)
	assert.Equal(t, told(), true)
	g.Sweep(false, start.Add(time.Minute+SweepEvery))
	assert.Equal(t, strings.Count(log.String(), "standing of a request"), 1, log.String())
}

// Two requests lost the same servers on trial: what both saw is put down to the one under which
// more ended, so that the other is not barred. When the first one is served, cleared by hand, over
// or driven out of a full book, nothing explains those ends any more: the other is barred, though
// nothing was told of it. Its calls under way are to end then, and the log is to name it. The log
// named only the request that an event was about: it held "standing of a request" for the first
// one, and no line with the fingerprint of the second, whose standing was barred.
func TestBarThatBeginsAsAnotherEndsIsNews(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	later := start.Add(24*time.Hour - time.Second)
	guilty, beside := quarantine.Of(quarantine.Content{Target: "/poison"}), quarantine.Of(quarantine.Content{Target: "/popular"})
	trials := []string{"b", "c"}
	bar := func(g *Guard, i int) {
		one, two, three := fmt.Sprint(i, "a"), fmt.Sprint(i, "b"), fmt.Sprint(i, "c")
		f := quarantine.Of(quarantine.Content{Target: fmt.Sprint(i)})
		g.Note(f, quarantine.Record{Servers: []string{one, two, three}, Ended: 3, Trials: []string{two, three}}, later)
	}
	ends := map[string]func(g *Guard){
		"served": func(g *Guard) { g.Clear(guilty, later) },
		"cleared by hand": func(g *Guard) {
			g.Learn(control.Entry{Name: quarantine.RecordName(guilty, "h1"), Removed: true}, later)
		},
		"over":       func(g *Guard) { g.Sweep(false, start.Add(24*time.Hour)) },
		"driven out": func(g *Guard) { bar(g, quarantine.MaxCases) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				g := New("h1", nobody{}, zerolog.New(&log))
				g.Note(guilty, quarantine.Record{Servers: []string{"a", "b", "c", "d"}, Ended: 4, Trials: trials}, start)
				g.Note(beside, quarantine.Record{Servers: []string{"a", "b", "c"}, Ended: 3, Trials: trials}, later)
				assert.Equal(t, g.Standing(beside), quarantine.Suspect)
				for i := range quarantine.MaxCases - 2 {
					bar(g, i)
				}
				time.Sleep(time.Minute) // The lines of the log are bounded by time.
				log.Reset()
				news := g.News()
				end(g)
				assert.Equal(t, g.Standing(guilty), quarantine.Clear)
				assert.Equal(t, g.Standing(beside), quarantine.Barred)
				assert.Assert(t, strings.Contains(log.String(), `"fingerprint":"`+beside.String()+`","standing":"barred"`), log.String())
				select {
				case <-news:
				default:
					t.Fatal("calls under way are not told")
				}
			})
		})
	}
}

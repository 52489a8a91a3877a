package guard

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

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

package team_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/team"
)

// However many teams there are, only a few may have a label at a time, the busiest among them, and
// a label that is withdrawn must be reported.
func TestLabelsOfTeamsAreBounded(t *testing.T) {
	b, now := team.NewBusiest(), time.Unix(0, 0)
	labels := map[string]bool{}
	count := func(name string) string {
		label, withdrawn := b.Count(name, now)
		for _, w := range withdrawn {
			assert.Assert(t, labels[w], w)
			delete(labels, w)
		}
		labels[label] = true
		assert.Assert(t, label == name || label == team.OtherTeams)
		return label
	}
	for phase := range 3 {
		var last []string
		for i := range 40_000 {
			now = now.Add(10 * time.Millisecond)
			name := fmt.Sprint("small", i%5000)
			if i%4 == 0 {
				name = fmt.Sprint("large", phase, "-", i/4%5)
			}
			label := count(name)
			assert.Assert(t, len(labels) <= 11, "%v", labels)
			if i >= 39_980 && i%4 == 0 {
				last = append(last, label)
			}
		}
		for _, label := range last {
			assert.Assert(t, label != team.OtherTeams, "phase %d", phase)
		}
	}
}

// A few teams must all keep their labels, and one that no longer asks must lose it in time.
func TestLabelsOfFewTeamsAreKept(t *testing.T) {
	b, now := team.NewBusiest(), time.Unix(0, 0)
	withdrawn := map[string]time.Duration{}
	for i := range 10_000 {
		now = now.Add(time.Second)
		name := fmt.Sprint("team", i%3)
		if i == 0 {
			name = "gone"
		}
		label, lost := b.Count(name, now)
		assert.Equal(t, label, name)
		for _, l := range lost {
			withdrawn[l] = now.Sub(time.Unix(0, 0))
		}
	}
	assert.Assert(t, len(withdrawn) == 1 && withdrawn["gone"] > 0, "%v", withdrawn)
}

package team

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxNamed is the number of teams that have a label of their own.
	maxNamed = 10
	// maxTracked is the number of teams whose requests are counted. It exceeds maxNamed, so that a
	// team which becomes busy is found although its count starts low.
	maxTracked = 64
	// renameInterval is the interval at which the labels are chosen anew and the counts halved.
	renameInterval = time.Minute
	// namedAdvantage is the factor by which a team without a label must be busier than one with a
	// label to take its place, so that labels rarely change.
	namedAdvantage = 2
	// minCount is the count below which a team is forgotten: that of one request ten intervals ago.
	minCount = 1.0 / 1024
)

// OtherTeams is the label of the teams that have none of their own.
const OtherTeams = "other"

// Busiest bounds the labels of metrics by team: the teams with the most recent requests have a label
// each. It counts at most maxTracked teams; one that is new takes the place and the count of the
// least busy one (the Space-Saving algorithm). It is not safe for concurrent use.
type Busiest struct {
	counts map[string]float64
	named  map[string]bool
	// chosenAt is when the labels were chosen.
	chosenAt time.Time
}

// NewBusiest returns a Busiest without teams.
func NewBusiest() *Busiest {
	return &Busiest{counts: map[string]float64{}, named: map[string]bool{}}
}

// Count counts a request of a team. It returns the label of the team, and the labels that were
// withdrawn since the last call.
func (b *Busiest) Count(team string, now time.Time) (label string, withdrawn []string) {
	b.increase(team)
	if now.Sub(b.chosenAt) >= renameInterval {
		b.chosenAt = now
		withdrawn = b.choose()
	}
	if len(b.named) < maxNamed {
		b.named[team] = true
	}
	if !b.named[team] {
		return OtherTeams, withdrawn
	}
	return team, withdrawn
}

func (b *Busiest) increase(team string) {
	if _, ok := b.counts[team]; !ok && len(b.counts) >= maxTracked {
		least := ""
		for name := range b.counts {
			if least == "" || b.compare(name, least) < 0 {
				least = name
			}
		}
		b.counts[team] = b.counts[least]
		delete(b.counts, least)
	}
	b.counts[team]++
}

// compare orders teams by count, and by name if the counts are equal.
func (b *Busiest) compare(p, q string) int {
	return cmp.Or(cmp.Compare(b.counts[p], b.counts[q]), cmp.Compare(q, p))
}

// choose names the busiest teams, returns the labels that were withdrawn, and ages the counts.
func (b *Busiest) choose() (withdrawn []string) {
	before := b.named
	for name := range before {
		if _, ok := b.counts[name]; ok {
			b.counts[name] *= namedAdvantage
		}
	}
	teams := slices.SortedFunc(maps.Keys(b.counts), func(p, q string) int { return b.compare(q, p) })
	b.named = map[string]bool{}
	for _, name := range teams[:min(len(teams), maxNamed)] {
		b.named[name] = true
	}
	for name := range before {
		if _, ok := b.counts[name]; ok {
			b.counts[name] /= namedAdvantage
		}
		if !b.named[name] {
			withdrawn = append(withdrawn, name)
		}
	}
	for name := range b.counts {
		if b.counts[name] /= 2; b.counts[name] < minCount {
			delete(b.counts, name)
		}
	}
	slices.Sort(withdrawn)
	return withdrawn
}

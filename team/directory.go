package team

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/mallowgap/mallowgap/quota"
)

// secretBytes is the length of the secret that digests of keys depend on.
const secretBytes = 32

// digest is a digest of a key. It depends on a secret of the directory, so that callers cannot
// choose keys whose digests share a prefix.
type digest [sha256.Size]byte

// holder is the team that holds a key, as an index; noTeam if several do, or one without a name.
type holder struct {
	digest digest
	team   int32
}

const noTeam = -1

// Directory finds teams by key and by name. It is safe for concurrent use.
type Directory struct {
	secret [secretBytes]byte
	// teams are without their keys.
	teams  []Team
	byName map[string]int32
	// holders are ordered by digest, with one entry for each.
	holders []holder
	// problems are in the order of the teams.
	problems []Problem
}

// Problem is an invalid value of a team and what is done instead. It contains no key.
type Problem struct {
	// Team is the name of the team, or its place in the list as #1 if the name cannot be used.
	Team   string
	Field  string
	Remedy string
}

// NewDirectory returns a directory of the teams. Its Problems tell how invalid values are treated.
func NewDirectory(teams []Team) *Directory {
	b := newBuilder(teams)
	slices.SortStableFunc(b.problems, func(p, q placedProblem) int { return cmp.Compare(p.place, q.place) })
	for _, p := range b.problems {
		b.directory.problems = append(b.directory.problems, p.Problem)
	}
	return b.directory
}

// Problems returns the invalid values of the teams, in the order of the teams.
func (d *Directory) Problems() []Problem { return d.problems }

// Len returns the number of teams.
func (d *Directory) Len() int { return len(d.teams) }

// Team returns the team with the name.
func (d *Directory) Team(name string) (*Team, bool) {
	i, ok := d.byName[name]
	if !ok {
		return nil, false
	}
	return &d.teams[i], true
}

// Lookup returns the team that holds the key. The time it takes tells nothing about the keys of the
// directory.
func (d *Directory) Lookup(key string) (*Team, bool) {
	wanted := d.digest(key)
	i, _ := slices.BinarySearchFunc(d.holders, wanted, func(h holder, wanted digest) int { return comparePrefix(h.digest, wanted) })
	for ; i < len(d.holders) && comparePrefix(d.holders[i].digest, wanted) == 0; i++ {
		h := &d.holders[i]
		if subtle.ConstantTimeCompare(h.digest[:], wanted[:]) == 1 && h.team != noTeam {
			return &d.teams[h.team], true
		}
	}
	return nil, false
}

// prefixBytes is how much of a digest is compared in variable time.
const prefixBytes = 8

func comparePrefix(a, b digest) int { return bytes.Compare(a[:prefixBytes], b[:prefixBytes]) }

func (d *Directory) digest(key string) digest {
	const usualBytes = 128
	text := append(make([]byte, 0, usualBytes), d.secret[:]...)
	return sha256.Sum256(append(text, key...))
}

// builder builds a directory and collects the problems.
type builder struct {
	directory *Directory
	problems  []placedProblem
	// places holds the place in the list of each team of the directory.
	places []int
}

// placedProblem is a problem of the team at a place of the list.
type placedProblem struct {
	place int
	Problem
}

func newBuilder(teams []Team) *builder {
	keys := 0
	for i := range teams {
		keys += len(teams[i].Keys)
	}
	b := &builder{
		directory: &Directory{teams: make([]Team, 0, len(teams)), byName: make(map[string]int32, len(teams)), holders: make([]holder, 0, keys)},
		places:    make([]int, 0, len(teams)),
	}
	_, _ = rand.Read(b.directory.secret[:]) // Never fails.
	for place := range teams {
		b.add(place, &teams[place])
	}
	b.joinHolders()
	return b
}

func (b *builder) warn(place int, team, field, remedy string) {
	b.problems = append(b.problems, placedProblem{place, Problem{team, field, remedy}})
}

// add adds a team unless its name cannot be used.
func (b *builder) add(place int, t *Team) {
	d := b.directory
	if !validName(t.Name) {
		b.addHolders(t, noTeam)
		b.warn(place, fmt.Sprintf("#%d", place+1), "name", "the team is ignored and its keys are refused; set a name without control characters and without spaces at its ends")
		return
	}
	if _, ok := d.byName[t.Name]; ok {
		b.warn(place, t.Name, "name", "an earlier team has the same name, so this one is ignored and its keys are refused; give each team a name of its own")
		return
	}
	d.byName[t.Name] = int32(len(d.teams))
	d.teams = append(d.teams, Team{Name: t.Name, Priority: t.Priority, Limit: b.checkedLimit(place, t)})
	b.places = append(b.places, place)
	b.addKeys(place, t)
	if t.Priority != nil && *t.Priority < 0 {
		b.warn(place, t.Name, "priority", "0, the highest, is used instead; set 0 or more")
	}
	for _, field := range t.UndecodableFields {
		b.warn(place, t.Name, field, "a key that cannot be decoded is refused, a priority is that of the route, and with a rate or burst that cannot be decoded all requests of the team are refused; correct it")
	}
}

// validName reports whether a name can be sent in a header without a change.
func validName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// checkedLimit returns the limit of a team, marked as invalid if a value is out of range.
func (b *builder) checkedLimit(place int, t *Team) quota.Limit {
	limit := t.Limit
	for _, value := range []struct {
		field string
		n     float64
	}{{"rate", limit.PerSecond}, {"burst", limit.Burst}} {
		if !(value.n >= 0) || math.IsInf(value.n, 1) {
			limit.Invalid = true
			b.warn(place, t.Name, value.field, "all requests of the team are refused; set 0 or a positive number")
		}
	}
	return limit
}

func (b *builder) addKeys(place int, t *Team) {
	usable := b.addHolders(t, int32(len(b.directory.teams)-1))
	for range len(t.Keys) - usable {
		b.warn(place, t.Name, "keys", "an empty key is ignored; remove it")
	}
	if usable == 0 {
		b.warn(place, t.Name, "keys", "the team has no key, so no request can be its; add a key")
	}
}

// addHolders adds the keys of a team and returns the number of those that are not empty.
func (b *builder) addHolders(t *Team, index int32) (usable int) {
	d := b.directory
	for _, key := range t.Keys {
		if key != "" {
			d.holders = append(d.holders, holder{d.digest(key), index})
			usable++
		}
	}
	return usable
}

// joinHolders sorts the holders and joins those of one key.
func (b *builder) joinHolders() {
	d := b.directory
	slices.SortFunc(d.holders, func(a, b holder) int {
		return cmp.Or(bytes.Compare(a.digest[:], b.digest[:]), cmp.Compare(a.team, b.team))
	})
	joined := d.holders[:0]
	for start, end := 0, 0; start < len(d.holders); start = end {
		for end = start + 1; end < len(d.holders) && d.holders[end].digest == d.holders[start].digest; end++ {
		}
		joined = append(joined, b.join(d.holders[start:end]))
	}
	d.holders = slices.Clip(joined)
}

// join returns the holder of a key that appears in the given places of the configuration.
func (b *builder) join(same []holder) holder {
	first, last := same[0], same[len(same)-1]
	if first.team == last.team {
		if len(same) > 1 && first.team != noTeam {
			b.warnHolder(first.team, "a key is listed more than once; list it once")
		}
		return first
	}
	for i, h := range same {
		if h.team == noTeam || i > 0 && same[i-1].team == h.team {
			continue
		}
		other := first.team
		if h.team == first.team {
			other = last.team
		}
		b.warnHolder(h.team, fmt.Sprintf("a key is also a key of %s and is refused; give each team keys of its own", b.describe(other)))
	}
	return holder{first.digest, noTeam}
}

func (b *builder) describe(team int32) string {
	if team == noTeam {
		return "a team whose name cannot be used"
	}
	return fmt.Sprintf("team %q", b.directory.teams[team].Name)
}

func (b *builder) warnHolder(team int32, remedy string) {
	b.warn(b.places[team], b.directory.teams[team].Name, "keys", remedy)
}

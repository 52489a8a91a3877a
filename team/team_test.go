package team_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/team"
)

// Anything but one value of the scheme Bearer with a key must count as no key.
func TestCredential(t *testing.T) {
	for name, test := range map[string]struct {
		values []string
		key    string
	}{
		"missing":          {nil, ""},
		"empty":            {[]string{""}, ""},
		"bearer":           {[]string{"Bearer k"}, "k"},
		"other case":       {[]string{"bEARER k"}, "k"},
		"more spaces":      {[]string{"Bearer   k"}, "k"},
		"key with a space": {[]string{"Bearer k l"}, "k l"},
		"any bytes":        {[]string{"Bearer \xff\x00,="}, "\xff\x00,="},
		"given twice":      {[]string{"Bearer k", "Bearer k"}, ""},
		"empty and key":    {[]string{"", "Bearer k"}, ""},
		"no key":           {[]string{"Bearer "}, ""},
		"no space":         {[]string{"Bearer"}, ""},
		"only a key":       {[]string{"k"}, ""},
		"tab":              {[]string{"Bearer\tk"}, ""},
		"other scheme":     {[]string{"Basic k"}, ""},
		"longer scheme":    {[]string{"Bearers k"}, ""},
		"leading space":    {[]string{" Bearer k"}, ""},
	} {
		key, ok := team.Credential(test.values)
		assert.Equal(t, key, test.key, name)
		assert.Equal(t, ok, test.key != "", name)
	}
}

func pointer(n int) *int { return &n }

func TestPriorityOfTheTeamTakesPrecedence(t *testing.T) {
	var none *team.Team
	assert.Equal(t, none.Rank(3), uint32(3))
	assert.Equal(t, (&team.Team{}).Rank(3), uint32(3))
	for priority, rank := range map[int]uint32{0: 0, 7: 7, -1: 0, math.MinInt: 0, math.MaxInt: math.MaxInt32} {
		assert.Equal(t, (&team.Team{Priority: pointer(priority)}).Rank(3), rank)
	}
}

// Each mistake in the list of teams must have one defined effect and a warning without the key, and
// leave the other teams alone.
func TestMistakesInTheListOfTeams(t *testing.T) {
	const key, otherKey = "secret-1", "secret-2"
	for name, test := range map[string]struct {
		teams []team.Team
		// holder is the team to which key belongs, "" if to none; warned lists the teams and
		// fields of the warnings.
		holder string
		warned []string
	}{
		"no mistake":     {[]team.Team{{Name: "a", Keys: []string{key, "x"}}}, "a", nil},
		"empty name":     {[]team.Team{{Keys: []string{key}}}, "", []string{"#1 name"}},
		"name in lines":  {[]team.Team{{Name: "a\r\nX: y", Keys: []string{key}}}, "", []string{"#1 name"}},
		"space at end":   {[]team.Team{{Name: "a ", Keys: []string{key}}}, "", []string{"#1 name"}},
		"one name twice": {[]team.Team{{Name: "a", Keys: []string{"x"}}, {Name: "a", Keys: []string{key}}}, "", []string{"a name"}},
		"key of a team without a name": {[]team.Team{{Name: "a", Keys: []string{key}}, {Keys: []string{"x", key, key}}, {Name: "b", Keys: []string{"y", key}}}, "",
			[]string{"a keys", "#2 name", "b keys"}},
		"also of a team without a name": {[]team.Team{{Keys: []string{key}}, {Name: "a", Keys: []string{"x", key}}}, "", []string{"#1 name", "a keys"}},
		"first wins":                    {[]team.Team{{Name: "a", Keys: []string{key}}, {Name: "a", Keys: []string{"x"}}}, "a", []string{"a name"}},
		"no key":                        {[]team.Team{{Name: "a"}, {Name: "b", Keys: []string{key}}}, "b", []string{"a keys"}},
		"empty key":                     {[]team.Team{{Name: "a", Keys: []string{"", key}}}, "a", []string{"a keys"}},
		"key twice":                     {[]team.Team{{Name: "a", Keys: []string{key, "x", key}}}, "a", []string{"a keys"}},
		"key of two":                    {[]team.Team{{Name: "a", Keys: []string{key}}, {Name: "b", Keys: []string{"x", key}}}, "", []string{"a keys", "b keys"}},
		"key of three": {[]team.Team{{Name: "a", Keys: []string{key, key}}, {Name: "b", Keys: []string{key}}, {Name: "c", Keys: []string{key}}}, "",
			[]string{"a keys", "b keys", "c keys"}},
		"negative priority": {[]team.Team{{Name: "a", Keys: []string{key}, Priority: pointer(-2)}}, "a", []string{"a priority"}},
		"negative rate":     {[]team.Team{{Name: "a", Keys: []string{key}, Limit: quota.Limit{PerSecond: -1}}}, "a", []string{"a rate"}},
		"rate and burst":    {[]team.Team{{Name: "a", Keys: []string{key}, Limit: quota.Limit{PerSecond: math.NaN(), Burst: math.Inf(1)}}}, "a", []string{"a rate", "a burst"}},
		"not decoded":       {[]team.Team{{Name: "a", Keys: []string{key}, UndecodableFields: []string{"keys"}}}, "a", []string{"a keys"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := team.NewDirectory(append(test.teams, team.Team{Name: "last", Keys: []string{otherKey}}))
			assertHolder(t, d, key, test.holder)
			assertHolder(t, d, otherKey, "last")
			for _, unknown := range []string{"", "secret", key + " ", key + "\x00", strings.ToUpper(key)} {
				assertHolder(t, d, unknown, "")
			}
			var warned []string
			for _, p := range team.NewDirectory(test.teams).Problems() {
				warned = append(warned, p.Team+" "+p.Field)
				assert.Assert(t, p.Remedy != "" && !strings.Contains(fmt.Sprint(p), key), "%+v", p)
			}
			assert.DeepEqual(t, warned, test.warned)
		})
	}
}

func assertHolder(t *testing.T, d *team.Directory, key, name string) {
	t.Helper()
	found, ok := d.Lookup(key)
	assert.Equal(t, ok, name != "", "%q", key)
	if ok {
		assert.Equal(t, found.Name, name)
		assert.Equal(t, len(found.Keys), 0, "the directory must not hold keys")
		same, ok := d.Team(name)
		assert.Assert(t, ok && same == found)
	}
}

// A limit that is out of range must not count as no limit.
func TestInvalidLimit(t *testing.T) {
	for _, limit := range []quota.Limit{{PerSecond: -1, Burst: 5}, {Burst: -1}, {PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}, {Invalid: true}} {
		found, ok := team.NewDirectory([]team.Team{{Name: "a", Limit: limit}}).Team("a")
		assert.Assert(t, ok && found.Limit.Invalid && found.Limit.Limited(), "%+v", limit)
	}
	d := team.NewDirectory([]team.Team{{Name: "a", Limit: quota.Limit{PerSecond: 2, Burst: 3}}})
	found, _ := d.Team("a")
	assert.Equal(t, found.Limit, quota.Limit{PerSecond: 2, Burst: 3})
	_, ok := d.Team("b")
	assert.Assert(t, !ok && d.Len() == 1)
}

// Whatever a caller sends must find a team only if it is exactly one of its keys.
func FuzzLookup(f *testing.F) {
	const key = "82p5\x00\xff é"
	d := team.NewDirectory([]team.Team{{Name: "a", Keys: []string{key}}, {Name: "b", Keys: []string{"b", "c"}}, {Name: "c", Keys: []string{"c"}}})
	for _, value := range []string{"Bearer " + key, "bearer b", "Bearer c", "Bearer", "", "Bearer  \xff", "Basic b"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		sent, ok := team.Credential([]string{value})
		assert.Assert(t, ok == (sent != "") && strings.HasSuffix(value, sent))
		found, known := d.Lookup(sent)
		assert.Equal(t, known, sent == key || sent == "b")
		assert.Assert(t, !known || found.Name == map[string]string{key: "a", "b": "b"}[sent])
	})
}

// manyTeams returns n teams with two keys each.
func manyTeams(n int) []team.Team {
	teams := make([]team.Team, n)
	for i := range teams {
		teams[i] = team.Team{Name: fmt.Sprint("team", i), Keys: []string{fmt.Sprintf("key-%d-%032d", i, 1), fmt.Sprintf("key-%d-%032d", i, 2)}}
	}
	return teams
}

func TestManyTeams(t *testing.T) {
	teams := manyTeams(100_000)
	d := team.NewDirectory(teams)
	assert.Equal(t, d.Len(), len(teams))
	for i := 0; i < len(teams); i += 997 {
		for _, key := range teams[i].Keys {
			assertHolder(t, d, key, teams[i].Name)
		}
	}
	assert.Equal(t, len(d.Problems()), 0)
}

func BenchmarkNewDirectory(b *testing.B) {
	teams := manyTeams(100_000)
	b.ReportAllocs()
	for b.Loop() {
		team.NewDirectory(teams)
	}
}

func BenchmarkLookup(b *testing.B) {
	teams := manyTeams(100_000)
	d := team.NewDirectory(teams)
	b.ReportAllocs()
	for b.Loop() {
		d.Lookup(teams[54321].Keys[1])
	}
}

package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What stands in one field cannot be taken for what stands in two.
func TestFingerprintTellsContentsApart(t *testing.T) {
	contents := []Content{
		{Method: "GET", Host: "a", Target: "/x"},
		{Method: "GET", Host: "a/", Target: "x"},
		{Method: "GET", Host: "a", Target: "/x", Caller: "k"},
		{Method: "GET", Host: "a", Target: "/x", Body: []byte("k")},
		{Method: "POST", Host: "a", Target: "/x"},
	}
	seen := map[Fingerprint]bool{}
	for _, c := range contents {
		f := Of(c)
		assert.Assert(t, !seen[f], "%+v", c)
		seen[f] = true
		parsed, err := Parse(f.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, f)
	}
	assert.Equal(t, Of(contents[0]), Of(contents[0]))
	_, err := Parse("xyz")
	assert.ErrorContains(t, err, "no fingerprint")
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Content{Method: "POST", Host: "desk.example", Target: "/q/" + strings.Repeat("x", 40), Body: make([]byte, size)}
			for b.Loop() {
				_ = Of(c)
			}
		})
	}
}

var day = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func seen(trial bool, servers ...string) Record {
	r := Record{Servers: servers, Ended: len(servers), Versions: []string{"1"}, What: "GET /x"}
	if trial {
		r.Trials = servers
	}
	return r
}

// A request is barred once three servers ended, two of them on trial, whoever saw them.
func TestStanding(t *testing.T) {
	f := Of(Content{Target: "/x"})
	b := NewBook("h1")
	assert.Equal(t, b.Standing(f), Clear)
	b.Note(f, seen(false, "a", "b", "c", "d"), day)
	assert.Equal(t, b.Standing(f), Suspect)
	b.Learn(f, "h2", seen(true, "a"), day)
	assert.Equal(t, b.Standing(f), Suspect, "one trial")
	b.Learn(f, "h3", seen(true, "b"), day)
	assert.Equal(t, b.Standing(f), Barred)

	g := Of(Content{Target: "/y"})
	b.Learn(g, "h2", seen(false, "x"), day)
	b.Learn(g, "h3", seen(true, "y"), day)
	assert.Equal(t, b.Standing(g), Suspect, "two servers")
	b.Note(g, seen(true, "y"), day)
	assert.Equal(t, b.Standing(g), Suspect, "the same server, seen by two hosts")
	record := b.Note(g, seen(true, "z"), day)
	assert.Equal(t, b.Standing(g), Barred)
	assert.DeepEqual(t, record.Servers, []string{"y", "z"})
	assert.Equal(t, b.Summaries()[0].Standing, Barred)

	own, over, known := b.Clear(g, day)
	assert.Assert(t, known && own.Served)
	assert.DeepEqual(t, over, []string{RecordName(g, "h2"), RecordName(g, "h3")})
	assert.Equal(t, b.Standing(g), Clear)
	b.Note(g, seen(true, "u", "v", "w"), day)
	assert.Equal(t, b.Standing(g), Suspect, "it was served a moment ago")
	b.Expired(day.Add(servedLife))
	assert.Equal(t, b.Standing(g), Barred)
	b.Learn(g, "h4", Record{Served: true}, day)
	assert.Equal(t, b.Standing(g), Suspect, "served at another host")
	b.Clear(g, day)
	assert.DeepEqual(t, b.Expired(day.Add(servedLife)), []string{RecordName(g, "h1")})
	for _, host := range []string{"h1", "h2", "h3"} {
		b.Forget(Name{Fingerprint: f, Host: host}, day)
	}
	assert.Equal(t, b.Len(), 0)
}

// A barred request is tried again twice, later each time, and once when all servers are new.
func TestTrialsAreFew(t *testing.T) {
	f := Of(Content{Target: "/x"})
	b := NewBook("h1")
	b.Note(f, seen(true, "a", "b", "c"), day)
	claim := func(after time.Duration, versions ...string) string {
		name, due := b.DueTrial(f, versions, day.Add(after))
		if !due {
			return ""
		}
		n, err := ParseName(name)
		assert.NilError(t, err)
		b.LearnClaim(n, day.Add(after))
		return n.Claim
	}
	assert.Equal(t, claim(FirstProbation-1, "1"), "")
	assert.Equal(t, claim(FirstProbation, "1"), "probation-1")
	assert.Equal(t, claim(2*FirstProbation, "1"), "")
	assert.Equal(t, claim(2*FirstProbation, "1", "2"), "", "servers of the version before are in service")
	assert.Equal(t, claim(2*FirstProbation, "3", "2"), "version-2-3")
	assert.Equal(t, claim(2*FirstProbation, "2", "3"), "")
	assert.Equal(t, claim(probationGrowth*FirstProbation), "probation-2")
	assert.Equal(t, claim(barLife), "")
}

func TestRecordsEnd(t *testing.T) {
	f, g := Of(Content{Target: "/x"}), Of(Content{Target: "/y"})
	b := NewBook("h1")
	b.Note(f, seen(true, "a", "b", "c"), day)
	b.Note(g, seen(true, "a"), day)
	assert.Equal(t, len(b.Expired(day.Add(suspicionLife-1))), 0)
	assert.DeepEqual(t, b.Expired(day.Add(suspicionLife)), []string{RecordName(g, "h1")})
	assert.DeepEqual(t, b.Expired(day.Add(barLife)), []string{RecordName(f, "h1")})
	assert.Equal(t, b.Len(), 0)
}

// A caller that sends ever new contents can fill the book, but drives out nothing barred
// while something is left that is not.
func TestBookIsBounded(t *testing.T) {
	b := NewBook("h1")
	barred := Of(Content{Target: "/x"})
	b.Note(barred, seen(true, "a", "b", "c"), day)
	for i := range 3 * MaxCases {
		r := b.Note(Of(Content{Target: fmt.Sprint("/", i)}), seen(false, strings.Split("a b c d e f g h i j k l m n", " ")...), day.Add(time.Duration(i+1)))
		assert.Equal(t, len(r.Servers), MaxNamed)
	}
	assert.Equal(t, b.Len(), MaxCases)
	assert.Equal(t, b.Standing(barred), Barred)
}

func TestNames(t *testing.T) {
	f := Of(Content{Target: "/x"})
	n, err := ParseName(RecordName(f, "h1"))
	assert.NilError(t, err)
	assert.Equal(t, n, Name{Fingerprint: f, Host: "h1"})
	for _, bad := range []string{"", "x", f.String(), f.String() + "/host/", f.String() + "/h1", "zz/host/h1"} {
		_, err := ParseName(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// A query sends to one server at a time while more servers ended under it than served it, and
// an end on trial counts only where the others lie back a while.
func TestSuspicion(t *testing.T) {
	at := func(ms int) time.Time { return day.Add(time.Duration(ms) * time.Millisecond) }
	var s Suspicion
	assert.Assert(t, !s.OnTrial())
	stop, told := s.Ended(End{Server: "a", Version: "1"}, at(0))
	assert.Assert(t, !stop && !told && s.OnTrial())
	stop, _ = s.Ended(End{Server: "b", Version: "1"}, at(1))
	assert.Assert(t, stop, "two ended and none served")
	stop, _ = s.Ended(End{Server: "c"}, at(2))
	assert.Assert(t, !stop, "it was stopped before")
	_, told = s.Ended(End{Server: "d", OnTrial: true}, at(5))
	assert.Assert(t, !told, "it may have ended with the others")
	assert.Equal(t, s.TrialFrom(), at(2).Add(trialSettle))
	_, told = s.Ended(End{Server: "e", OnTrial: true}, at(40))
	assert.Assert(t, told)
	record, any := s.Tell()
	assert.Assert(t, any)
	assert.DeepEqual(t, record, Record{Servers: []string{"a", "b", "c", "d", "e"}, Ended: 5, Trials: []string{"e"}, Versions: []string{"1"}, At: at(40).UnixMilli()})
	_, any = s.Tell()
	assert.Assert(t, !any, "told once")
	assert.Assert(t, s.OnTrial(), "it stays suspected")
}

// What serves a query clears it: the servers that ended before do not count any more, nor do
// fewer than served it.
func TestSuspicionEndsWhereAServerServes(t *testing.T) {
	var s Suspicion
	s.Suspect(time.Time{})
	assert.Assert(t, s.OnTrial())
	s.Ended(End{Server: "a"}, day)
	assert.Assert(t, s.Served() && !s.Served(), "the first clears")
	assert.Assert(t, !s.OnTrial())
	s.Ended(End{Server: "b"}, day)
	s.Ended(End{Server: "c"}, day)
	_, any := s.Tell()
	assert.Assert(t, !any, "two served and two ended")
	stop, _ := s.Ended(End{Server: "d"}, day)
	assert.Assert(t, s.OnTrial() && !stop)
}

// Whatever happens to a query, what it tells are servers that ended and a trial only where there
// was one.
func TestSuspicionTellsWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Suspicion
		ended, trials, told, now := 0, 0, 0, day
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Served()
			case 1:
				ended++
				s.Ended(End{Server: fmt.Sprint(i)}, now)
			case 2:
				ended++
				trials++
				s.Ended(End{Server: fmt.Sprint(i), OnTrial: true}, now)
			case 3:
				r, any := s.Tell()
				told += r.Ended
				assert.Assert(t, any || r.Ended == 0)
				assert.Assert(t, len(r.Trials) <= trials)
				assert.Assert(t, len(r.Servers) <= min(r.Ended, MaxNamed))
			}
			assert.Assert(t, told <= ended)
		}
	})
}

// A broken call counts where its server's entry tells soon after that it ended, once.
func TestWitnesses(t *testing.T) {
	w := NewWitnesses()
	broke := func(server string, at time.Time) {
		w.Broke(BrokenCall{Fingerprint: Of(Content{Target: "/x"}), End: End{Server: server}, At: at})
	}
	broke("a#1", day)
	broke("b#1", day)
	assert.Equal(t, len(w.Ended("c#1", day)), 0)
	assert.Equal(t, len(w.Ended("a#1", day.Add(witnessLife-1))), 1)
	assert.Equal(t, len(w.Ended("a#1", day.Add(witnessLife-1))), 0)
	assert.Equal(t, len(w.Ended("b#1", day.Add(witnessLife))), 0, "too late")
	for i := range 2 * maxBroken {
		broke(fmt.Sprint(i), day)
	}
	assert.Equal(t, w.count, maxBroken)
	broke("last", day.Add(witnessLife))
	assert.Equal(t, w.count, 1, "those that are over make room")
}

// Two requests were on trial at the same servers, after one of them had ended others under both.
// What both saw is put down to the one that ended more, and the other is free to be tried.
func TestEndsArePutDownToOneRequest(t *testing.T) {
	guilty, beside := Of(Content{Target: "/poison"}), Of(Content{Target: "/popular"})
	b := NewBook("h1")
	b.Note(beside, Record{Servers: []string{"a", "b", "c", "d"}, Trials: []string{"c", "d"}, Ended: 4}, day)
	assert.Equal(t, b.Standing(beside), Barred, "nothing else explains it")
	b.Learn(guilty, "h2", Record{Servers: []string{"a", "b", "e", "c", "d"}, Trials: []string{"c", "d"}, Ended: 5}, day)
	assert.Equal(t, b.Standing(guilty), Barred)
	assert.Equal(t, b.Standing(beside), Suspect)
	_, due := b.DueTrial(guilty, nil, day)
	assert.Assert(t, !due)
	b.Learn(beside, "h3", Record{Servers: []string{"f", "g", "h"}, Trials: []string{"g", "h"}, Ended: 3}, day)
	assert.Equal(t, b.Standing(beside), Barred, "it ended three by itself")
	assert.Equal(t, b.Standing(guilty), Suspect, "and now more than the other")
	b.Note(guilty, Record{Servers: []string{"i", "j", "k"}, Trials: []string{"j", "k"}, Ended: 9}, day)
	assert.Equal(t, b.Standing(guilty), Barred)
	assert.Equal(t, b.Standing(beside), Barred)
}

// What the store has of a host's own record may be older than what the host knows, and longer than
// a host would write.
func TestRecordsOfTheStoreAreTakenWithCare(t *testing.T) {
	f := Of(Content{Target: "/x"})
	b := NewBook("h1")
	b.Note(f, seen(true, "a"), day)
	b.Note(f, seen(true, "b", "c"), day)
	b.Learn(f, "h1", seen(true, "a"), day)
	assert.Equal(t, b.Standing(f), Barred)
	long := seen(true, strings.Split(strings.Repeat("x y z ", 100), " ")...)
	for i := range long.Servers {
		long.Servers[i] += fmt.Sprint(i)
	}
	long.What = strings.Repeat("w", 1000)
	b.Learn(f, "h2", long, day)
	s := b.Summary(f)
	assert.Assert(t, len(s.Servers) <= 3+MaxNamed)
	assert.Assert(t, len(s.What) <= MaxWhat)
}

// BenchmarkStandingOfBarred is a book full of barred requests that share no server.
func BenchmarkStandingOfBarred(b *testing.B) {
	book := NewBook("h1")
	var last Fingerprint
	for i := range MaxCases {
		last = Of(Content{Target: fmt.Sprint(i)})
		book.Note(last, seen(true, fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)), day)
	}
	for b.Loop() {
		assert.Equal(b, book.Standing(last), Barred)
	}
}

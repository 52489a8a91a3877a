package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Contents that are equal when their fields are concatenated have different fingerprints.
func TestFingerprintsOfDifferentContentsDiffer(t *testing.T) {
	contents := []Content{
		{Method: "GET", Host: "a", Target: "/x"},
		{Method: "GET", Host: "a/", Target: "x"},
		{Method: "GET", Host: "a", Target: "/x", Caller: "k"},
		{Method: "GET", Host: "a", Target: "/x", Body: []byte("k")},
		{Method: "POST", Host: "a", Target: "/x"},
	}
	seen := map[Fingerprint]bool{}
	for _, c := range contents {
		f := FingerprintOf(c)
		assert.Assert(t, !seen[f], "%+v", c)
		seen[f] = true
		parsed, err := ParseFingerprint(f.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, f)
	}
	assert.Equal(t, FingerprintOf(contents[0]), FingerprintOf(contents[0]))
	_, err := ParseFingerprint("xyz")
	assert.ErrorContains(t, err, "no fingerprint")
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Content{Method: "POST", Host: "desk.example", Target: "/q/" + strings.Repeat("x", 40), Body: make([]byte, size)}
			for b.Loop() {
				_ = FingerprintOf(c)
			}
		})
	}
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// crashRecord returns a record of crashes of the servers, all on trial or none.
func crashRecord(trial bool, servers ...string) Record {
	r := Record{Servers: servers, Crashes: len(servers), Versions: []string{"1"}, Description: "GET /x"}
	if trial {
		r.Trials = servers
	}
	return r
}

// A request is barred after three crashes, two of them on trial, whichever hosts saw them.
func TestStanding(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	b := NewBook("h1")
	assert.Equal(t, b.Standing(f), Clear)
	b.AddLocal(f, crashRecord(false, "a", "b", "c", "d"), start)
	assert.Equal(t, b.Standing(f), Suspect)
	b.ApplyRecord(f, "h2", crashRecord(true, "a"), start)
	assert.Equal(t, b.Standing(f), Suspect, "one trial")
	b.ApplyRecord(f, "h3", crashRecord(true, "b"), start)
	assert.Equal(t, b.Standing(f), Barred)

	g := FingerprintOf(Content{Target: "/y"})
	b.ApplyRecord(g, "h2", crashRecord(false, "x"), start)
	b.ApplyRecord(g, "h3", crashRecord(true, "y"), start)
	assert.Equal(t, b.Standing(g), Suspect, "two servers")
	b.AddLocal(g, crashRecord(true, "y"), start)
	assert.Equal(t, b.Standing(g), Suspect, "the same server, seen by two hosts")
	record := b.AddLocal(g, crashRecord(true, "z"), start)
	assert.Equal(t, b.Standing(g), Barred)
	assert.DeepEqual(t, record.Servers, []string{"y", "z"})
	assert.Equal(t, b.Summaries()[0].Standing, Barred)

	own, obsolete, known := b.Clear(g, start)
	assert.Assert(t, known && own.Served)
	assert.DeepEqual(t, obsolete, []string{RecordKeyFor(g, "h2"), RecordKeyFor(g, "h3")})
	assert.Equal(t, b.Standing(g), Clear)
	b.AddLocal(g, crashRecord(true, "u", "v", "w"), start)
	assert.Equal(t, b.Standing(g), Suspect, "served within the grace period")
	b.RemoveExpired(start.Add(servedGrace))
	assert.Equal(t, b.Standing(g), Barred)
	b.ApplyRecord(g, "h4", Record{Served: true}, start)
	assert.Equal(t, b.Standing(g), Suspect, "served by another host")
	b.Clear(g, start)
	assert.DeepEqual(t, b.RemoveExpired(start.Add(servedGrace)), []string{RecordKeyFor(g, "h1")})
	for _, host := range []string{"h1", "h2", "h3"} {
		b.RemoveRecord(RecordKey{Fingerprint: f, Host: host}, start)
	}
	assert.Equal(t, b.Len(), 0)
}

// A barred request gets two trials, each after a longer probation, and one when all servers run new
// versions.
func TestTrialsAreBounded(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	b := NewBook("h1")
	b.AddLocal(f, crashRecord(true, "a", "b", "c"), start)
	claim := func(after time.Duration, versions ...string) string {
		name, due := b.DueTrial(f, versions, start.Add(after))
		if !due {
			return ""
		}
		key, err := ParseRecordKey(name)
		assert.NilError(t, err)
		b.ApplyClaim(key, start.Add(after))
		return key.Claim
	}
	assert.Equal(t, claim(FirstProbation-1, "1"), "")
	assert.Equal(t, claim(FirstProbation, "1"), "probation-1")
	assert.Equal(t, claim(2*FirstProbation, "1"), "")
	assert.Equal(t, claim(2*FirstProbation, "1", "2"), "", "a crashed version is still in service")
	assert.Equal(t, claim(2*FirstProbation, "3", "2"), "version-2-3")
	assert.Equal(t, claim(2*FirstProbation, "2", "3"), "")
	assert.Equal(t, claim(probationGrowth*FirstProbation), "probation-2")
	assert.Equal(t, claim(barTTL), "")
}

func TestRecordsExpire(t *testing.T) {
	f, g := FingerprintOf(Content{Target: "/x"}), FingerprintOf(Content{Target: "/y"})
	b := NewBook("h1")
	b.AddLocal(f, crashRecord(true, "a", "b", "c"), start)
	b.AddLocal(g, crashRecord(true, "a"), start)
	assert.Equal(t, len(b.RemoveExpired(start.Add(suspicionTTL-1))), 0)
	assert.DeepEqual(t, b.RemoveExpired(start.Add(suspicionTTL)), []string{RecordKeyFor(g, "h1")})
	assert.DeepEqual(t, b.RemoveExpired(start.Add(barTTL)), []string{RecordKeyFor(f, "h1")})
	assert.Equal(t, b.Len(), 0)
}

// A caller that sends many different requests can fill the book, but evicts no barred request while
// there are others.
func TestBookIsBounded(t *testing.T) {
	b := NewBook("h1")
	barred := FingerprintOf(Content{Target: "/x"})
	b.AddLocal(barred, crashRecord(true, "a", "b", "c"), start)
	for i := range 3 * MaxRequests {
		r := b.AddLocal(FingerprintOf(Content{Target: fmt.Sprint("/", i)}), crashRecord(false, strings.Split("a b c d e f g h i j k l m n", " ")...), start.Add(time.Duration(i+1)))
		assert.Equal(t, len(r.Servers), MaxListed)
	}
	assert.Equal(t, b.Len(), MaxRequests)
	assert.Equal(t, b.Standing(barred), Barred)
}

func TestParseName(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	key, err := ParseRecordKey(RecordKeyFor(f, "h1"))
	assert.NilError(t, err)
	assert.Equal(t, key, RecordKey{Fingerprint: f, Host: "h1"})
	for _, bad := range []string{"", "x", f.String(), f.String() + "/host/", f.String() + "/h1", "zz/host/h1"} {
		_, err := ParseRecordKey(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// A query is on trial while it has more crashes than replies, and a crash on trial counts only
// after the quiet period.
func TestSuspicion(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var s Suspicion
	assert.Assert(t, !s.OnTrial())
	cancel, report := s.Crashed(Crash{Server: "a", Version: "1"}, at(0))
	assert.Assert(t, !cancel && !report && s.OnTrial())
	cancel, _ = s.Crashed(Crash{Server: "b", Version: "1"}, at(1))
	assert.Assert(t, cancel, "two crashes and no reply")
	cancel, _ = s.Crashed(Crash{Server: "c"}, at(2))
	assert.Assert(t, !cancel, "cancelled before")
	_, report = s.Crashed(Crash{Server: "d", OnTrial: true}, at(5))
	assert.Assert(t, !report, "it may have been lost together with the others")
	assert.Equal(t, s.NextTrial(), at(2).Add(trialQuietPeriod))
	_, report = s.Crashed(Crash{Server: "e", OnTrial: true}, at(40))
	assert.Assert(t, report)
	record, ok := s.TakeReport()
	assert.Assert(t, ok)
	assert.DeepEqual(t, record, Record{Servers: []string{"a", "b", "c", "d", "e"}, Crashes: 5, Trials: []string{"e"}, Versions: []string{"1"}, LastCrash: at(40).UnixMilli()})
	_, ok = s.TakeReport()
	assert.Assert(t, !ok, "reported only once")
	assert.Assert(t, s.OnTrial(), "it remains suspected")
}

// A reply clears a query: earlier crashes no longer count, and later ones only when there are more
// of them than replies.
func TestReplyClearsSuspicion(t *testing.T) {
	var s Suspicion
	s.Suspect(time.Time{})
	assert.Assert(t, s.OnTrial())
	s.Crashed(Crash{Server: "a"}, start)
	assert.Assert(t, s.Served() && !s.Served(), "only the first reply clears")
	assert.Assert(t, !s.OnTrial())
	s.Crashed(Crash{Server: "b"}, start)
	s.Crashed(Crash{Server: "c"}, start)
	_, ok := s.TakeReport()
	assert.Assert(t, !ok, "two replies and two crashes")
	cancel, _ := s.Crashed(Crash{Server: "d"}, start)
	assert.Assert(t, s.OnTrial() && !cancel)
}

// For any sequence of events a query reports at most the crashes and the trials that happened.
func TestSuspicionReportsOnlyActualCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Suspicion
		crashes, trials, reported, now := 0, 0, 0, start
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Served()
			case 1:
				crashes++
				s.Crashed(Crash{Server: fmt.Sprint(i)}, now)
			case 2:
				crashes++
				trials++
				s.Crashed(Crash{Server: fmt.Sprint(i), OnTrial: true}, now)
			case 3:
				r, ok := s.TakeReport()
				reported += r.Crashes
				assert.Assert(t, ok || r.Crashes == 0)
				assert.Assert(t, len(r.Trials) <= trials)
				assert.Assert(t, len(r.Servers) <= min(r.Crashes, MaxListed))
			}
			assert.Assert(t, reported <= crashes)
		}
	})
}

// A broken call counts once, if the crash of its server becomes known before the call expires.
func TestWitnesses(t *testing.T) {
	b := NewBrokenCalls()
	broke := func(server string, at time.Time) {
		b.Add(BrokenCall{Fingerprint: FingerprintOf(Content{Target: "/x"}), Crash: Crash{Server: server}, At: at})
	}
	broke("a#1", start)
	broke("b#1", start)
	assert.Equal(t, len(b.Take("c#1", start)), 0)
	assert.Equal(t, len(b.Take("a#1", start.Add(brokenCallTTL-1))), 1)
	assert.Equal(t, len(b.Take("a#1", start.Add(brokenCallTTL-1))), 0)
	assert.Equal(t, len(b.Take("b#1", start.Add(brokenCallTTL))), 0, "too late")
	for i := range 2 * maxBrokenCalls {
		broke(fmt.Sprint(i), start)
	}
	assert.Equal(t, b.count, maxBrokenCalls)
	broke("last", start.Add(brokenCallTTL))
	assert.Equal(t, b.count, 1, "expired calls make room")
}

// Crashes that two requests saw on trial at the same servers are attributed to the one with more
// crashes, so that the other one is not barred.
func TestCrashIsAttributedToOneRequest(t *testing.T) {
	poison, popular := FingerprintOf(Content{Target: "/poison"}), FingerprintOf(Content{Target: "/popular"})
	b := NewBook("h1")
	b.AddLocal(popular, Record{Servers: []string{"a", "b", "c", "d"}, Trials: []string{"c", "d"}, Crashes: 4}, start)
	assert.Equal(t, b.Standing(popular), Barred, "no other request saw the crashes")
	b.ApplyRecord(poison, "h2", Record{Servers: []string{"a", "b", "e", "c", "d"}, Trials: []string{"c", "d"}, Crashes: 5}, start)
	assert.Equal(t, b.Standing(poison), Barred)
	assert.Equal(t, b.Standing(popular), Suspect)
	_, due := b.DueTrial(poison, nil, start)
	assert.Assert(t, !due)
	b.ApplyRecord(popular, "h3", Record{Servers: []string{"f", "g", "h"}, Trials: []string{"g", "h"}, Crashes: 3}, start)
	assert.Equal(t, b.Standing(popular), Barred, "three crashes that the other did not see")
	assert.Equal(t, b.Standing(poison), Suspect, "the other one has more crashes now")
	b.AddLocal(poison, Record{Servers: []string{"i", "j", "k"}, Trials: []string{"j", "k"}, Crashes: 9}, start)
	assert.Equal(t, b.Standing(poison), Barred)
	assert.Equal(t, b.Standing(popular), Barred)
}

// A stored record of this host that is stale is ignored, and one of another host that exceeds the
// bounds is truncated.
func TestStoredRecordsAreValidated(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	b := NewBook("h1")
	b.AddLocal(f, crashRecord(true, "a"), start)
	b.AddLocal(f, crashRecord(true, "b", "c"), start)
	b.ApplyRecord(f, "h1", crashRecord(true, "a"), start)
	assert.Equal(t, b.Standing(f), Barred)
	long := crashRecord(true, strings.Split(strings.Repeat("x y z ", 100), " ")...)
	for i := range long.Servers {
		long.Servers[i] += fmt.Sprint(i)
	}
	long.Description = strings.Repeat("w", 1000)
	b.ApplyRecord(f, "h2", long, start)
	s := b.Summary(f)
	assert.Assert(t, len(s.Servers) <= 3+MaxListed)
	assert.Assert(t, len(s.Description) <= MaxDescription)
}

// BenchmarkStandingOfBarred uses a full book of barred requests that share no server.
func BenchmarkStandingOfBarred(b *testing.B) {
	book := NewBook("h1")
	var last Fingerprint
	for i := range MaxRequests {
		last = FingerprintOf(Content{Target: fmt.Sprint(i)})
		book.AddLocal(last, crashRecord(true, fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)), start)
	}
	for b.Loop() {
		assert.Equal(b, book.Standing(last), Barred)
	}
}

// Two requests that lost the same server retry at the same moment and may crash the same next one.
// The harmless one must not be barred for that trial and one coincidence, and the poison one must
// be barred without another crash once the harmless one is served.
func TestTrialSharedWithAnotherSuspectIsNoEvidence(t *testing.T) {
	poison, popular := FingerprintOf(Content{Target: "/poison"}), FingerprintOf(Content{Target: "/popular"})
	retried := Record{Servers: []string{"a", "b"}, Trials: []string{"b"}, Crashes: 2}
	bookOfBoth := func() *Book {
		b := NewBook("h1")
		b.AddLocal(poison, retried, start)
		b.ApplyRecord(popular, "h2", retried, start)
		return b
	}
	b := bookOfBoth()
	b.AddLocal(popular, crashRecord(true, "c"), start)
	assert.Equal(t, b.Standing(popular), Suspect)
	b.AddLocal(poison, crashRecord(true, "d", "e"), start)
	assert.Equal(t, b.Standing(poison), Barred)
	assert.Equal(t, b.Standing(popular), Suspect)

	b = bookOfBoth()
	b.AddLocal(poison, crashRecord(true, "d"), start)
	assert.Equal(t, b.Standing(poison), Suspect)
	b.TakeChanges()
	b.Clear(popular, start)
	assert.Equal(t, b.Standing(poison), Barred)
	assert.Equal(t, len(b.TakeChanges()), 2, "the change of the other request is published too")

	b = bookOfBoth()
	b.AddLocal(poison, crashRecord(true, "d", "e"), start)
	assert.Equal(t, b.Standing(poison), Barred, "two trials that no other suspect shared")

	b = NewBook("h1")
	for i := range maxUndecidedTrials {
		assert.Assert(t, b.Standing(poison) != Barred)
		b.AddLocal(poison, crashRecord(true, fmt.Sprint(i)), start)
		b.AddLocal(FingerprintOf(Content{Target: fmt.Sprint("/other", i)}), crashRecord(true, fmt.Sprint(i)), start)
	}
	assert.Equal(t, b.Standing(poison), Barred, "others shared every trial")
}

// Several queries of a popular request may be on trial at servers that are lost together, as with a
// failure domain. That is one coincidence, not two trials.
func TestTrialsThatEndTogetherCountOnce(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	b := NewBook("h1")
	at := start
	b.AddReport(f, crashRecord(false, "a"), at)
	for _, server := range []string{"b", "c"} {
		at = at.Add(trialQuietPeriod - 1)
		b.AddReport(f, crashRecord(true, server), at)
	}
	assert.Equal(t, b.Standing(f), Suspect)
	record := b.AddReport(f, crashRecord(true, "d"), at.Add(1))
	assert.Equal(t, b.Standing(f), Barred)
	assert.DeepEqual(t, record.Servers, []string{"a", "b", "c", "d"})
	assert.DeepEqual(t, record.Trials, []string{"b", "d"})
}

// Two requests that ran on all the same crashed servers must not be told apart by chance. If both
// are poison and always sent together, one of them must be barred nevertheless.
func TestRequestsWithTheSameCrashesAreUndecided(t *testing.T) {
	one, other := FingerprintOf(Content{Target: "/one"}), FingerprintOf(Content{Target: "/other"})
	standings := func(b *Book) []Standing {
		all := []Standing{b.Standing(one), b.Standing(other)}
		slices.Sort(all)
		return all
	}
	crashes := Record{Servers: []string{"a", "b", "c", "d"}, Trials: []string{"c", "d"}, Crashes: 4}
	for _, served := range []Fingerprint{one, other} {
		b := NewBook("h1")
		b.AddLocal(one, crashes, start)
		b.AddLocal(other, crashes, start)
		assert.DeepEqual(t, standings(b), []Standing{Suspect, Suspect})
		b.Clear(served, start)
		assert.DeepEqual(t, standings(b), []Standing{Clear, Barred})
	}
	b := NewBook("h1")
	for _, server := range strings.Split("a b c d", " ") {
		assert.Assert(t, standings(b)[1] != Barred)
		b.AddLocal(one, crashRecord(true, server), start)
		b.AddLocal(other, crashRecord(true, server), start)
	}
	assert.DeepEqual(t, standings(b), []Standing{Suspect, Barred})
}

// Many concurrent queries see the same crash. The request with the most crashed servers is the
// likeliest cause, not the one that saw a crash most often.
func TestCrashSeenByManyQueriesCountsOnce(t *testing.T) {
	poison, popular := FingerprintOf(Content{Target: "/poison"}), FingerprintOf(Content{Target: "/popular"})
	b := NewBook("h1")
	b.AddLocal(popular, Record{Servers: []string{"a", "b", "c"}, Trials: []string{"b", "c"}, Crashes: 9}, start)
	b.ApplyRecord(poison, "h2", Record{Servers: []string{"b", "c", "d", "e"}, Trials: []string{"b", "c", "e"}, Crashes: 4}, start)
	assert.Equal(t, b.Standing(poison), Barred)
	assert.Equal(t, b.Standing(popular), Suspect)
}

// What a host has just seen served is not barred, whichever of its queries was served and whoever
// reports crashes, and hosts that only see the later records know it too.
func TestRecentlyServedRequestIsNotBarred(t *testing.T) {
	f := FingerprintOf(Content{Target: "/x"})
	crashes := crashRecord(true, "a", "b", "c")
	b, restarted := NewBook("h1"), NewBook("h2")
	assert.Assert(t, !b.NoteServed(f, start), "nothing is known against it")
	reportedAt := start.Add(servedGrace - 2)
	restarted.ApplyRecord(f, "h1", b.AddLocal(f, crashes, reportedAt), reportedAt)
	assert.Equal(t, b.Standing(f), Suspect)
	assert.Equal(t, restarted.Standing(f), Suspect)
	restarted.ApplyRecord(f, "h1", b.AddLocal(f, crashes, start.Add(servedGrace-1)), start.Add(servedGrace-1))
	b.RemoveExpired(start.Add(servedGrace))
	assert.Equal(t, b.Standing(f), Barred)
	restarted.RemoveExpired(reportedAt.Add(servedGrace))
	assert.Equal(t, restarted.Standing(f), Barred, "later records do not extend the grace period")
	assert.Assert(t, b.NoteServed(f, start.Add(servedGrace)), "it must be cleared")

	other := NewBook("h3")
	other.NoteServed(f, start)
	other.ApplyRecord(f, "h1", crashes, start)
	assert.Equal(t, other.Standing(f), Suspect)

	for i := range 3 * maxServed {
		other.NoteServed(FingerprintOf(Content{Target: fmt.Sprint(i)}), start)
	}
	assert.Assert(t, len(other.served.current)+len(other.served.previous) <= 2*maxServed)
}

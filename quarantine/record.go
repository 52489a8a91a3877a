package quarantine

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxListed bounds the number of servers, trials and versions in a record.
	MaxListed = 4 * MinCrashes
	// MaxDescription bounds the description of a request for operators, in bytes.
	MaxDescription = 160
	// hostPrefix and trialPrefix distinguish names of records and of claims in the store.
	hostPrefix, trialPrefix = "host/", "trial/"
)

// Record is what one host observed of a request.
type Record struct {
	// Servers are crashed servers, at most MaxListed. Crashes is the number of all crashes.
	Servers []string
	Crashes int
	// Trials are the servers that crashed on trial, at most MaxListed.
	Trials []string
	// Versions are the software versions of the crashed servers, at most MaxListed.
	Versions []string
	// Description describes the request to operators, in at most MaxDescription bytes.
	Description string
	// LastCrash is the time of the last crash in Unix milliseconds, for operators.
	LastCrash int64
	// Served is whether a server served the request: after the crashes if there are none in the
	// record, otherwise within servedGrace before the last of them.
	Served bool
}

// add merges another record of the same host into r.
func (r *Record) add(other Record) {
	r.Servers = appendUnique(r.Servers, other.Servers...)
	r.Trials = appendUnique(r.Trials, other.Trials...)
	r.Versions = appendUnique(r.Versions, other.Versions...)
	r.Crashes += other.Crashes
	r.Description, r.LastCrash = other.Description, other.LastCrash
}

// truncated returns the record with its lists and description cut to their bounds.
func (r Record) truncated() Record {
	r.Servers, r.Trials, r.Versions = appendUnique(nil, r.Servers...), appendUnique(nil, r.Trials...), appendUnique(nil, r.Versions...)
	r.Description = r.Description[:min(len(r.Description), MaxDescription)]
	return r
}

// appendUnique appends the texts that list does not contain, up to MaxListed elements.
func appendUnique(list []string, texts ...string) []string {
	for _, text := range texts {
		if len(list) < MaxListed && !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	return list
}

// RecordKeyFor returns the name of the record of a host in the store.
func RecordKeyFor(f Fingerprint, host string) string { return f.String() + "/" + hostPrefix + host }

// claimName returns the name of the claim of a trial in the store.
func claimName(f Fingerprint, claim string) string { return f.String() + "/" + trialPrefix + claim }

// RecordKey is the parsed name of a record, which has a Host, or of the claim of a trial, which has
// a Claim.
type RecordKey struct {
	Fingerprint Fingerprint
	Host, Claim string
}

// ParseRecordKey parses the name of a record or claim in the store.
func ParseRecordKey(name string) (RecordKey, error) {
	text, part, _ := strings.Cut(name, "/")
	f, err := ParseFingerprint(text)
	if err != nil {
		return RecordKey{}, err
	}
	if host, ok := strings.CutPrefix(part, hostPrefix); ok && host != "" {
		return RecordKey{Fingerprint: f, Host: host}, nil
	}
	if claim, ok := strings.CutPrefix(part, trialPrefix); ok && claim != "" {
		return RecordKey{Fingerprint: f, Claim: claim}, nil
	}
	return RecordKey{}, fmt.Errorf("invalid quarantine name %q: want FINGERPRINT/host/HOST or FINGERPRINT/trial/CLAIM", name)
}

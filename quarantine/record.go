package quarantine

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxNamed bounds the number of servers, trials and versions in a record.
	MaxNamed = 4 * LeastEnds
	// MaxWhat bounds the description of a request for operators, in bytes.
	MaxWhat = 160
	// hostPrefix and trialPrefix distinguish names of records and of claims in the store.
	hostPrefix, trialPrefix = "host/", "trial/"
)

// Record is what one host observed of a request.
type Record struct {
	// Servers are crashed servers, at most MaxNamed. Ended is the number of all crashes.
	Servers []string
	Ended   int
	// Trials are the servers that crashed on trial, at most MaxNamed.
	Trials []string
	// Versions are the software versions of the crashed servers, at most MaxNamed.
	Versions []string
	// What describes the request to operators, in at most MaxWhat bytes.
	What string
	// At is the time of the last crash in Unix milliseconds, for operators.
	At int64
	// Served is whether a server served the request after the crashes.
	Served bool
}

// add merges another record of the same host into r.
func (r *Record) add(other Record) {
	r.Servers = appendUnique(r.Servers, other.Servers...)
	r.Trials = appendUnique(r.Trials, other.Trials...)
	r.Versions = appendUnique(r.Versions, other.Versions...)
	r.Ended += other.Ended
	r.What, r.At = other.What, other.At
}

// truncated returns the record with its lists and description cut to their bounds.
func (r Record) truncated() Record {
	r.Servers, r.Trials, r.Versions = appendUnique(nil, r.Servers...), appendUnique(nil, r.Trials...), appendUnique(nil, r.Versions...)
	r.What = r.What[:min(len(r.What), MaxWhat)]
	return r
}

// appendUnique appends the texts that list does not contain, up to MaxNamed elements.
func appendUnique(list []string, texts ...string) []string {
	for _, text := range texts {
		if len(list) < MaxNamed && !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	return list
}

// RecordName returns the name of the record of a host in the store.
func RecordName(f Fingerprint, host string) string { return f.String() + "/" + hostPrefix + host }

// claimName returns the name of the claim of a trial in the store.
func claimName(f Fingerprint, claim string) string { return f.String() + "/" + trialPrefix + claim }

// Name is the parsed name of a record, which has a Host, or of the claim of a trial, which has a
// Claim.
type Name struct {
	Fingerprint Fingerprint
	Host, Claim string
}

// ParseName parses the name of a record or claim in the store.
func ParseName(name string) (Name, error) {
	text, part, _ := strings.Cut(name, "/")
	f, err := Parse(text)
	if err != nil {
		return Name{}, err
	}
	if host, ok := strings.CutPrefix(part, hostPrefix); ok && host != "" {
		return Name{Fingerprint: f, Host: host}, nil
	}
	if claim, ok := strings.CutPrefix(part, trialPrefix); ok && claim != "" {
		return Name{Fingerprint: f, Claim: claim}, nil
	}
	return Name{}, fmt.Errorf("invalid quarantine name %q: want FINGERPRINT/host/HOST or FINGERPRINT/trial/CLAIM", name)
}

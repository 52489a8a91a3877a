package quarantine

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxNamed bounds the servers that a record names.
	MaxNamed = 4 * LeastEnds
	// MaxWhat bounds the description of a request for operators, in bytes.
	MaxWhat = 160
	// hostPart and trialPart tell the records of hosts and the claims of trials apart.
	hostPart, trialPart = "host/", "trial/"
)

// Record is what one host saw of a request.
type Record struct {
	// Servers are servers that ended under it, MaxNamed at most; Ended is the number of all.
	Servers []string
	Ended   int
	// Trials are those of them that ended on trial, MaxNamed at most.
	Trials []string
	// Versions are those of the servers that ended, MaxNamed at most.
	Versions []string
	// What describes the request to operators.
	What string
	// At is when the last server ended, in milliseconds of Unix time, for operators.
	At int64
	// Served tells that a server served it since.
	Served bool
}

// add takes another record of the same host into this one.
func (r *Record) add(more Record) {
	r.Servers = addBounded(r.Servers, more.Servers...)
	r.Trials = addBounded(r.Trials, more.Trials...)
	r.Versions = addBounded(r.Versions, more.Versions...)
	r.Ended += more.Ended
	r.What, r.At = more.What, more.At
}

// bounded returns a record with as much as one may hold.
func (r Record) bounded() Record {
	r.Servers, r.Trials, r.Versions = addBounded(nil, r.Servers...), addBounded(nil, r.Trials...), addBounded(nil, r.Versions...)
	r.What = r.What[:min(len(r.What), MaxWhat)]
	return r
}

// addBounded adds texts to a few, each once.
func addBounded(list []string, texts ...string) []string {
	for _, text := range texts {
		if len(list) < MaxNamed && !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	return list
}

// RecordName returns the name under which the store keeps what a host saw of a request.
func RecordName(f Fingerprint, host string) string { return f.String() + "/" + hostPart + host }

func claimName(f Fingerprint, claim string) string { return f.String() + "/" + trialPart + claim }

// Name is a name of the store taken apart: that of the record of a host, or of the claim of a
// trial. One of the two is empty.
type Name struct {
	Fingerprint Fingerprint
	Host, Claim string
}

// ParseName takes a name of the store apart.
func ParseName(name string) (Name, error) {
	text, part, _ := strings.Cut(name, "/")
	f, err := Parse(text)
	if err != nil {
		return Name{}, err
	}
	if host, ok := strings.CutPrefix(part, hostPart); ok && host != "" {
		return Name{Fingerprint: f, Host: host}, nil
	}
	if claim, ok := strings.CutPrefix(part, trialPart); ok && claim != "" {
		return Name{Fingerprint: f, Claim: claim}, nil
	}
	return Name{}, fmt.Errorf("%q names neither the record of a host nor a trial", name)
}

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies a request by its content and caller. All attempts of a request
// have the same fingerprint.
type Fingerprint [16]byte

// Content holds the fields that identify a request across attempts.
type Content struct {
	Method string
	// Host is the host name that the request was sent to.
	Host string
	// Target is the path and query as they were sent.
	Target string
	// Caller is the credential of the caller; empty if there is none.
	Caller string
	Body   []byte
}

// FingerprintOf returns the fingerprint of a request: the first half of a SHA-256 hash, so that
// collisions cannot be constructed. Hashing a large body is expensive (see BenchmarkOf), so callers
// do it only while some request is suspect or barred, or after a crash.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.Target), []byte(c.Caller), c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // Writes to a hash never fail.
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, fmt.Errorf("%q is no fingerprint: want %d hexadecimal digits", text, 2*len(f))
	}
	return Fingerprint(b), nil
}

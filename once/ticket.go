package once

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
)

// Ticket permits one execution of a request at one incarnation of one host.
type Ticket struct {
	Host        string `json:"h"`
	Incarnation uint64 `json:"i"`
	Service     string `json:"s"`
	Desk        string `json:"d"`
	Sequence    uint64 `json:"n"`
	MAC         []byte `json:"m"`
}

// ErrMalformed is returned for bytes that do not encode a ticket.
var ErrMalformed = errors.New("ticket is malformed: send the request without a ticket to get a new one")

// Decode decodes a ticket without verifying its MAC.
func Decode(encoded []byte) (Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(encoded, &t); err != nil {
		return Ticket{}, fmt.Errorf("%w (%v)", ErrMalformed, err)
	}
	if t.Host == "" || len(t.MAC) == 0 {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

func (t Ticket) encode() []byte {
	encoded, err := json.Marshal(t)
	if err != nil {
		panic("once: encode ticket: " + err.Error())
	}
	return encoded
}

// signingKey is the HMAC key for the tickets of one incarnation.
type signingKey [sha256.Size]byte

func newSigningKey() signingKey {
	var k signingKey
	if _, err := rand.Read(k[:]); err != nil {
		panic("once: generate signing key: " + err.Error())
	}
	return k
}

func (k signingKey) sign(t Ticket) []byte {
	t.MAC = nil
	mac := hmac.New(sha256.New, k[:])
	_, _ = mac.Write(t.encode())
	return mac.Sum(nil)
}

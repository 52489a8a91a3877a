// Package packing makes what goes between hosts shorter. Lists of identifiers and
// signatures, which are mostly hexadecimal digits, take half of their bytes;
// configurations and entries of servers a tenth.
package packing

import (
	"errors"
	"fmt"
	"strings"
)

// separator ends each text of a packed list.
const separator = "\n"

// maxUnpacked bounds what is unpacked, in bytes: far above the largest list of a
// query, and below what would hurt a host.
const maxUnpacked = 1 << 20

// ErrTooLarge says that what is packed is larger than anything that is sent.
var ErrTooLarge = errors.New("what is packed is larger than anything that is sent")

// Pack returns a shorter form of texts, or nil where there is none.
func Pack(texts []string) []byte {
	plain := 0
	for _, text := range texts {
		if strings.Contains(text, separator) {
			return nil
		}
		plain += len(text)
	}
	packed := deflate(huffmanWriters, []byte(strings.Join(texts, separator)+separator))
	if len(packed) >= plain {
		return nil
	}
	return packed
}

// Unpack returns the texts of a packed list.
func Unpack(packed []byte) ([]string, error) {
	plain, err := inflate(packed, maxUnpacked)
	if err != nil {
		return nil, fmt.Errorf("unpack a list: %w", err)
	}
	texts := strings.Split(string(plain), separator)
	return texts[:len(texts)-1], nil
}

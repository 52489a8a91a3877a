// Package packing compresses messages between hosts. It shortens lists of identifiers and
// signatures, which consist mostly of hexadecimal digits, to about half their size, and
// configurations and server entries to about a tenth.
package packing

import (
	"errors"
	"fmt"
	"strings"
)

// separator terminates each string of a packed list.
const separator = "\n"

// maxUnpacked is the maximum size of a decompressed list in bytes. It far exceeds the largest
// list of a query, and its memory is no burden for a host.
const maxUnpacked = 1 << 20

// ErrTooLarge is returned for data that exceeds the size limit when decompressed.
var ErrTooLarge = errors.New("decompressed data exceeds the size limit")

// Pack compresses a list of strings. It returns nil if the result would not be shorter or if
// a string contains a newline.
func Pack(items []string) []byte {
	size := 0
	for _, item := range items {
		if strings.Contains(item, separator) {
			return nil
		}
		size += len(item)
	}
	packed := deflate(huffmanWriters, []byte(strings.Join(items, separator)+separator))
	if len(packed) >= size {
		return nil
	}
	return packed
}

// Unpack decompresses the result of Pack. It returns ErrTooLarge if the list exceeds
// maxUnpacked.
func Unpack(packed []byte) ([]string, error) {
	plain, err := inflate(packed, maxUnpacked)
	if err != nil {
		return nil, fmt.Errorf("unpack a list: %w", err)
	}
	items := strings.Split(string(plain), separator)
	return items[:len(items)-1], nil
}

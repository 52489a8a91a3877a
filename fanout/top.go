package fanout

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record, in bytes.
const RecordSize = 16

// record is a fixed-size record. Records are ordered bytewise.
type record [RecordSize]byte

// AtLeast returns the records of source that are not smaller than floor. An empty
// floor keeps all of them.
func AtLeast(floor, source []byte) []byte {
	if len(floor) == 0 {
		return source
	}
	var kept []byte
	for ; len(source) >= RecordSize; source = source[RecordSize:] {
		if bytes.Compare(source[:RecordSize], floor) >= 0 {
			kept = append(kept, source[:RecordSize]...)
		}
	}
	return kept
}

// Top returns the n greatest records of all sources, greatest first, including
// duplicates. Trailing bytes of a source that do not fill a record are ignored.
func Top(n int, sources ...[]byte) []byte {
	total := 0
	for _, s := range sources {
		total += len(s) / RecordSize
	}
	records := make([]record, 0, total)
	for _, s := range sources {
		for ; len(s) >= RecordSize; s = s[RecordSize:] {
			records = append(records, record(s[:RecordSize]))
		}
	}
	slices.SortFunc(records, compareRecords)
	top := make([]byte, 0, min(n, total)*RecordSize)
	for _, r := range records[:min(n, total)] {
		top = append(top, r[:]...)
	}
	return top
}

// compareRecords sorts records in descending order.
func compareRecords(a, b record) int { return bytes.Compare(b[:], a[:]) }

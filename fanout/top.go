package fanout

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record, in bytes.
const RecordSize = 16

// AtLeast returns the records of a source that are not smaller than floor. An
// empty floor keeps all.
func AtLeast(floor, source []byte) []byte {
	if len(floor) == 0 {
		return source
	}
	var kept []byte
	for len(source) >= RecordSize {
		if bytes.Compare(source[:RecordSize], floor) >= 0 {
			kept = append(kept, source[:RecordSize]...)
		}
		source = source[RecordSize:]
	}
	return kept
}

// Top returns the n greatest records of all sources, greatest first. Records
// compare byte by byte; equal ones all count. The rest of a source that is
// shorter than a record is not a record.
func Top(n int, sources ...[]byte) []byte {
	total := 0
	for _, s := range sources {
		total += len(s) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, s := range sources {
		for len(s) >= RecordSize {
			records = append(records, s[:RecordSize])
			s = s[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(n, len(records))]
	return slices.Concat(records...)
}

package fanout

// Trimmer merges partial results that are forwarded to one receiver in several
// batches. From each batch it drops the records that the earlier batches exclude
// from the top records. It is not safe for concurrent use.
type Trimmer struct {
	top   int
	floor []byte
	// best holds the greatest records sent so far.
	best []byte
}

// NewTrimmer returns a trimmer for the top greatest records. It drops records
// smaller than floor; an empty floor drops none.
func NewTrimmer(top int, floor []byte) *Trimmer { return &Trimmer{top: top, floor: floor} }

// Batch merges the next parts. It returns their top records, greatest first, and
// the floor below which records were dropped, or an empty floor if none were.
func (t *Trimmer) Batch(parts ...[]byte) (records, floor []byte) {
	floor = t.floor
	kept := make([][]byte, len(parts))
	for i, part := range parts {
		kept[i] = AtLeast(floor, part)
	}
	records = Top(t.top, kept...)
	t.best = Top(t.top, t.best, records)
	if t.top > 0 && len(t.best) == t.top*RecordSize {
		t.floor = t.best[len(t.best)-RecordSize:]
	}
	return records, floor
}

package fanout

// Trimmer merges parts that are sent on in several batches to one receiver. Of
// each batch it leaves out the records that cannot be among the greatest, given
// the batches before it. It is not safe for concurrent use.
type Trimmer struct {
	top   int
	floor []byte
	// best are the greatest records sent so far.
	best []byte
}

// NewTrimmer returns a trimmer for the top greatest records. The receiver has no
// use for records smaller than floor; an empty floor leaves none out.
func NewTrimmer(top int, floor []byte) *Trimmer { return &Trimmer{top: top, floor: floor} }

// Batch returns the records of the next parts that can count, greatest first,
// and the floor below which some were left out; it is empty where none were.
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

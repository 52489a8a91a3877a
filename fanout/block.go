package fanout

import "bytes"

// Block is the reply to one call: the merged partial results of one or more
// shards.
type Block struct {
	// Shards holds the shard numbers, without duplicates.
	Shards []int
	// Signatures holds the signature of each shard's result, in the order of Shards.
	Signatures []string
	// Records holds the greatest records of the shards, in any order.
	Records []byte
	// Floor is set if records smaller than it were dropped.
	Floor []byte
}

// Offer adds a block to the answer if that increases coverage, and reports
// whether it did. Blocks that overlap it are replaced, and blocks whose floor
// then exceeds the smallest record of the answer are dropped, since records
// that they lack would belong in the answer. A block whose shards are all covered, such
// as the second reply to a hedged request, changes nothing.
func (q *Query) Offer(b Block) bool {
	switch covered := q.countCovered(b.Shards); covered {
	case len(b.Shards):
		return false
	case 0:
		return q.add(b)
	}
	return q.replaceOverlapping(b)
}

// add adds a block whose shards are not covered yet. The floors of earlier
// blocks remain valid, because more records only raise the smallest one.
func (q *Query) add(b Block) bool {
	best := Top(q.settings.Top, q.best, AtLeast(q.Floor(), b.Records))
	if len(b.Floor) > 0 && len(withValidFloor(q.settings.Top, best, []Block{b})) == 0 {
		return false
	}
	q.blocks = append(q.blocks, b)
	q.best = best
	q.markCovered(b.Shards)
	return true
}

// replaceOverlapping substitutes a block for those that share a shard with it, if
// that increases coverage.
func (q *Query) replaceOverlapping(b Block) bool {
	blocks := dropInvalidFloors(q.settings.Top, append(withoutShards(q.blocks, b.Shards), b))
	count := 0
	for _, kept := range blocks {
		count += len(kept.Shards)
	}
	if count <= q.covered {
		return false
	}
	q.setBlocks(blocks)
	return true
}

func (q *Query) countCovered(shards []int) int {
	count := 0
	for _, n := range shards {
		if q.shards[n].covered {
			count++
		}
	}
	return count
}

// withoutShards returns the blocks that contain none of the shards.
func withoutShards(blocks []Block, shards []int) []Block {
	excluded := make(map[int]bool, len(shards))
	for _, n := range shards {
		excluded[n] = true
	}
	kept := make([]Block, 0, len(blocks)+1)
	for _, b := range blocks {
		if !overlaps(b, excluded) {
			kept = append(kept, b)
		}
	}
	return kept
}

func overlaps(b Block, shards map[int]bool) bool {
	for _, n := range b.Shards {
		if shards[n] {
			return true
		}
	}
	return false
}

// dropInvalidFloors removes blocks until the floor of every remaining one is
// valid. Each removal can lower the smallest top record and so invalidate others.
func dropInvalidFloors(top int, blocks []Block) []Block {
	for {
		kept := withValidFloor(top, mergeTop(top, blocks), blocks)
		if len(kept) == len(blocks) {
			return blocks
		}
		blocks = kept
	}
}

// setBlocks replaces all blocks and recomputes the top records and the coverage.
func (q *Query) setBlocks(blocks []Block) {
	q.blocks = blocks
	q.best = mergeTop(q.settings.Top, blocks)
	q.covered = 0
	for i := range q.shards {
		q.shards[i].covered = false
	}
	for _, b := range blocks {
		q.markCovered(b.Shards)
	}
}

func (q *Query) markCovered(shards []int) {
	for _, n := range shards {
		q.shards[n].covered = true
	}
	q.covered += len(shards)
}

// Answer is the merged result of a query.
type Answer struct {
	// Signatures holds the signatures of the covered shards, in the order in
	// which their blocks arrived.
	Signatures []string
	// Missing is the number of shards that are not covered.
	Missing int
	// Records holds the greatest records, greatest first.
	Records []byte
}

// Floor returns the smallest record that can still enter the answer, or nil if
// any record can.
func (q *Query) Floor() []byte {
	if q.settings.Top <= 0 || len(q.best) < q.settings.Top*RecordSize {
		return nil
	}
	return q.best[len(q.best)-RecordSize:]
}

// Answer returns the answer from the blocks received so far.
func (q *Query) Answer() Answer {
	a := Answer{
		Signatures: make([]string, 0, q.covered),
		Missing:    q.settings.Shards - q.covered,
		Records:    q.best,
	}
	for _, b := range q.blocks {
		a.Signatures = append(a.Signatures, b.Signatures...)
	}
	return a
}

func mergeTop(top int, blocks []Block) []byte {
	sources := make([][]byte, 0, len(blocks))
	for _, b := range blocks {
		sources = append(sources, b.Records)
	}
	return Top(top, sources...)
}

// withValidFloor returns the blocks that lack none of the top records: those
// without a floor, or whose floor is at most the smallest of records. If an answer has no
// records (top is 0), no block lacks any.
func withValidFloor(top int, records []byte, blocks []Block) []Block {
	if top <= 0 {
		return blocks
	}
	var smallest []byte
	if len(records) >= top*RecordSize {
		smallest = records[len(records)-RecordSize:]
	}
	kept := make([]Block, 0, len(blocks))
	for _, b := range blocks {
		if len(b.Floor) == 0 || (smallest != nil && bytes.Compare(smallest, b.Floor) >= 0) {
			kept = append(kept, b)
		}
	}
	return kept
}

// MissingShards returns the numbers of the shards that are not covered.
func (q *Query) MissingShards() []int {
	var missing []int
	for n := range q.shards {
		if !q.shards[n].covered {
			missing = append(missing, n)
		}
	}
	return missing
}

package fanout

import "bytes"

// Block is what one call brought for one or more shards.
type Block struct {
	// Shards are the numbers of the shards, each once.
	Shards []int
	// Signatures are those of the parts, in the order of Shards.
	Signatures []string
	// Records holds the greatest records of the parts, in any order.
	Records []byte
	// Floor is set where records smaller than it were left out.
	Floor []byte
}

// Offer takes a block into the answer if that makes it hold more shards. Blocks
// that share a shard with it are left out for it, and those whose floor then
// lies above the smallest record of the answer.
func (q *Query) Offer(b Block) bool {
	if !q.anyCovered(b.Shards) {
		return q.add(b)
	}
	return q.exchange(b)
}

// add takes a block of shards that are not covered. The floors of the blocks
// before stay true, as more records only raise the smallest one.
func (q *Query) add(b Block) bool {
	best := Top(q.settings.Top, q.best, AtLeast(q.Floor(), b.Records))
	if len(b.Floor) > 0 && len(sound(q.settings.Top, best, []Block{b})) == 0 {
		return false
	}
	q.blocks = append(q.blocks, b)
	q.best = best
	q.mark(b.Shards)
	return true
}

// exchange takes a block in place of those that share a shard with it.
func (q *Query) exchange(b Block) bool {
	blocks := settle(q.settings.Top, append(without(q.blocks, b.Shards), b))
	count := 0
	for _, kept := range blocks {
		count += len(kept.Shards)
	}
	if count <= q.covered {
		return false
	}
	q.replace(blocks)
	return true
}

func (q *Query) anyCovered(shards []int) bool {
	for _, n := range shards {
		if q.shards[n].covered {
			return true
		}
	}
	return false
}

// without returns the blocks that hold none of the shards.
func without(blocks []Block, shards []int) []Block {
	mine := make(map[int]bool, len(shards))
	for _, n := range shards {
		mine[n] = true
	}
	kept := make([]Block, 0, len(blocks)+1)
	for _, b := range blocks {
		if !overlaps(b, mine) {
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

// settle returns the blocks without those of which a record is left out that
// belongs among the greatest of all that are returned.
func settle(top int, blocks []Block) []Block {
	for {
		kept := sound(top, merge(top, blocks), blocks)
		if len(kept) == len(blocks) {
			return blocks
		}
		blocks = kept
	}
}

func (q *Query) replace(blocks []Block) {
	q.blocks = blocks
	q.best = merge(q.settings.Top, blocks)
	q.covered = 0
	for i := range q.shards {
		q.shards[i].covered = false
	}
	for _, b := range blocks {
		q.mark(b.Shards)
	}
}

func (q *Query) mark(shards []int) {
	for _, n := range shards {
		q.shards[n].covered = true
	}
	q.covered += len(shards)
}

// Answer is what a query gathered.
type Answer struct {
	// Signatures are those of the parts that are in, in the order in which
	// their blocks came.
	Signatures []string
	// Missing is the number of shards that are not in.
	Missing int
	// Records are the greatest records, greatest first.
	Records []byte
}

// Floor returns the smallest record that a part still to come can bring into
// the answer, or nil where any can.
func (q *Query) Floor() []byte {
	if q.settings.Top <= 0 || len(q.best) < q.settings.Top*RecordSize {
		return nil
	}
	return q.best[len(q.best)-RecordSize:]
}

// Answer returns the answer with the parts that came so far.
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

func merge(top int, blocks []Block) []byte {
	sources := make([][]byte, 0, len(blocks))
	for _, b := range blocks {
		sources = append(sources, b.Records)
	}
	return Top(top, sources...)
}

// sound returns the blocks of which no record is left out that belongs among
// the greatest.
func sound(top int, records []byte, blocks []Block) []Block {
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

// MissingShards returns the numbers of the shards that are not in.
func (q *Query) MissingShards() []int {
	var missing []int
	for n := range q.shards {
		if !q.shards[n].covered {
			missing = append(missing, n)
		}
	}
	return missing
}

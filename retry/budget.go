package retry

// reservedShare is the share of the bucket reserved for the highest class.
const reservedShare = 0.5

// Budget is a token bucket that bounds the extra attempts of one service. The first attempt
// of a request, or of each part of a query, adds tokens; an extra attempt, which is a retry
// or a hedge, takes one. It is not safe for concurrent use.
type Budget struct {
	// ratio is the number of tokens added per first attempt.
	ratio  float64
	size   float64
	tokens float64
}

// NewBudget returns a full bucket of size tokens. ratio is the number of tokens added per
// first attempt.
func NewBudget(ratio, size float64) *Budget {
	return &Budget{ratio: ratio, size: size, tokens: size}
}

// AddFirstAttempts refills the bucket for n first attempts that were sent.
func (b *Budget) AddFirstAttempts(n int) {
	b.tokens = min(b.size, b.tokens+b.ratio*float64(n))
}

// Take takes a token for one extra attempt of a request of the given class rank, where 0
// is the highest, and reports whether the attempt is permitted.
func (b *Budget) Take(rank uint32) bool {
	reserved := 0.0
	if rank > 0 {
		reserved = b.size * reservedShare
	}
	if b.tokens-1 < reserved {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the tokens in the bucket. The highest class may use all whole ones; lower
// classes must leave reservedShare of the size.
func (b *Budget) Tokens() float64 { return b.tokens }

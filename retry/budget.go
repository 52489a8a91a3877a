package retry

// reservedShare is the share of the bucket reserved for the highest class.
const reservedShare = 0.5

// Budget is a token bucket shared by the retries and hedges of one service. One token is
// one extra attempt. It is not safe for concurrent use.
type Budget struct {
	// refill is the number of tokens added per first attempt.
	refill float64
	size   float64
	tokens float64
}

// NewBudget returns a full bucket of size tokens. share is the number of tokens added for
// each first attempt.
func NewBudget(share, size float64) *Budget {
	return &Budget{refill: share, size: size, tokens: size}
}

// AddFirstAttempts refills the bucket for n first attempts that were sent.
func (b *Budget) AddFirstAttempts(n int) {
	b.tokens = min(b.size, b.tokens+b.refill*float64(n))
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

// Tokens returns the number of extra attempts that the highest class may make now.
func (b *Budget) Tokens() float64 { return b.tokens }

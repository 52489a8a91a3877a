// Package memlimit limits the memory that messages of other processes take while they are read and held.
//
// Invariants:
//   - The shares of a budget are together never larger than the budget.
//   - A share grows with the bytes that have arrived, so that an announced length alone takes nothing.
package memlimit

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted reports that a budget has too little left.
var ErrExhausted = errors.New("the messages that are read and held at once exceed the limit of their memory")

// Budget is the memory for all messages of one kind. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	free int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget { return &Budget{free: size} }

func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < n {
		return false
	}
	b.free -= n
	return true
}

func (b *Budget) put(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// Share is the part of a budget that one message has. It belongs to one goroutine.
type Share struct {
	Budget *Budget
	// Allowance is the memory, in bytes, that the message may take without a part of the budget, so that a
	// budget that is used up does not fail small messages.
	Allowance int64

	total, reserved int64
}

// Grow adds n bytes to the memory of the message. It returns ErrExhausted if the budget has too little left.
func (s *Share) Grow(n int64) error {
	missing := s.total + n - s.Allowance - s.reserved
	if missing > 0 {
		if !s.Budget.take(missing) {
			return ErrExhausted
		}
		s.reserved += missing
	}
	s.total += n
	return nil
}

// Release returns the share to the budget.
func (s *Share) Release() {
	if s.reserved > 0 {
		s.Budget.put(s.reserved)
	}
	s.total, s.reserved = 0, 0
}

// ReadUpTo reads to the end of a body or until n bytes are read. Its buffer, of size bytes at first, grows with
// what has arrived. It calls grow before the buffer takes more bytes.
func ReadUpTo(body io.Reader, n, size int64, grow func(bytes int64) error) ([]byte, error) {
	var buffer []byte
	for int64(len(buffer)) < n {
		if len(buffer) == cap(buffer) {
			grown := min(max(2*int64(cap(buffer)), size), n)
			if err := grow(grown - int64(cap(buffer))); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		k, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+k]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

package httppool

import "sync/atomic"

const (
	// freeBytes is the memory, in bytes, that a response may take without a share of the budget, so
	// that servers with endless responses do not fail ordinary ones.
	freeBytes = 128 << 10
	// headCost is the memory that a byte of a response head takes at most once it is parsed, in bytes.
	headCost = 16
)

// budget limits the memory of all responses that a pool reads at once.
type budget struct{ free atomic.Int64 }

func newBudget(size int64) *budget {
	b := &budget{}
	b.free.Store(size)
	return b
}

// reservation is the share of one response in a budget. It belongs to one goroutine.
type reservation struct {
	budget   *budget
	total    int64
	reserved int64
}

// grow adds n bytes to the memory of the response. It returns errBudget if the budget is used up.
func (r *reservation) grow(n int64) error {
	r.total += n
	missing := r.total - freeBytes - r.reserved
	if missing <= 0 {
		return nil
	}
	if r.budget.free.Add(-missing) < 0 {
		r.budget.free.Add(missing)
		return errBudget
	}
	r.reserved += missing
	return nil
}

// release returns the share to the budget.
func (r *reservation) release() {
	r.budget.free.Add(r.reserved)
	r.total, r.reserved = 0, 0
}

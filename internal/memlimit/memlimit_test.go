package memlimit

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Shares must not exceed their budget together, and a share that was refused must leave nothing reserved.
func TestSharesStayWithinTheBudget(t *testing.T) {
	budget := NewBudget(100)
	first, second := Share{Budget: budget, Allowance: 10}, Share{Budget: budget, Allowance: 10}
	assert.NilError(t, first.Grow(90))
	assert.Equal(t, first.reserved, int64(80))
	assert.ErrorIs(t, second.Grow(31), ErrExhausted)
	assert.NilError(t, second.Grow(30))
	first.Release()
	assert.NilError(t, second.Grow(80))
	assert.ErrorIs(t, second.Grow(1), ErrExhausted)
}

// A message within its allowance must not need the budget.
func TestAllowanceIsFree(t *testing.T) {
	share := Share{Budget: NewBudget(0), Allowance: 10}
	assert.NilError(t, share.Grow(10))
	assert.ErrorIs(t, share.Grow(1), ErrExhausted)
	share.Release()
	assert.NilError(t, share.Grow(10))
}

// The buffer of a body must take no more memory than was granted, and a body that is refused is not read on.
func TestReadUpToAsksBeforeItGrows(t *testing.T) {
	granted := int64(0)
	body, err := ReadUpTo(strings.NewReader(strings.Repeat("x", 1000)), 1001, 64, func(n int64) error { granted += n; return nil })
	assert.NilError(t, err)
	assert.Equal(t, len(body), 1000)
	assert.Equal(t, granted, int64(cap(body)))
	source := strings.NewReader(strings.Repeat("x", 1000))
	_, err = ReadUpTo(source, 1000, 64, func(n int64) error {
		if n > 64 {
			return ErrExhausted
		}
		return nil
	})
	assert.ErrorIs(t, err, ErrExhausted)
	assert.Equal(t, source.Len(), 1000-128)
}

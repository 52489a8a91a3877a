package httppool

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The memory of a connection must stay bounded, and forget no request that may still be sent.
func TestRequestSetIsBounded(t *testing.T) {
	var s requestSet
	now := time.Unix(1000, 0)
	end := now.Add(time.Second)
	for i := range maxCarried {
		assert.Assert(t, s.add(strconv.Itoa(i), end, now))
	}
	assert.Assert(t, !s.add("one more", end, now), "a full set must not forget a request")
	assert.Assert(t, s.has("0", now))
	assert.Assert(t, !s.has("0", end))
	assert.Assert(t, s.add("later", end.Add(time.Second), end))
	assert.Assert(t, s.has("later", end))
	assert.Equal(t, len(s), 1)
}

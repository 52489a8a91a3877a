package callerconn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After a change of the idle limit no connection may be closed that callers reuse by the limit before
// it, and each must be closed once it has been idle for the limits of both.
func TestLowerIdleLimitCountsFromItsStart(t *testing.T) {
	type change struct{ at, limit time.Duration }
	const s = time.Second
	lowered := []change{{0, 10 * s}, {100 * s, 5 * s}}
	for name, test := range map[string]struct {
		changes  []change
		at, idle time.Duration
		expired  bool
	}{
		"within the limit":              {lowered[:1], 50 * s, 10 * s, false},
		"over the limit":                {lowered[:1], 50 * s, 11 * s, true},
		"just lowered":                  {lowered, 101 * s, 9 * s, false},
		"over the former limit":         {lowered, 101 * s, 11 * s, true},
		"lowered long ago":              {lowered, 106 * s, 9 * s, true},
		"lowered, and within the limit": {lowered, 106 * s, 5 * s, false},
		"lowered twice":                 {append(lowered[:2:2], change{102 * s, 4 * s}), 103 * s, 9 * s, false},
		"lowered twice, long ago":       {append(lowered[:2:2], change{102 * s, 4 * s}), 107 * s, 5 * s, true},
		"raised again in part":          {append(lowered[:2:2], change{102 * s, 6 * s}), 103 * s, 9 * s, false},
		"raised":                        {append(lowered[:2:2], change{150 * s, 20 * s}), 151 * s, 19 * s, false},
		"lowered after a raise":         {append(lowered[:2:2], change{150 * s, 20 * s}, change{200 * s, 5 * s}), 201 * s, 19 * s, false},
		"no limit":                      {nil, 50 * s, 50 * s, false},
	} {
		var limit IdleLimit
		start := time.Unix(1e9, 0)
		for _, c := range test.changes {
			limit.Set(c.limit, start.Add(c.at))
		}
		assert.Check(t, limit.Expired(test.idle, start.Add(test.at)) == test.expired, name)
	}
}

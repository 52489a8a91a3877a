package httppool

import (
	"hash/maphash"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxCarried limits the requests that a connection remembers, which take 16 KiB then. A connection that
// would have to remember more is closed instead.
const maxCarried = 512

// connsReplaced counts the connections that were closed because they had carried a request that was
// sent again, and no other connection was idle.
var connsReplaced = metrics.GetOrCreateCounter("mallowgap_server_connections_replaced_total")

// idSeed hashes the IDs of requests, which callers choose freely.
var idSeed = maphash.MakeSeed()

// requestSet holds requests until they cannot be sent again. Two IDs with one hash count as the same
// request, which costs at most a connection.
type requestSet []carriedRequest

type carriedRequest struct {
	idHash uint64
	// end is when the request is no longer sent.
	end time.Time
}

// add adds a request that may be sent again until end. It reports false if the set is full.
func (s *requestSet) add(id string, end, now time.Time) bool {
	if len(*s) >= maxCarried {
		s.removeEnded(now)
	}
	if len(*s) >= maxCarried {
		return false
	}
	*s = append(*s, carriedRequest{maphash.String(idSeed, id), end})
	return true
}

func (s *requestSet) removeEnded(now time.Time) {
	kept := (*s)[:0]
	for _, r := range *s {
		if now.Before(r.end) {
			kept = append(kept, r)
		}
	}
	*s = kept
}

// has reports whether the set holds a request that may still be sent.
func (s requestSet) has(id string, now time.Time) bool {
	if len(s) == 0 {
		return false
	}
	hash := maphash.String(idSeed, id)
	for _, r := range s {
		if r.idHash == hash && now.Before(r.end) {
			return true
		}
	}
	return false
}

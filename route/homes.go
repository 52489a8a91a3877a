package route

import (
	"slices"
	"strings"
)

// Homes are the regions that may see the requests of a route; none is any region.
type Homes []string

// Allow reports whether a server or host of a region may see a request. Where the region
// is not known ("") only a request without homes goes there.
func (h Homes) Allow(region string) bool {
	return len(h) == 0 || region != "" && slices.Contains(h, region)
}

// String lists the regions for logs.
func (h Homes) String() string { return strings.Join(h, ", ") }

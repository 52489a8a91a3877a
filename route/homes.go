package route

import (
	"slices"
	"strings"
)

// HomeRegions lists the regions that may see the requests of a route; an empty list
// allows any region.
type HomeRegions []string

// Allow reports whether a server or host in a region may see a request. An unknown
// region ("") is allowed only if the list is empty.
func (h HomeRegions) Allow(region string) bool {
	return len(h) == 0 || region != "" && slices.Contains(h, region)
}

// String returns the regions as a comma-separated list.
func (h HomeRegions) String() string { return strings.Join(h, ", ") }

package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

func TestHomesAllow(t *testing.T) {
	assert.Assert(t, route.Homes(nil).Allow("a") && route.Homes{}.Allow(""), "without homes any region may see a request")
	homes := route.Homes{"a", "b"}
	assert.Assert(t, homes.Allow("a") && homes.Allow("b"))
	assert.Assert(t, !homes.Allow("c") && !homes.Allow(""), "a region that is not known is no home")
	assert.Assert(t, !route.Homes{""}.Allow(""), "an empty name is no region")
	assert.Equal(t, homes.String(), "a, b")
}

package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/route"
)

func TestHomesAllow(t *testing.T) {
	assert.Assert(t, route.HomeRegions(nil).Allow("a") && route.HomeRegions{}.Allow(""), "an empty list allows any region")
	homes := route.HomeRegions{"a", "b"}
	assert.Assert(t, homes.Allow("a") && homes.Allow("b"))
	assert.Assert(t, !homes.Allow("c") && !homes.Allow(""), "other and unknown regions are not allowed")
	assert.Assert(t, !route.HomeRegions{""}.Allow(""), "an empty home does not match an unknown region")
	assert.Equal(t, homes.String(), "a, b")
}

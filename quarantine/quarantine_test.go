package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// What stands in one field cannot be taken for what stands in two.
func TestFingerprintTellsContentsApart(t *testing.T) {
	contents := []Content{
		{Method: "GET", Host: "a", Target: "/x"},
		{Method: "GET", Host: "a/", Target: "x"},
		{Method: "GET", Host: "a", Target: "/x", Caller: "k"},
		{Method: "GET", Host: "a", Target: "/x", Body: []byte("k")},
		{Method: "POST", Host: "a", Target: "/x"},
	}
	seen := map[Fingerprint]bool{}
	for _, c := range contents {
		f := Of(c)
		assert.Assert(t, !seen[f], "%+v", c)
		seen[f] = true
		parsed, err := Parse(f.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, f)
	}
	assert.Equal(t, Of(contents[0]), Of(contents[0]))
	_, err := Parse("xyz")
	assert.ErrorContains(t, err, "no fingerprint")
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := Content{Method: "POST", Host: "desk.example", Target: "/q/" + strings.Repeat("x", 40), Body: make([]byte, size)}
			for b.Loop() {
				_ = Of(c)
			}
		})
	}
}

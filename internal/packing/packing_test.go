package packing_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mallowgap/mallowgap/internal/packing"
)

func signatures(n int) []string {
	var items []string
	for i := range n {
		items = append(items, fmt.Sprintf("%x.%x.a0.0.%016x", i, 0x1c6+i, uint64(i+1)*0x9e3779b97f4a7c15))
	}
	return items
}

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		items := rapid.SliceOf(rapid.StringMatching(`[ -~]{0,40}`)).Draw(rt, "texts")
		packed := packing.Pack(items)
		if packed == nil {
			return // The packed form would not be shorter.
		}
		got, err := packing.Unpack(packed)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, got, items)
	})
}

func TestPackShortensLongLists(t *testing.T) {
	items := signatures(45)
	assert.Assert(t, len(packing.Pack(items)) < 2*len(strings.Join(items, ""))/3)
	assert.Assert(t, packing.Pack([]string{"a"}) == nil)
	assert.Assert(t, packing.Pack([]string{strings.Repeat("a\n", 100)}) == nil, "strings with separators cannot be packed")
}

func TestUnpackRejectsInvalidInput(t *testing.T) {
	_, err := packing.Unpack([]byte("no list"))
	assert.ErrorContains(t, err, "unpack a list")
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	assert.NilError(t, err)
	_, err = w.Write(make([]byte, 8<<20))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = packing.Unpack(bomb.Bytes())
	assert.ErrorIs(t, err, packing.ErrTooLarge)
}

func FuzzUnpack(f *testing.F) {
	f.Add(packing.Pack(signatures(9)))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = packing.Unpack(data) })
}

func BenchmarkPack(b *testing.B) {
	items := signatures(45)
	b.ReportAllocs()
	for b.Loop() {
		packing.Pack(items)
	}
}

func BenchmarkUnpack(b *testing.B) {
	packed := packing.Pack(signatures(45))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = packing.Unpack(packed)
	}
}

func TestDeflateRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(rt, "data")
		got, err := packing.Inflate(packing.Deflate(data))
		assert.NilError(rt, err)
		assert.Assert(rt, bytes.Equal(got, data))
	})
	_, err := packing.Inflate([]byte("nothing"))
	assert.ErrorContains(t, err, "inflate")
}

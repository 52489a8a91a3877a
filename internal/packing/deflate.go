package packing

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxInflated is the maximum size of decompressed data in bytes. It exceeds the configuration
// and all server entries of the largest supported deployment several times.
const maxInflated = 64 << 20

// newWriters returns a pool of writers, which are expensive to allocate.
func newWriters(level int) *sync.Pool {
	return &sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, level)
		if err != nil {
			panic(err) // The compression level is invalid.
		}
		return w
	}}
}

var (
	// huffmanWriters only use entropy coding, which suits lists of hexadecimal digits.
	huffmanWriters = newWriters(flate.HuffmanOnly)
	deflateWriters = newWriters(flate.DefaultCompression)
	readers        = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Deflate compresses data for Inflate.
func Deflate(data []byte) []byte { return deflate(deflateWriters, data) }

func deflate(writers *sync.Pool, data []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	_, _ = w.Write(data) // Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return b.Bytes()
}

// Inflate decompresses the result of Deflate. It returns ErrTooLarge if the data exceeds
// maxInflated.
func Inflate(packed []byte) ([]byte, error) { return inflate(packed, maxInflated) }

// inflate decompresses packed data to at most limit bytes.
func inflate(packed []byte, limit int64) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	if int64(len(plain)) > limit {
		return nil, ErrTooLarge
	}
	return plain, nil
}

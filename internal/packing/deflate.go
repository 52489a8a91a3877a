package packing

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// maxInflated bounds what is inflated, in bytes: several times a configuration
// and the entries of all servers of the largest deployment designed for.
const maxInflated = 64 << 20

// newWriters returns a pool of writers, which are kept as each holds large tables.
func newWriters(level int) *sync.Pool {
	return &sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, level)
		if err != nil {
			panic(err) // Only a level that does not exist fails.
		}
		return w
	}}
}

var (
	huffmanWriters = newWriters(flate.HuffmanOnly)
	deflateWriters = newWriters(flate.DefaultCompression)
	readers        = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Deflate returns data in a shorter form, for which Inflate is the way back.
func Deflate(data []byte) []byte { return deflate(deflateWriters, data) }

func deflate(writers *sync.Pool, data []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	_, _ = w.Write(data) // A bytes.Buffer takes every write.
	_ = w.Close()
	return b.Bytes()
}

// Inflate returns what Deflate was given.
func Inflate(packed []byte) ([]byte, error) { return inflate(packed, maxInflated) }

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

// Package packing makes what goes between hosts shorter. Lists of identifiers and
// signatures, which are mostly hexadecimal digits, take half of their bytes;
// configurations and entries of servers a tenth.
package packing

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// separator ends each text of a packed list.
const separator = "\n"

// maxUnpacked bounds what is unpacked, in bytes: far above the largest list of a
// query, and below what would hurt a host.
const maxUnpacked = 1 << 20

// ErrTooLarge says that what is packed is larger than anything that is sent.
var ErrTooLarge = errors.New("what is packed is larger than anything that is sent")

// writers and readers are kept, as each holds large tables.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // Only a level that does not exist fails.
	}
	return w
}}

var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Pack returns a shorter form of texts, or nil where there is none.
func Pack(texts []string) []byte {
	plain := 0
	for _, text := range texts {
		if strings.Contains(text, separator) {
			return nil
		}
		plain += len(text)
	}
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	_, _ = io.WriteString(w, strings.Join(texts, separator)+separator) // A bytes.Buffer takes every write.
	if err := w.Close(); err != nil || b.Len() >= plain {
		return nil
	}
	return b.Bytes()
}

// Unpack returns the texts of a packed list.
func Unpack(packed []byte) ([]string, error) {
	plain, err := inflate(packed, maxUnpacked)
	if err != nil {
		return nil, fmt.Errorf("unpack a list: %w", err)
	}
	texts := strings.Split(string(plain), separator)
	return texts[:len(texts)-1], nil
}

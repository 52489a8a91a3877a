//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, and counts the runs of each request.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	// runs holds, by request, the leafs that ran it.
	runs map[string][]*Leaf
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file), runs: map[string][]*Leaf{}}, nil
}

func (r *Record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) leaf(l *Leaf, request *http.Request, id, what string) {
	r.notef("leaf %s (%s): %s %s %s %s", l.id, l.service, what, id, request.Method, request.URL.Path)
}

func (r *Record) ran(l *Leaf, _ *http.Request, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], l)
}

// runsOf returns the leafs that ran a request.
func (r *Record) runsOf(id string) []*Leaf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Leaf(nil), r.runs[id]...)
}

// allRuns returns the leafs that ran each request.
func (r *Record) allRuns() map[string][]*Leaf {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make(map[string][]*Leaf, len(r.runs))
	for id, leafs := range r.runs {
		copied[id] = append([]*Leaf(nil), leafs...)
	}
	return copied
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

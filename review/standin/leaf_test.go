//go:build review

package standin

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beat is the interval at which a leaf writes its entry.
const beat = 1200 * time.Millisecond

// recordsPerPart is the number of records of 16 bytes in a part.
const recordsPerPart = 8

// Leaf is a stand-in of a leaf. It runs slots requests at once, queues a few more and rejects the rest
// with 503 and X-Mallowgap-Not-Executed.
type Leaf struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	record            *Record
	store             *Store
	listener          net.Listener
	born              int64
	// clock is by how much the time of day of the leaf's machine is off.
	clock time.Duration

	// spoils decides whether a faulty leaf repeats an answer. It is nil for a sound leaf.
	spoils func(now time.Time) bool

	mu              sync.Mutex
	held            int
	running         chan struct{}
	sequence        int
	draining        bool
	extras, answers int
	reached         []time.Time
	conns           map[net.Conn]bool
	// address is that of the first start; stop ends the beats of the process.
	address string
	stop    chan struct{}
}

// start starts a process of the leaf, which writes its entry. A further start is a new process under the
// same identifier and address.
func (l *Leaf) start() error {
	if l.address == "" {
		l.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	l.mu.Lock()
	l.listener, l.address, l.running, l.stop = listener, listener.Addr().String(), make(chan struct{}, l.slots), stop
	l.held, l.conns, l.born = 0, map[net.Conn]bool{}, time.Now().Add(l.clock).UnixMilli()
	l.mu.Unlock()
	l.record.notef("leaf %s (%s): starts, born %d", l.id, l.service, l.born)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns[c] = true
			l.mu.Unlock()
			go l.serve(c)
		}
	}()
	l.beatOnce()
	go func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.beatOnce()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// crash ends the process of the leaf and its connections.
func (l *Leaf) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.stop)
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
	l.record.notef("leaf %s (%s): ends", l.id, l.service)
}

// drain reports that the leaf drains, and returns when the store acknowledged it.
func (l *Leaf) drain() time.Time {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.beatOnce()
	l.record.notef("store: acknowledged that leaf %s drains", l.id)
	return time.Now()
}

// arrivals returns when requests for the leaf reached it.
func (l *Leaf) arrivals() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.reached...)
}

// beatOnce writes the entry of the leaf, if the store holds another one.
func (l *Leaf) beatOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := "ready"
	if l.draining {
		state = "draining"
	}
	encoded, _ := json.Marshal(map[string]any{
		"service": l.service, "addr": l.address, "zone": l.zone, "version": "v1", "concurrency": l.slots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": l.born,
	})
	if bytes.Equal(l.store.get("servers/"+l.id), encoded) {
		return // Only the sequence would change, which changes no entry.
	}
	l.store.put("servers/"+l.id, encoded)
	l.record.notef("store: leaf %s writes its entry (service %s)", l.id, l.service)
}

// serve serves the requests on one connection, one at a time.
func (l *Leaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	// extra is an answer that a faulty leaf sends once more, where the next answer is expected.
	var extra []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if extra != nil {
			l.record.notef("leaf %s: sends its answer %q once more, as request %s arrives", l.id, extra, r.Header.Get("X-Mallowgap-Request-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := l.answer(r)
		if _, err := c.Write(answer); err != nil {
			return
		}
		l.mu.Lock()
		l.answers++
		if l.spoils != nil && l.spoils(time.Now()) {
			extra = answer
			l.extras++
		}
		l.mu.Unlock()
	}
}

// answer runs or rejects a request and returns the answer.
func (l *Leaf) answer(r *http.Request) []byte {
	id := r.Header.Get("X-Mallowgap-Request-Id")
	if target := r.Header.Get("X-Mallowgap-Target-Instance"); target != "" && target != l.id {
		l.record.leaf(l, r, id, "rejects with 421")
		return []byte("HTTP/1.1 421 Misdirected Request\r\nX-Mallowgap-Instance-Id: " + l.id + "\r\nX-Mallowgap-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	l.mu.Lock()
	l.reached = append(l.reached, time.Now())
	running := l.running
	full := l.held >= l.slots+l.queue
	if !full {
		l.held++
	}
	l.mu.Unlock()
	if full {
		l.record.leaf(l, r, id, "rejects with 503, not executed")
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Mallowgap-Not-Executed: 1\r\nX-Mallowgap-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	running <- struct{}{}
	l.record.leaf(l, r, id, "runs")
	l.record.ran(l, r, id)
	time.Sleep(l.work)
	<-running
	l.mu.Lock()
	l.held--
	l.mu.Unlock()
	body := l.part(id)
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Mallowgap-Request-Id: %s\r\nX-Mallowgap-Stamp: %s\r\nContent-Length: %d\r\n\r\n", id, stamp(l.service, id), len(body)), body...)
}

// part returns the records of the leaf's shard for a request.
func (l *Leaf) part(id string) []byte {
	var body []byte
	for i := range recordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", l.service, id, i))
		body = append(body, sum[:16]...)
	}
	return body
}

// stamp returns the signature of a service for a request. All leafs of a service sign alike.
func stamp(service, id string) string {
	sum := sha256.Sum256([]byte(service + "/" + id))
	return service + "." + hex.EncodeToString(sum[:6])
}

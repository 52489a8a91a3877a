//go:build review

package standin2

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, path, tenant string
	at               time.Time
	ran              bool
}

// leaf is a stand-in of a server.
type leaf struct {
	w                 *world
	id, service, zone string
	address           string
	listener          net.Listener
	// work is how long a request runs; respond, if set, serves it instead.
	work    time.Duration
	respond func(l *leaf, rw http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	arrivals []arrival
}

const leafSlots = 2

// addLeaf starts a server and registers it.
func (w *world) addLeaf(service, zone string, work time.Duration) (*leaf, error) {
	listener, err := net.Listen("tcp", w.address+":0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	l := &leaf{w: w, id: fmt.Sprintf("i-%04x", len(w.leafs)+1), service: service, zone: zone, address: listener.Addr().String(), listener: listener, work: work}
	w.leafs = append(w.leafs, l)
	w.mu.Unlock()
	if w.linked {
		link, err := w.newProxy(l.address, "r"+zone[1:])
		if err != nil {
			return nil, err
		}
		l.address = link.address
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(l.serve)) }()
	l.register("ready")
	return l, nil
}

func (l *leaf) register(state string) time.Time {
	return l.w.store.put("servers/"+l.id, map[string]any{
		"service": l.service, "addr": l.address, "zone": l.zone, "version": "v1", "concurrency": leafSlots, "state": state, "cold_left_ms": 0, "sequence": 1,
	})
}

// stamp returns the signature of a server of a service for a request.
func stamp(service, id string) string {
	sum := sha256.Sum256([]byte(service + "/" + id))
	return hex.EncodeToString(sum[:2]) + "." + hex.EncodeToString(sum[2:8])
}

// records returns the part of a service for a request.
func records(service, id string) []byte {
	var b []byte
	for i := range 6 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", service, id, i))
		b = append(b, sum[:16]...)
	}
	return b
}

func (l *leaf) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Mallowgap-Request-Id")
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Mallowgap-Instance-Id", l.id)
		return
	}
	if target := r.Header.Get("X-Mallowgap-Target-Instance"); target != "" && target != l.currentID() {
		l.note(arrival{id: id, path: r.RequestURI, at: time.Now()})
		rw.Header().Set("X-Mallowgap-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.note(arrival{id: id, path: r.RequestURI, tenant: r.Header.Get("X-Mallowgap-Tenant"), at: time.Now(), ran: true})
	if l.respond != nil {
		l.respond(l, rw, r, body)
		return
	}
	l.answer(rw, r, l.work)
}

func (l *leaf) answer(rw http.ResponseWriter, r *http.Request, work time.Duration) {
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get("X-Mallowgap-Request-Id")
	rw.Header().Set("X-Mallowgap-Request-Id", id)
	rw.Header().Set("X-Mallowgap-Stamp", stamp(l.service, id))
	rw.Header().Set("X-Mallowgap-Load", fmt.Sprintf("1,0,%d", leafSlots))
	_, _ = rw.Write(records(l.service, id))
}

func (l *leaf) note(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *leaf) arrived() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

func (l *leaf) currentID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

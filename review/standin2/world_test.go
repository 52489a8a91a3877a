//go:build review

package standin2

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// world is a small deployment on a loopback address of its own.
type world struct {
	trouble  bool
	record   *recorder
	address  string
	dir      string
	store    *store
	gateways []*gateway
	// ports is the number of ports that were looked at for gateways.
	ports int

	// cut tells whether the regions have lost each other. linked is set if all links pass a proxy.
	cut    regionCut
	linked bool

	mu    sync.Mutex
	leafs []*leaf
}

func newWorld(recordFile string) (*world, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mallowgap-review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{record: &recorder{file: file, begun: time.Now()}, dir: dir, address: fmt.Sprintf("127.%d.%d.%d", 100+pid>>16&63, pid>>8&255, 1+pid&127)}
	w.store = newStore(w)
	return w, nil
}

// close ends all processes of the case.
func (w *world) close() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		g.wait(2 * time.Second)
		_ = g.log.Close()
	}
	_ = w.record.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// firstPort is the first port of the gateways. It is below those that the system assigns by itself, so
// that no other listener of the case takes the port of a gateway before it listens.
const firstPort = 20_000

// freeAddress returns an address of this deployment on which nothing listens.
func (w *world) freeAddress() (string, error) {
	for range 1000 {
		w.ports++
		address := fmt.Sprintf("%s:%d", w.address, firstPort+w.ports)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// storeRegion is the region of the platform's store.
const storeRegion = "r1"

// gateway is a process of the gateway.
type gateway struct {
	w                    *world
	name, zone, settings string
	callers, ready       string
	log                  *os.File
	binary               string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

const settingsText = `[host]
name = %s
failure_domain = %s
region = %s
regions = z1=r1,z2=r2,z3=r3
cpu_share = 0.4
cpu_speed = 1
memory_mb = 284
[listen]
callers = %s
ready = %s
peers = %s
%s[store]
address = %s
seeds = %s
server_heartbeat = 1200ms
[retry]
share = 0.2
slack = 54
window = 10s
[quota]
window = 5s
excess = 0.1
slack = 20
[cold]
excess = 1.5
slack = 5
[coordination]
min_hosts = 0
[shutdown]
balancer_lag = 3s
drain_timeout = 2300ms
[query]
answer_margin = 20ms
`

// addGateways starts one gateway in each of the zones, as the deploy file runs it.
func (w *world) addGateways(zones ...string) error {
	binary := os.Getenv("MALLOWGAP")
	if binary == "" {
		binary = "target/mallowgap"
	}
	peers, reached := make([]string, len(zones)), make([]string, len(zones))
	seeds := ""
	for i := range zones {
		var err error
		if peers[i], err = w.freeAddress(); err != nil {
			return err
		}
		if reached[i] = peers[i]; w.linked {
			link, err := w.newProxy(peers[i], "r"+zones[i][1:])
			if err != nil {
				return err
			}
			reached[i] = link.address
		}
		if i > 0 && i < 3 {
			seeds += ","
		}
		if i < 3 {
			seeds += reached[i]
		}
	}
	for i, zone := range zones {
		callers, err := w.freeAddress()
		if err != nil {
			return err
		}
		ready, err := w.freeAddress()
		if err != nil {
			return err
		}
		g := &gateway{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, callers: callers, ready: ready, binary: binary}
		door, err := w.store.listen(g.name)
		if err != nil {
			return err
		}
		advertised := ""
		if w.linked {
			advertised = "peers_advertised = " + reached[i] + "\n"
			link, err := w.newProxy(door, storeRegion)
			if err != nil {
				return err
			}
			door = link.address
		}
		g.settings = filepath.Join(w.dir, g.name+".ini")
		text := fmt.Sprintf(settingsText, g.name, zone, "r"+zone[1:], callers, ready, peers[i], advertised, door, seeds)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(w.dir, g.name+".log")); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(10 * time.Second)
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := exec.Command(g.binary, "gateway")
	c.Env = append(os.Environ(), "MALLOWGAP_SETTINGS="+g.settings)
	c.Stdout, c.Stderr = g.log, g.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.command, g.exited = c, exited
	go func() {
		err := c.Wait()
		g.w.record.printf("process %s ended: %v", g.name, err)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

func (g *gateway) wait(limit time.Duration) bool {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.ready + "/mallowgap/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client got for one request.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	header     http.Header
	body       []byte
	err        error
}

// client sends requests of one client on connections of its own.
type client struct {
	w  *world
	id int
	n  int
	t  *http.Transport
}

func (w *world) newClient(id int) *client {
	return &client{w: w, id: id, t: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

func (c *client) send(g *gateway, method, host, path string, body []byte, deadline time.Duration, header map[string]string) answer {
	c.n++
	a := answer{id: fmt.Sprintf("%04x%08x", c.id, c.n), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, reader)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Mallowgap-Request-Id", a.id)
	r.Header.Set("X-Mallowgap-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := c.t.RoundTrip(r)
	a.done = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.done = time.Now()
	return a
}

var errSetup = errors.New("the deployment did not behave as a sound one before the disruption")

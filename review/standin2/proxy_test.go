//go:build review

package standin2

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// proxy is a link to a listener. A cut link hangs: nothing passes, and nothing is reset. What is held
// up in a cut is lost.
type proxy struct {
	address string
	target  string
	// region is that of the target.
	region string
	w      *world
}

// regionCut tells whether the regions have lost each other.
type regionCut struct {
	mu  sync.Mutex
	all bool
}

func (c *regionCut) severs(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all && a != b
}

func (c *regionCut) set(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = all
}

// newProxy returns a link to a listener in a region.
func (w *world) newProxy(target, region string) (*proxy, error) {
	l, err := net.Listen("tcp", w.address+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, region: region, w: w}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := p.w.regionOf(c)
	if p.w.cut.severs(from, p.region) {
		p.w.awaitHeal(from, p.region)
		return
	}
	s, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, source net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := source.Read(buffer)
			if p.w.cut.severs(from, p.region) {
				p.w.awaitHeal(from, p.region)
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if err == io.EOF {
					if t, ok := to.(*net.TCPConn); ok {
						_ = t.CloseWrite()
					}
				}
				return
			}
		}
	}
	go pass(s, c)
	go pass(c, s)
	<-done
}

// awaitHeal waits while the link between two regions is cut.
func (w *world) awaitHeal(a, b string) {
	for w.cut.severs(a, b) {
		time.Sleep(50 * time.Millisecond)
	}
}

// regionOf returns the region of the gateway that opened a connection, by the owner of its socket.
func (w *world) regionOf(c net.Conn) string {
	_, port, _ := net.SplitHostPort(c.RemoteAddr().String())
	var number int
	_, _ = fmt.Sscan(port, &number)
	table, _ := os.ReadFile("/proc/net/tcp")
	inode := ""
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) && strings.HasSuffix(c.LocalAddr().String(), fmt.Sprint(":", portOf(fields[2]))) {
			inode = fields[9]
		}
	}
	for _, g := range w.gateways {
		g.mu.Lock()
		pid := 0
		if g.command != nil && g.command.Process != nil {
			pid = g.command.Process.Pid
		}
		g.mu.Unlock()
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, link := range links {
			if name, err := os.Readlink(link); err == nil && name == "socket:["+inode+"]" {
				return g.region()
			}
		}
	}
	return ""
}

func portOf(hexAddress string) int {
	var n int
	_, port, _ := strings.Cut(hexAddress, ":")
	_, _ = fmt.Sscanf(port, "%x", &n)
	return n
}

func (g *gateway) region() string { return "r" + g.zone[1:] }

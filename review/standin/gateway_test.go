//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// deploy holds what the harness takes from the deploy file.
type deploy struct {
	// run is the command of the gateway's role and template the path of its settings template.
	run      []string
	template string
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "([^"]*)"`)
	templateLine = regexp.MustCompile(`(?m)^template = "([^"]*)"`)
)

func readDeploy(root string) (deploy, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return deploy{}, err
	}
	run, template := runLine.FindSubmatch(text), templateLine.FindSubmatch(text)
	if run == nil || template == nil {
		return deploy{}, fmt.Errorf("deploy/system.toml names no command or no template")
	}
	return deploy{run: strings.Fields(string(run[1])), template: string(template[1])}, nil
}

// Gateway is a process of the project.
type Gateway struct {
	name, zone            string
	front, ready, control string
	settings              string
	root                  string
	deploy                deploy
	record                *Record
	log                   *os.File
	process               *exec.Cmd
	exited                chan struct{}
}

// lastPort is the port given out last. Ports are below those that the system assigns by itself.
var lastPort = 20_000

// freeAddress returns a loopback address with a port that no other process has: the address is that of
// this process alone.
func freeAddress() string {
	lastPort++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, pid>>8&0xff, pid&0xff, lastPort)
}

var (
	zonesSection    = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)
	optionalSection = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the settings template as the platform does. fields are the values of the placeholders;
// a section without a value is left out.
func render(template string, zones []string, fields map[string]string) string {
	pairs := make([]string, len(zones))
	for i, z := range zones {
		pairs[i] = z + "=region-" + z
	}
	text := zonesSection.ReplaceAllString(template, strings.Join(pairs, ","))
	text = optionalSection.ReplaceAllStringFunc(text, func(section string) string {
		parts := optionalSection.FindStringSubmatch(section)
		if _, ok := fields[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return fields[placeholder.FindStringSubmatch(p)[1]] })
}

// newGateways prepares gateways, one in each of the zones given, which may repeat.
func newGateways(root, dir, store string, zones []string, record *Record) ([]*Gateway, error) {
	d, err := readDeploy(root)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, d.template))
	if err != nil {
		return nil, err
	}
	var gateways []*Gateway
	var seeds []string
	for i, zone := range zones {
		g := &Gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, root: root, deploy: d, record: record}
		for _, address := range []*string{&g.front, &g.ready, &g.control} {
			*address = freeAddress()
		}
		gateways, seeds = append(gateways, g), append(seeds, g.control)
	}
	for _, g := range gateways {
		ip, port, _ := strings.Cut(freeAddress(), ":")
		text := render(string(template), zones, map[string]string{
			"node": g.name, "zone": g.zone, "region": "region-" + g.zone, "ip": ip, "port_range.0": port,
			"listen.front": g.front, "listen.ready": g.ready, "listen.control": g.control,
			"limits.cpu_share": "0.4", "limits.cpu_cores": "1", "limits.ram_mb": "284",
			"platform.addr": store, "seed_addrs": strings.Join(seeds[:min(len(seeds), 3)], ","), "beat_ms": "1200",
			"rule_params.retry_ratio": "0.2", "rule_params.retry_slack": "52", "rule_params.retry_window_s": "10",
		})
		g.settings = filepath.Join(dir, g.name+".ini")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if g.log, err = os.Create(filepath.Join(dir, g.name+".log")); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// start starts the process with the command of the deploy file.
func (g *Gateway) start() error {
	g.process = exec.Command(filepath.Join(g.root, g.deploy.run[0]), g.deploy.run[1:]...)
	g.process.Dir = g.root
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "MALLOWGAP_SETTINGS=" + g.settings}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		g.record.notef("gateway %s: process %d ended: %v", g.name, p.Process.Pid, p.ProcessState)
		close(exited)
	}(g.process, g.exited)
	g.record.notef("gateway %s: process %d started, front %s", g.name, g.process.Process.Pid, g.front)
	return nil
}

func (g *Gateway) signal(s syscall.Signal) {
	g.record.notef("gateway %s: %v sent", g.name, s)
	_ = g.process.Process.Signal(s)
}

// kill ends the process.
func (g *Gateway) kill() {
	if g.process != nil {
		_ = g.process.Process.Kill()
		<-g.exited
	}
}

// awaitReady waits until the gateway counts as ready.
func (g *Gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/mallowgap/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.record.notef("gateway %s: ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s isn't ready after %v", g.name, limit)
}

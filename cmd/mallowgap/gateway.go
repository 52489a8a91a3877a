package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog/diode"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/gateway"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/settings"
	"github.com/mallowgap/mallowgap/platform"
)

const (
	// memoryLimitShare is the share of the host's memory that is set as the
	// soft memory limit of the Go runtime; the rest is for memory that the
	// runtime does not count.
	memoryLimitShare = 0.6
	// peerDialTimeout bounds the dial of a peer, at a few round trips between
	// regions.
	peerDialTimeout = 250 * time.Millisecond
	// logBufferLines is the number of log lines buffered while standard output
	// is slow.
	logBufferLines = 2000
)

type gatewayCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings file (INI); by default the one that MALLOWGAP_SETTINGS names."`
	} `positional-args:"yes"`
}

// Execute runs a gateway until a stop signal arrives.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Args.File
	if path == "" {
		path = os.Getenv("MALLOWGAP_SETTINGS")
	}
	file := &settingspb.Gateway{}
	if err := settings.LoadGateway(path, file); err != nil {
		return err
	}
	out := nonBlockingWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log, err := obs.NewLogger(out, file.GetLog().GetLevel(), file.GetHost().GetName())
	if err != nil {
		return fmt.Errorf("[log] level: %w", err)
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(file.GetHost().GetMemoryMb()<<20)))
	backends := platform.NewLeafClient()
	peers := peer.NewDRPCClient(peerDialTimeout, nil)
	defer func() { _ = peers.Close() }()
	g := gateway.New(file, gateway.Adapters{
		Store: platform.NewStore(file.GetStore().GetAddress(), file.GetStore().GetCallTimeout().AsDuration()), Backends: backends, Peers: peers,
		TeamHeader: platform.HeaderTeam,
	}, log)
	go checkSettingsOnHangup(path, log)
	return g.Run(stopSignal(), gateway.Handlers{
		Callers: platform.CallerHandler(g), Ready: platform.ReadyHandler(g), Sweep: backends.Sweep,
	})
}

// nonBlockingWriter returns a writer that never blocks: lines that do not fit
// its buffer while w is slow are dropped and counted.
func nonBlockingWriter(w io.Writer) io.WriteCloser {
	dropped := metrics.GetOrCreateCounter("mallowgap_log_lines_dropped_total")
	return diode.NewWriter(w, logBufferLines, 0, func(missed int) { dropped.Add(missed) })
}

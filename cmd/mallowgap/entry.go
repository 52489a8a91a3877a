package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/entry"
	"github.com/mallowgap/mallowgap/internal/leaf"
	"github.com/mallowgap/mallowgap/internal/obs"
	"github.com/mallowgap/mallowgap/internal/peer"
	"github.com/mallowgap/mallowgap/internal/platform"
	"github.com/mallowgap/mallowgap/internal/secure"
	"github.com/mallowgap/mallowgap/internal/settings"
)

type entryCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings file (INI)."`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs an entry host until a stop signal arrives.
func (c *entryCommand) Execute([]string) error {
	file := &settingspb.Entry{}
	if err := settings.LoadEntry(c.Args.File, file); err != nil {
		return err
	}
	log, err := obs.NewLogger(os.Stderr, file.GetLog().GetLevel(), file.GetHost().GetName())
	if err != nil {
		return fmt.Errorf("[log] level: %w", err)
	}
	if memory := file.GetHost().GetMemoryMb(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory<<20)))
	}
	identity, err := secure.Load(secure.Files{Cert: file.GetTls().GetCert(), Key: file.GetTls().GetKey(), CA: file.GetTls().GetCa()})
	if err != nil {
		return err
	}
	client, err := platform.NewClient(file.GetPlatform().GetAddress(), file.GetPlatform().GetCallTimeout().AsDuration(),
		identityIf(identity, file.GetTls().GetPlatform()).ClientCredentials())
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	leaves := leaf.NewGRPCClient(identityIf(identity, file.GetTls().GetLeaves()).ClientCredentials())
	defer leaves.Close()
	peers := peer.NewDRPCClient(file.GetTraffic().GetForwardTimeout().AsDuration(), identity)
	defer func() { _ = peers.Close() }()
	dependencies := entry.Dependencies{Store: client, Hosts: client, Leaves: leaves, Peers: peers, Identity: identity}
	incarnation := uint64(time.Now().UnixNano())
	return entry.New(file, dependencies, incarnation, log).Run(stopSignal())
}

// identityIf returns identity if useTLS is set, and nil otherwise, which selects
// plaintext connections.
func identityIf(identity *secure.Identity, useTLS bool) *secure.Identity {
	if useTLS {
		return identity
	}
	return nil
}

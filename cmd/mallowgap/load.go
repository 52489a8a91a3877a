package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/load"
	"github.com/mallowgap/mallowgap/internal/settings"
)

type loadCommand struct {
	Entries  []string `long:"entry" description:"Callers address of an entry host; may be repeated."`
	Ready    []string `long:"ready" description:"HTTP address of the entry host given by the --entry in the same place; its readiness is followed."`
	Leaves   []string `long:"leaf-control" description:"Control address of a stand-in leaf process; may be repeated."`
	Platform string   `long:"platform-control" description:"Address of the stand-in platform."`
	Verify   bool     `long:"verify" description:"Hold the replies against what the leaves executed; exit 2 on a violation."`
	Lost     bool     `long:"allow-lost" description:"Do not fail for requests without a reply, as when an entry host is killed."`
	Direct   string   `long:"direct" description:"Configuration (JSON) whose leaves are asked without entry hosts."`
	Plots    string   `long:"plots" description:"Directory to write SVG plots and an HTML page to."`
	Title    string   `long:"title" default:"mallowgap" description:"Title of the plots."`
	Args     struct {
		File string `positional-arg-name:"SCENARIO" description:"Scenario file (INI)."`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs a scenario.
func (c *loadCommand) Execute([]string) error {
	scenario := &settingspb.Scenario{}
	if err := settings.Load(c.Args.File, scenario); err != nil {
		return err
	}
	targets := load.Targets{Entries: c.Entries, ReadyAddresses: c.Ready, LeafControls: c.Leaves, PlatformControl: c.Platform}
	if len(c.Entries) == 0 && c.Direct == "" {
		return errors.New("no target: give --entry, or --direct with a configuration")
	}
	if c.Direct != "" {
		config, err := readConfig(c.Direct)
		if err != nil {
			return err
		}
		targets.Direct = config
	}
	ctx := context.Background()
	report, err := load.Run(ctx, scenario, targets)
	if err != nil {
		return err
	}
	report.WriteTable(os.Stdout)
	if c.Plots != "" {
		if err := report.WritePlots(c.Plots, c.Title); err != nil {
			return err
		}
	}
	violations := report.Mismatches()
	if c.Verify {
		found, err := load.Verify(ctx, targets, report.Outcomes)
		if err != nil {
			return err
		}
		violations = append(violations, found...)
	}
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
	fmt.Printf("violations: %d, cut off: %d\n", len(violations), report.NoReply())
	if len(violations) > 0 || (report.NoReply() > 0 && !c.Lost) {
		return fmt.Errorf("%d violations and %d requests without a reply", len(violations), report.NoReply())
	}
	return nil
}

// Command mallowgap is the query tier in one binary: the daemon of the entry
// hosts, the tools of operators and desks, a load tool, and stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand.
type command struct {
	name, short, long string
	data              any
}

func main() {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "mallowgap"
	parser.LongDescription = "A query tier over many shards."
	for _, c := range []command{
		{"entry", "Run an entry host", "Run the daemon of an entry host with the given settings file.", &entryCommand{}},
		{"gateway", "Run a gateway", "Run a gateway, which serves callers over HTTP by the routes of the platform's configuration.", &gatewayCommand{}},
		{"explain", "Explain a request", "Print what the logs of several hosts tell of one request.", &explainCommand{}},
		{"quarantine", "List and clear requests in quarantine", "List the requests under which servers ended, as the platform's store has them, or clear one.", &quarantineCommand{}},
		{"operator", "Operate the configuration", "Get, apply and check the configuration through an entry host.", &operatorCommand{}},
		{"query", "Send one request", "Send one request of a desk and print the reply as JSON.", &queryCommand{}},
		{"load", "Run a load scenario", "Run an open-loop load scenario and print a table a class.", &loadCommand{}},
		{"standin", "Run stand-ins", "Run stand-ins for backend servers and the platform, and change their faults.", &standinCommand{}},
		{"settings", "Check and print settings", "Check a settings file, print the settings in force, or their reference.", &settingsCommand{}},
		{"capacity", "Measure the slopes of the capacity page", "Measure how state, time and bytes grow, and rewrite the tables of the capacity page.", &capacityCommand{}},
		{"version", "Print the version", "Print the version of this binary.", &versionCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// stopSignal returns a channel that is closed at the first signal to stop. A
// second signal ends the process at once.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		fmt.Fprintln(os.Stderr, "second signal: ending at once; requests in flight are cut off")
		os.Exit(3)
	}()
	return stop
}

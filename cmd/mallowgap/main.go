// Command mallowgap holds the whole query tier in one binary: the entry host and
// gateway daemons, tools for operators and callers, a load generator, and
// stand-ins for backend servers and the platform.
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
		{"gateway", "Run a gateway", "Run a gateway, which serves HTTP callers by the routes in the platform's configuration.", &gatewayCommand{}},
		{"explain", "Explain a request", "Print the history of one request from the logs of several hosts.", &explainCommand{}},
		{"quarantine", "List and clear quarantined requests", "List the requests that are recorded in the platform's store because servers crashed during them, or clear one.", &quarantineCommand{}},
		{"operator", "Operate the configuration", "Get, apply and check the configuration and its status through an entry host.", &operatorCommand{}},
		{"query", "Send one request", "Send one request on behalf of a desk and print the reply as JSON.", &queryCommand{}},
		{"load", "Run a load scenario", "Run an open-loop load scenario and print a table with a row for each class.", &loadCommand{}},
		{"standin", "Run stand-ins", "Run stand-ins for backend servers and the platform, and inject faults into them.", &standinCommand{}},
		{"settings", "Check and print settings", "Check a settings file, print the effective settings, or print the settings reference.", &settingsCommand{}},
		{"capacity", "Measure resource growth for the capacity page", "Measure how memory, processor time and message sizes grow with the deployment, and replace the tables of the capacity page.", &capacityCommand{}},
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

// stopSignal returns a channel that is closed on the first SIGTERM or SIGINT. A
// second signal exits the process at once.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		fmt.Fprintln(os.Stderr, "second signal: exiting at once; requests in flight are cut off")
		os.Exit(3)
	}()
	return stop
}

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/internal/control"
	"github.com/mallowgap/mallowgap/internal/guard"
	"github.com/mallowgap/mallowgap/platform"
	"github.com/mallowgap/mallowgap/quarantine"
)

type quarantineCommand struct {
	List  listQuarantineCommand  `command:"list" description:"Print the requests under which servers ended, and what is done with them"`
	Clear clearQuarantineCommand `command:"clear" description:"Let a request run again on all hosts"`
}

// storeTarget holds the flags that address the platform's store, where all
// hosts keep their quarantine records.
type storeTarget struct {
	Address string        `long:"store" required:"yes" description:"Address of the platform's store, IP:port."`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Longest wait for each call."`
}

type listQuarantineCommand struct{ storeTarget }

type clearQuarantineCommand struct {
	storeTarget
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"The request, as the list and the log lines name it."`
	} `positional-args:"yes" required:"yes"`
}

// records returns the quarantine entries in the store.
func (s storeTarget) records() ([]control.Entry, error) {
	contents, err := platform.NewStore(s.Address, s.Timeout).Read(context.Background())
	if err != nil {
		return nil, fmt.Errorf("read the store at %s: %w: pass the address given in [store] of the gateway settings", s.Address, err)
	}
	var records []control.Entry
	for _, e := range contents.Entries {
		if e.Kind == relaypb.EntryKind_QUARANTINE {
			records = append(records, e)
		}
	}
	return records, nil
}

// Execute prints a table with a row for each fingerprint. Records that cannot be
// decoded are reported on standard error.
func (c *listQuarantineCommand) Execute([]string) error {
	records, err := c.records()
	if err != nil {
		return err
	}
	book := quarantine.NewBook("")
	for _, e := range records {
		if _, err := guard.ApplyEntryTo(book, e, time.Now()); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "fingerprint\tstanding\tservers ended\tlast\tseen by\ttrials\tversions\trequest")
	for _, s := range book.Summaries() {
		_, _ = fmt.Fprintf(t, "%v\t%v\t%d\t%s\t%s\t%d\t%s\t%s\n", s.Fingerprint, s.Standing, s.Crashes, time.UnixMilli(s.LastCrash).UTC().Format(time.RFC3339),
			strings.Join(s.Hosts, ","), s.Claims, strings.Join(s.Versions, ","), s.Description)
	}
	return t.Flush()
}

// Execute removes the records of all hosts about a request.
func (c *clearQuarantineCommand) Execute([]string) error {
	f, err := quarantine.ParseFingerprint(c.Args.Fingerprint)
	if err != nil {
		return err
	}
	records, err := c.records()
	if err != nil {
		return err
	}
	var names []string
	for _, e := range records {
		if key, err := quarantine.ParseRecordKey(e.Name); err == nil && key.Fingerprint == f {
			names = append(names, e.Name)
		}
	}
	if len(names) == 0 {
		return fmt.Errorf("no quarantine record of %v: run mallowgap quarantine list to see all", f)
	}
	store := platform.NewStore(c.Address, c.Timeout)
	for len(names) > 0 {
		n := min(len(names), control.MaxWrites)
		if _, err := store.Write(context.Background(), relaypb.EntryKind_QUARANTINE, 0, nil, names[:n]); err != nil {
			return fmt.Errorf("clear quarantine of %v: %w: try again", f, err)
		}
		names = names[n:]
	}
	fmt.Printf("%v is cleared; all hosts learn of it within seconds\n", f)
	return nil
}

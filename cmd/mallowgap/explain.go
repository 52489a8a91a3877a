package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/mallowgap/mallowgap/internal/explain"
)

type explainCommand struct {
	Summary    bool `long:"summary" description:"Count what became of all requests, by route, cause and time; give log files only."`
	Quarantine bool `long:"quarantine" description:"Tell of the requests under which servers ended; give log files only."`
	Args       struct {
		Words []string `positional-arg-name:"REQUEST-ID LOG" description:"Identifier of the request, then the log files of the hosts." required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// errNoLog reports a command line with a request identifier but no log file.
var errNoLog = errors.New("no log file given: list the log files of the hosts after the request identifier")

// Execute prints the history of one request, or a report over all requests.
func (c *explainCommand) Execute([]string) error {
	if c.Summary {
		lines, err := readLogs(c.Args.Words)
		if err != nil {
			return err
		}
		if err := explain.NewProfile(lines).Write(os.Stdout); err != nil {
			return err
		}
		fmt.Println()
		return explain.Summarize(lines).Write(os.Stdout)
	}
	if c.Quarantine {
		lines, err := readLogs(c.Args.Words)
		if err != nil {
			return err
		}
		return explain.NewQuarantineSummary(lines).Write(os.Stdout)
	}
	if len(c.Args.Words) < 2 {
		return errNoLog
	}
	lines, err := readLogs(c.Args.Words[1:])
	if err != nil {
		return err
	}
	return explain.HistoryOf(lines, c.Args.Words[0]).Write(os.Stdout)
}

func readLogs(paths []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a log file: %w: pass the path of a readable file", err)
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("read log file %s: %w", path, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not gateway log lines\n", path, skipped)
	}
	return lines, nil
}

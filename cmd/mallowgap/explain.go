package main

import (
	"fmt"
	"os"

	"github.com/mallowgap/mallowgap/internal/explain"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" description:"Identifier of the request."`
		Logs    []string `positional-arg-name:"LOG" description:"Log files of the hosts." required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints what the logs tell of a request.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, path := range c.Args.Logs {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return explain.Of(lines, c.Args.Request).Write(os.Stdout)
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read a log: %w: give the path of a readable file", err)
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("read the log %s: %w", path, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are not of a gateway's log\n", path, skipped)
	}
	return lines, nil
}

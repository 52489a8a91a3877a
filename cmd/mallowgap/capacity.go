package main

import (
	"os"

	"github.com/mallowgap/mallowgap/internal/capacity"
)

type capacityCommand struct {
	Args struct {
		Page string `positional-arg-name:"PAGE" description:"Page whose tables are rewritten."`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the capacity measurements and replaces the tables of the page.
func (c *capacityCommand) Execute([]string) error {
	return capacity.Measure(os.Stdout).Rewrite(c.Args.Page)
}

package main

import (
	"fmt"
	"runtime/debug"
)

// version is the release version.
const version = "0.1.0"

type versionCommand struct{}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	info, _ := debug.ReadBuildInfo()
	fmt.Printf("mallowgap %s (%s)\n", version, info.GoVersion)
	return nil
}

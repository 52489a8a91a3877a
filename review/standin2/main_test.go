//go:build review

// Package standin2 holds the stand-ins of the cases 4 to 8: the platform's store, servers, clients and
// the operator, and the processes of the gateways. It is built as a program by review/build-2.sh.
package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases maps the name of a case to its run. It returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){}

// TestMain is the main function: standin2 CASE RECORD-FILE.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE, with a CASE of", names)
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		w.close()
		os.Exit(cannotRun)
	}()
	w.trouble = os.Getenv("TROUBLE") != "0"
	w.record.printf("case %s, trouble %v", name, w.trouble)
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.record.printf("the case could not run: %v", err)
		return cannotRun
	case broken:
		w.record.printf("RULE BROKEN")
		return ruleBroken
	}
	w.record.printf("the rule held")
	return ruleHeld
}

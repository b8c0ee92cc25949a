//go:build review

// Command kit2 runs the scripted cases of the second independent review: gateways as processes,
// before stand-ins of the users' store, workers and clients in this process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trouble is the value of TROUBLE: 0 leaves out the disruption.
var trouble = os.Getenv("TROUBLE")

func main() {
	cases := map[string]func(*world) (broken bool, err error){"split": runSplit, "release": runRelease}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	recordPath, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(root, recordPath, cases[os.Args[1]]))
}

func runCase(root, recordPath string, run func(*world) (bool, error)) int {
	w, err := newWorld(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := run(w)
	switch {
	case err != nil:
		w.record.linef("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		w.record.linef("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.record.linef("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

//go:build review

// Command kit runs the scripted cases of the review: it starts gateways as processes, and the
// stand-ins of the platform, its workers and its clients in its own process.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxRunTime bounds a case, which may take 120 s.
const maxRunTime = 115 * time.Second

// verdict is what a case has found.
type verdict struct {
	broken bool
	text   string
}

// cases maps the name of each case to its function. trouble says whether the disruption takes
// place.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){}

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("gatewayd", "target/gatewayd", "the gateway program")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(exitCannot)
	}
	os.Exit(runCase(run, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(run func(*deployment, bool) (verdict, error), program, record string, trouble bool) int {
	d, err := newDeployment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitCannot
	}
	defer d.close()
	done := make(chan int, 1)
	go func() {
		v, err := run(d, trouble)
		switch {
		case err != nil:
			d.note("the case can't run: %v", err)
			done <- exitCannot
		case v.broken:
			d.note("BROKEN: %s", v.text)
			done <- exitBroken
		default:
			d.note("held: %s", v.text)
			done <- exitHeld
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case s := <-ended:
		d.note("the case can't run: %s", s)
		return exitCannot
	case <-time.After(maxRunTime):
		d.note("the case can't run: it took longer than %s", maxRunTime)
		return exitCannot
	}
}

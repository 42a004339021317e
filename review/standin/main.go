// Command standin plays one case of the review against the programs of lentilyard: it starts the control and intake processes,
// plays executors, requesters, the operator and the platform, injects the disruption of the case and checks the rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE is 1, or 0 to do the same without
// the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that takes too long.
const runLimit = 115 * time.Second

// cases are the cases by name. Each returns true if the rule held.
var cases = map[string]func(*fleet, bool) (bool, error){}

func main() {
	if len(os.Args) != 4 || os.Args[2] != "0" && os.Args[2] != "1" {
		fmt.Fprintln(os.Stderr, "usage: standin CASE TROUBLE RECORD-FILE; TROUBLE is 0 or 1")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2] == "1", os.Args[3], play))
}

func run(name string, trouble bool, recordFile string, play func(*fleet, bool) (bool, error)) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.log("case %s, with the disruption: %v", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := play(f, trouble)
		done <- result{held, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.log("the case could not run: %v", r.err)
			return exitNotRun
		case !r.held:
			rec.log("RESULT: the rule was broken")
			return exitBroken
		}
		rec.log("RESULT: the rule held")
		return exitHeld
	case <-time.After(runLimit):
		rec.log("the case could not run: it took longer than %s", runLimit)
	case s := <-signals:
		rec.log("the case could not run: signal %s", s)
	}
	return exitNotRun
}

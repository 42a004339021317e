// Command standin-2 plays the cases of the second review in review/: it starts the programs of the deploy file as processes on loopback
// addresses, with small stand-ins for callers, executors, the operator and the platform that follow the platform's pages.
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
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2 // the case could not run
)

// maxCaseTime bounds a case, with some seconds left to end its processes.
const maxCaseTime = 110 * time.Second

// caseFunc plays a case and returns whether the rule was broken.
type caseFunc func(*world) (broken bool, err error)

var cases = map[string]caseFunc{
	"refused": playRefused,
	"wave":    playWave,
	"leave":   playLeave,
	"ends":    playEnds,
	"silent":  playSilent,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to write the record to")
	binary := flag.String("binary", "target/lentilyard", "program under test")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitUnknown)
	}
	os.Exit(runCase(play, *record, *binary))
}

// runCase plays a case in a new world and returns the exit code.
func runCase(play caseFunc, record, binary string) int {
	w, err := newWorld(record, binary, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.note("the case could not run: %v", r.err)
			return exitUnknown
		case r.broken:
			w.note("RESULT the rule was broken")
			return exitBroken
		}
		w.note("RESULT the rule held")
		return exitHeld
	case <-interrupted:
		w.note("interrupted")
	case <-time.After(maxCaseTime):
		w.note("the case took too long")
	}
	return exitUnknown
}

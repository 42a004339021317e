// Command standin-3 runs the cases of the third review: small deployments of the system's own processes with stand-ins for callers,
// executors, the operator and the platform, which do only what the users' pages allow them.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// scenario runs one case. It returns false if the case could not run.
type scenario func(w *world, trouble bool) bool

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "case to run")
	binary := flag.String("binary", "target/lentilyard", "program under test")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	controls := flag.Int("controls", 3, "control VMs")
	intakes := flag.Int("intakes", 2, "intake VMs")
	flag.Parse()
	run, ok := scenarios[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	file, err := os.Create(*recordFile)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w, err := newWorld(file, *binary, *controls, *intakes)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.event("case", "name", *name, "trouble", trouble)
	began := time.Now()
	ran := run(w, trouble)
	w.close()
	for i, b := range w.broken {
		if i == 12 {
			break
		}
		fmt.Println("broken:", b)
	}
	fmt.Printf("%s trouble=%t ran=%t broken=%d ends=%v took=%.1fs\n", *name, trouble, ran, len(w.broken), w.ends, time.Since(began).Seconds())
	_ = file.Close()
	switch {
	case len(w.broken) > 0:
		os.Exit(1)
	case !ran:
		os.Exit(2)
	}
}

// Package proptest runs tests with a fixed seed for property tests, which use pgregory.net/rapid.
package proptest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// seed is the default of -rapid.seed, so that every run checks the same cases.
const seed = "20261204"

// Main runs the tests of a package and exits. Call it from TestMain in packages with property tests.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

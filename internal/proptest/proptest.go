// Package proptest runs the tests of a package with a fixed seed for its property tests.
package proptest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

// seed makes each run of the tests draw the same cases, unless -rapid.seed is given.
const seed = "20261204"

// Main is the TestMain of a package with property tests.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

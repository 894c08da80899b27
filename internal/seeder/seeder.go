// Package seeder fixes the seed of rapid's property tests, so that every run of the
// suite checks the same cases.
//
// Usage:
//
//	func TestMain(m *testing.M) { seeder.Main(m, 1000) }
//
// The flags -rapid.seed and -rapid.checks choose another seed and number of cases.
package seeder

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed is the seed of every property test.
const defaultSeed = 1

// Main runs the tests of a package with a fixed seed and number of cases, and exits
// with their result. rapid writes no files for failed cases unless a flag says so.
func Main(m *testing.M, checks int) {
	flag.Parse()
	setDefault("rapid.seed", defaultSeed)
	setDefault("rapid.checks", checks)
	setDefault("rapid.nofailfile", true)
	os.Exit(m.Run())
}

// setDefault sets a flag unless it is undefined or the command line has changed it.
func setDefault(name string, value any) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(fmt.Sprint(value)); err != nil {
		panic(err)
	}
}

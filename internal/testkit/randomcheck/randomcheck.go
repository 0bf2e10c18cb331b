// Package randomcheck runs a package's property-based tests with a fixed seed, so that every run
// has the same result.
package randomcheck

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main must be called by TestMain and doesn't return. It sets the seed and, unless checks is 0, the
// number of checks per property. The command line's -rapid flags override both. rapid writes no
// file for a failure, because the seed reproduces it. Main panics if the package's tests don't use
// rapid.
func Main(m *testing.M, seed uint64, checks int) {
	set("rapid.seed", strconv.FormatUint(seed, 10))
	set("rapid.nofailfile", "true")
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

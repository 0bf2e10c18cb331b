// Package randomcheck runs a package's tests with a fixed seed for their random
// checks, so that a verdict is the same on every run.
package randomcheck

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main is to be called by TestMain. It sets the seed and, unless 0, the number
// of checks of each property; the command line's -rapid flags win over both. No
// file is written for a failure, as the seed gives it again. Main panics when
// the package's tests don't use rapid.
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

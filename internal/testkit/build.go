// Package testkit runs the system's real processes for tests: nodes, the stand-in of the platform,
// the daemons of entry VMs and the command line, with fault-injecting proxies between them.
//
// Every cluster has its own loopback IP, so that its ports don't collide with those of other test
// processes on the machine or with the ports of outgoing connections. All processes are stopped
// when the test ends.
package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// Names of the binaries.
const (
	binEntry   = "yuccadrift-entry"
	binSteward = "yuccadrift-steward"
	binStandin = "yuccadrift-standin"
	binCLI     = "yuccadrift"
)

// built holds the directory of the binaries that this test process has built, or the build's error.
var built struct {
	sync.Once
	dir string
	err error
}

// Main runs a package's tests, removes the binaries that were built for them and returns the exit
// code. Use it as: func TestMain(m *testing.M) { os.Exit(testkit.Main(m)) }.
func Main(m *testing.M) int {
	defer func() { _ = os.RemoveAll(built.dir) }()
	return m.Run()
}

// binaryPath returns the path of a binary. All binaries are built once per test process, with the
// race detector if the test uses it.
func binaryPath(t testing.TB, name string) string {
	t.Helper()
	built.Do(func() { built.dir, built.err = buildBinaries() })
	if built.err != nil {
		t.Fatal(built.err)
	}
	return filepath.Join(built.dir, name)
}

func buildBinaries() (string, error) {
	root, err := Root()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "yuccadrift-bin-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, errors.Wrapf(err, "go build: %s", out)
	}
	return dir, nil
}

// Root returns the root directory of the module.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			return "", errors.New("no go.mod above the working directory")
		}
		dir = up
	}
}

// Example returns the text of an example document by its name, such as "ramcharan/booking".
func Example(t testing.TB, name string) string {
	t.Helper()
	root, err := Root()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "examples", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

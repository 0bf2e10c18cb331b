// Package testkit runs the system's real processes for tests: the stand-in of
// the platform, entry VMs' daemons and the command line, with fault-injecting
// proxies between them.
//
// Every cluster lives on a loopback IP of its own, so that the ports of two test
// processes on one machine, and those of outgoing connections, do not meet.
// Everything that was started is ended when the test ends.
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

// built holds the binaries of this test process.
var built struct {
	sync.Once
	dir string
	err error
}

// Main runs a package's tests and removes the binaries that they had built. Use
// it as: func TestMain(m *testing.M) { os.Exit(testkit.Main(m)) }.
func Main(m *testing.M) int {
	defer func() { _ = os.RemoveAll(built.dir) }()
	return m.Run()
}

// binaryPath returns the path of a binary. All are built once per test process, with
// the race detector if the test has it.
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

// Root returns the directory of the module.
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

// Example returns the text of an example document, such as "ramcharan/booking".
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

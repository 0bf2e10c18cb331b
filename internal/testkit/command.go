package testkit

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Ran is what a run of the operators' command line printed.
type Ran struct {
	Code   int
	Out    string
	ErrOut string
}

// Command runs the operators' command line against the platform, past all links.
func (c *Cluster) Command(args ...string) Ran {
	c.t.Helper()
	cmd := exec.CommandContext(c.t.Context(), binary(c.t, binCLI), append([]string{"--platform", c.Standin.address}, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatal(err)
	}
	return Ran{Code: cmd.ProcessState.ExitCode(), Out: out.String(), ErrOut: errOut.String()}
}

// Must runs the command line and fails the test unless it exits with 0.
func (c *Cluster) Must(args ...string) Ran {
	c.t.Helper()
	ran := c.Command(args...)
	if ran.Code != 0 {
		c.t.Fatalf("yuccadrift %s: exit code %d\n%s%s", strings.Join(args, " "), ran.Code, ran.Out, ran.ErrOut)
	}
	return ran
}

// Publish puts documents in force and waits until every entry is ready.
func (c *Cluster) Publish(texts ...string) {
	c.t.Helper()
	args := []string{"publish"}
	for i, text := range texts {
		args = append(args, c.File(fmt.Sprintf("document-%d.toml", i), text))
	}
	c.Must(args...)
}

// File writes a file into the test's directory and returns its path.
func (c *Cluster) File(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

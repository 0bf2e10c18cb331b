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

// CommandResult is the exit code and the output of a run of the operators' command line.
type CommandResult struct {
	ExitCode int
	Stdout   string
	Stderr   string
}

// Command runs the operators' command line against the platform, without a link.
func (c *Cluster) Command(args ...string) CommandResult {
	c.t.Helper()
	cmd := exec.CommandContext(c.t.Context(), binaryPath(c.t, binCLI), append([]string{"--platform", c.Standin.address}, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatal(err)
	}
	return CommandResult{ExitCode: cmd.ProcessState.ExitCode(), Stdout: out.String(), Stderr: errOut.String()}
}

// MustCommand runs the command line and fails the test unless it exits with 0.
func (c *Cluster) MustCommand(args ...string) CommandResult {
	c.t.Helper()
	result := c.Command(args...)
	if result.ExitCode != 0 {
		c.t.Fatalf("yuccadrift %s: exit code %d\n%s%s", strings.Join(args, " "), result.ExitCode, result.Stdout, result.Stderr)
	}
	return result
}

// Publish publishes documents with the command line.
func (c *Cluster) Publish(texts ...string) {
	c.t.Helper()
	args := []string{"publish"}
	for i, text := range texts {
		args = append(args, c.WriteFile(fmt.Sprintf("document-%d.toml", i), text))
	}
	c.MustCommand(args...)
}

// WriteFile writes a file in the test's directory and returns its path.
func (c *Cluster) WriteFile(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

package main

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// runAsCommand is the environment variable that makes the test binary run main.
const runAsCommand = "YUCCADRIFT_TEST_RUN_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func commandWithSettings(t *testing.T, settings string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin.toml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.CommandContext(t.Context(), os.Args[0], append([]string{"--config", path}, args...)...)
	cmd.Env = append(os.Environ(), runAsCommand+"=1")
	return cmd
}

const validSettings = `
listen = "127.0.0.1:0"
[[fleet]]
prefix = "vm"
count = 3
zones = ["zone-a"]
`

func TestServesUntilTerminated(t *testing.T) {
	// The binary logs the addresses of its control page and backend servers, serves the
	// control page, and exits with code 0 after SIGTERM.
	cmd := commandWithSettings(t, validSettings)
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	control := ""
	addresses := regexp.MustCompile(`control=(\S+) backends=\["127[^,]+, "127[^,]+, "127[^,]+\]`)
	lines := bufio.NewScanner(stderr)
	for control == "" && lines.Scan() {
		if found := addresses.FindStringSubmatch(lines.Text()); found != nil {
			control = found[1]
		}
	}
	require.NotEmpty(t, control, "the addresses must be in the log")
	resp, err := http.Get(control)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	for lines.Scan() {
	}
	require.NoError(t, cmd.Wait())
}

func TestAllSettingsErrorsAreReportedWithTheirLines(t *testing.T) {
	// --check of a file with many errors reports all of them, each with its line, and
	// exits with a non-zero code.
	cmd := commandWithSettings(t, strings.Join([]string{
		`listen = "localhost:80"`,
		`log_level = "loud"`,
		`log_format = "xml"`,
		`color = true`,
		`[log]`,
		`retention_entries = 0`,
		`appends_per_second = "many"`,
		`[[fleet]]`,
		`prefix = "A B"`,
		`zones = []`,
		`cores = -1`,
		`[[fleet]]`,
		`prefix = "vm"`,
		`count = 20`,
		`zones = ["z"]`,
		`base_port = 65530`,
		`[[fleet]]`,
		`prefix = "vm"`,
		`count = 1`,
		`zones = ["z", ""]`,
		`base_port = 65531`,
	}, "\n"), "--check")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	require.Error(t, cmd.Run())
	reported := []string{}
	for _, line := range regexp.MustCompile(`standin\.toml:(\d+: [^:]+):`).FindAllStringSubmatch(stderr.String(), -1) {
		reported = append(reported, line[1])
	}
	require.Equal(t, []string{
		"1: listen",
		"2: log_level",
		"3: log_format",
		"4: color",
		"6: log.retention_entries",
		"7: log.appends_per_second",
		"8: fleet[0].count",
		"9: fleet[0].prefix",
		"10: fleet[0].zones",
		"11: fleet[0].cores",
		"16: fleet[1].base_port",
		"18: fleet[2].prefix",
		"20: fleet[2].zones[1]",
		"21: fleet[2].base_port",
	}, reported, stderr.String())
}

func TestCheckAcceptsGoodSettings(t *testing.T) {
	require.NoError(t, commandWithSettings(t, validSettings, "--check").Run())
	_, err := loadSettings("../../examples/settings/standin.toml")
	require.NoError(t, err)
}

func TestAddressInUseIsReported(t *testing.T) {
	// If the address is in use, the binary exits with a non-zero code and names the
	// address.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	out, err := commandWithSettings(t, strings.Replace(validSettings, "127.0.0.1:0", address, 1)).CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "listen on "+address)
}

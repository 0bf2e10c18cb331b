package operatorcmd

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/dayreport"
)

const dayLog = `{"@message":"answered","@timestamp":"2026-01-02T12:00:00.100Z","node":"n-1","method":"POST","status":200,"job":"a","queue":"q","service":"booking"}
{"@message":"answered","@timestamp":"2026-01-02T12:00:01.100Z","node":"n-1","method":"POST","status":503,"reason":"the store is away, the request was not taken: no answer"}
{"@message":"first-placed","@timestamp":"2026-01-02T12:00:02.100Z","node":"n-1","job":"a","queue":"q","partition":1,"age_ms":2000}
not of a node
`

// runOffline executes a command that needs no platform.
func runOffline(t *testing.T, args ...string) (code int, out, errOut string) {
	b := &testEnv{t: t, addr: "127.0.0.1:1"}
	return b.run(args...)
}

func TestReportDay(t *testing.T) {
	dir := t.TempDir()
	log, page := filepath.Join(dir, "n-1.log"), filepath.Join(dir, "day.html")
	require.NoError(t, os.WriteFile(log, []byte(dayLog), 0o600))

	code, out, errOut := runOffline(t, "report", "day", "--html", page, log)
	require.Zero(t, code, errOut)
	assert.Contains(t, out, "store away")
	assert.Contains(t, out, "no room")
	assert.Contains(t, out, "1 foreign, 0 cut")
	written, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Contains(t, string(written), "<svg")

	code, r := runJSON[dayreport.Report](&testEnv{t: t, addr: "127.0.0.1:1"}, "report", "day", "--slow", "3s", log)
	require.Zero(t, code)
	assert.Equal(t, 1, r.Jobs.Accepted)
	assert.Empty(t, r.SlowStarts, "no job must count as late by 3 s")
}

func TestReportDayErrors(t *testing.T) {
	dir := t.TempDir()
	empty, log := filepath.Join(dir, "empty.log"), filepath.Join(dir, "n-1.log")
	require.NoError(t, os.WriteFile(empty, []byte("not of a node\n"), 0o600))
	require.NoError(t, os.WriteFile(log, []byte(dayLog), 0o600))
	for _, c := range []struct {
		args []string
		told string
	}{
		{[]string{empty}, "no line of a node was found; 1 lines of other programs"},
		{[]string{filepath.Join(dir, "missing.log")}, "missing.log"},
		{[]string{"--slow", "0s", log}, "--slow must be more than 0"},
		{[]string{"--html", filepath.Join(dir, "missing", "day.html"), log}, "page"},
	} {
		code, out, errOut := runOffline(t, append([]string{"report", "day"}, c.args...)...)
		assert.NotZero(t, code, c.args)
		assert.Empty(t, out, c.args)
		assert.Contains(t, errOut, c.told)
	}
}

func TestReportRefusals(t *testing.T) {
	const refused = `{"@message":"answered","@timestamp":"2026-01-02T12:00:00.100Z","node":"n-1","method":"POST","status":200,"job":"00000000000000aa"}
{"@message":"answered","@timestamp":"2026-01-02T12:00:03.100Z","node":"n-2","method":"POST","status":503,"job":"00000000000000aa","reason":"the store is away"}
`
	log := filepath.Join(t.TempDir(), "all.log")
	require.NoError(t, os.WriteFile(log, []byte(refused), 0o600))
	code, out, errOut := runOffline(t, "report", "refusals", log)
	require.Zero(t, code, errOut)
	assert.Contains(t, out, "accepted, then refused  POST  00000000000000aa  12:00:00.100  n-1  12:00:03.100  n-2  1")

	code, r := runJSON[dayreport.RefusalReport](&testEnv{t: t, addr: "127.0.0.1:1"}, "report", "refusals", log)
	require.Zero(t, code)
	assert.Equal(t, 1, r.Count(dayreport.AcceptedThenRefused))

	require.NoError(t, os.WriteFile(log, []byte("not of a node\n"), 0o600))
	code, _, errOut = runOffline(t, "report", "refusals", log)
	assert.NotZero(t, code)
	assert.Contains(t, errOut, "no line of a node was found")
}

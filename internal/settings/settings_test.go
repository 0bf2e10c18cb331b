package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

const common = `[node]
id = "entry-1"
zone = "a"
[platform]
address = "10.0.0.9:7000"
[peers]
listen = "10.0.0.1:7400"
seeds = ["10.0.0.2:7400"]
[admin]
listen = "127.0.0.1:7500"
`

func TestParseAppliesDefaults(t *testing.T) {
	entry, problems := settings.ParseEntry("entry.toml", []byte(common+"[callers]\nlisten = '0.0.0.0:8080'\n[claims]\nlease = '3s'\n"))
	require.NoError(t, problems.Err())
	assert.Equal(t, 3*time.Second, entry.Claims.Lease.Duration)
	assert.Equal(t, settings.DefaultClockAllowance, entry.Claims.ClockAllowance.Duration)
	assert.Equal(t, settings.DefaultSnapshotStream, entry.Platform.SnapshotStream)
	steward, problems := settings.ParseSteward("steward.toml", []byte(common))
	require.NoError(t, problems.Err())
	assert.Equal(t, settings.DefaultMaxActions, steward.Planning.MaxActions)
	assert.Equal(t, "10.0.0.2:7400", steward.Peers.Seeds[0].String())
	steward, problems = settings.ParseSteward("steward.toml", []byte(strings.Replace(common, "seeds", "advertise = '10.1.0.1:7400'\nseeds", 1)))
	require.NoError(t, problems.Err())
	assert.Equal(t, "10.1.0.1:7400", steward.Peers.Advertise.String())
}

func TestParseReportsAllMistakesAtOnce(t *testing.T) {
	text := strings.Join([]string{
		`[node]`,
		`id = "entry 1"`,
		`[platform]`,
		`address = "platform.example:7000"`,
		`stream = "s"`,
		`snapshot_stream = "s"`,
		`request_timeout = 250`,
		`[peers]`,
		`listen = "0.0.0.0:7400"`,
		`advertise = "0.0.0.0:7400"`,
		`seeds = ["10.0.0.2:7400", "10.0.0.3:0"]`,
		`[admin]`,
		`listen = "10.0.0.1:7400"`,
		`[callers]`,
		`listen = "10.0.0.1:7400"`,
		`max_connections = 0`,
		`[backends]`,
		`check_timeout = "5s"`,
		`[claims]`,
		`lease = "400ms"`,
		`[planning]`,
		`interval = "1s"`,
		`[log]`,
		`level = "loud"`,
		`format = 3`,
	}, "\n")
	_, problems := settings.ParseEntry("e.toml", []byte(text))
	assert.Equal(t, strings.Join([]string{
		`e.toml:1: node.zone: is missing, expected 1 to 64 letters, digits, dots, dashes or underscores`,
		`e.toml:2: node.id: "entry 1" is no name, expected 1 to 64 letters, digits, dots, dashes or underscores`,
		`e.toml:4: platform.address: "platform.example:7000" is a host name, expected an IP number and port in quotes, such as "10.0.0.1:7400"`,
		`e.toml:6: platform.snapshot_stream: is the same as platform.stream, expected a stream of its own`,
		`e.toml:7: platform.request_timeout: "250" is not a duration, expected a duration with its unit in quotes, such as "250ms" or "1h30m"`,
		`e.toml:9: peers.listen: 0.0.0.0:7400 names no single address, expected the address of this VM that other nodes dial`,
		`e.toml:10: peers.advertise: 0.0.0.0 cannot be dialled, expected the address of one VM`,
		`e.toml:11: peers.seeds[1]: has port 0, expected the port that the other side listens on`,
		`e.toml:13: admin.listen: 10.0.0.1:7400 is taken by peers.listen, expected another address or port`,
		`e.toml:15: callers.listen: 10.0.0.1:7400 is taken by peers.listen, expected another address or port`,
		`e.toml:16: callers.max_connections: 0 is out of range, expected 1 to 1048576`,
		`e.toml:18: backends.check_timeout: 5s is over the interval, expected at most backends.check_interval, 1s`,
		`e.toml:19: claims.clock_allowance: 500ms leaves nothing of the lease, expected less than claims.lease, 400ms`,
		`e.toml:21: planning: unknown key, expected one of node, platform, peers, admin, log, callers, drain, backends, claims`,
		`e.toml:24: log.level: "loud" is not known, expected one of trace, debug, info, warn, error`,
		`e.toml:25: log.format: is of type integer, expected a string`,
	}, "\n"), problems.Error())
}

func TestParseStopsAtSyntaxError(t *testing.T) {
	_, problems := settings.ParseSteward("s.toml", []byte("[node\nid = 1"))
	require.Len(t, problems, 1)
	assert.True(t, problems.Malformed())
}

func TestLoadErrorsNameFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "steward.toml")
	_, err := settings.LoadSteward(path)
	require.ErrorContains(t, err, "read settings")
	require.NoError(t, os.WriteFile(path, []byte("colour = 1\n"+common), 0o600))
	_, err = settings.LoadSteward(path)
	var problems tomlfile.Problems
	require.ErrorAs(t, err, &problems)
	assert.Equal(t, path, problems[0].File)
	assert.Len(t, problems, 1)
}

func TestExamplesAreValid(t *testing.T) {
	_, err := settings.LoadEntry("../../examples/settings/entry.toml")
	require.NoError(t, err)
	_, err = settings.LoadSteward("../../examples/settings/steward.toml")
	require.NoError(t, err)
}

// Whatever a settings file holds, a daemon must report it and not crash.
func FuzzParse(f *testing.F) {
	f.Add([]byte(common))
	f.Add([]byte("[peers]\nseeds = [1, \"x\"]\n[log]\nlevel = {}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, problems := settings.ParseEntry("f", data); problems.Err() == nil {
			require.Contains(t, string(data), "callers")
		}
	})
}

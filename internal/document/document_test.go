package document_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

const minimal = `service = "booking"
team = "loans"
[pool]
size = 10
[budget]
window = "24h"
allowed = 0.02
`

func TestExamplesMatchPlannedSizes(t *testing.T) {
	for dir, weigh := range map[string]document.Weigh{"ramcharan": document.WeighBuffer, "feldkamm": document.WeighMoves} {
		paths, err := filepath.Glob("../../examples/" + dir + "/*.toml")
		require.NoError(t, err)
		require.Len(t, paths, 5)
		total := 0
		for _, path := range paths {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			doc, problems := document.Parse(filepath.Base(path), text)
			require.NoError(t, problems.Err())
			assert.Equal(t, doc.Service+".toml", filepath.Base(path))
			assert.Equal(t, weigh, doc.Weigh)
			assert.GreaterOrEqual(t, doc.Pool.Size, 8)
			assert.LessOrEqual(t, doc.Pool.Size, 12)
			total += doc.Pool.Size
		}
		assert.Equal(t, 50, total, dir)
	}
}

func TestParseFillsDefaults(t *testing.T) {
	doc, problems := document.Parse("booking.toml", []byte(minimal+"[[route]]\nprefix = \"/\"\n[[quota]]\nteam = \"audit\"\ncores = 0.25\nmemory_mb = 512\n"))
	require.NoError(t, problems.Err())
	assert.Equal(t, document.Document{
		Service: "booking",
		Team:    "loans",
		Weigh:   document.WeighBuffer,
		Pool:    document.Pool{Size: 10, MinZones: 1, MinRacks: 1},
		Budget:  document.Budget{Window: 24 * time.Hour, Allowed: 0.02, MaxUnavailable: 1, OneDomain: true},
		Routes:  []document.Route{{Prefix: "/", Class: document.ClassQuick, Deadline: 5 * time.Second, MaxBody: 1 << 20}},
		Limits:  document.Limits{Slots: 8, Connections: 64, RetryShare: 0.1, Drain: 30 * time.Second},
		Quotas:  []document.Quota{{Team: "audit", MilliCores: 250, MemoryMB: 512}},
		Jobs:    document.Jobs{OnDrain: document.LongJobsWait, Lease: 30 * time.Second},
	}, doc)
}

func TestParseReportsEveryMistakeInLineOrder(t *testing.T) {
	text := strings.Join([]string{
		`service = "Booking"`,
		`weigh = "speed"`,
		`[pool]`,
		`size = 4`,
		`min_zones = 5`,
		`[budget]`,
		`window = "60s"`,
		`allowed = 0.01`,
		`max_unavailable = 4`,
		`[[route]]`,
		`prefix = "/a"`,
		`deadline = "0s"`,
		`[[route]]`,
		`prefix = "/a"`,
		`class = "slow"`,
		`[limits]`,
		`slots = 9`,
		`connections = 8`,
		`retry_share = nan`,
		`colour = "red"`,
		`[[quota]]`,
		`team = "audit"`,
		`cores = -1.0`,
		`memory_mb = 1`,
		`[jobs]`,
		`lease = "soon"`,
	}, "\n")
	_, problems := document.Parse("b.toml", []byte(text))
	var got []string
	for _, p := range problems {
		place, _, _ := strings.Cut(p.String(), ": ")
		got = append(got, strings.TrimPrefix(place, "b.toml:")+" "+p.Key)
	}
	assert.Equal(t, []string{
		"1 service", "1 team", "2 weigh", "5 pool.min_zones", "8 budget.allowed", "9 budget.max_unavailable",
		"12 route[0].deadline", "14 route[1].prefix", "15 route[1].class", "18 limits.connections",
		"19 limits.retry_share", "20 limits.colour", "23 quota[0].cores", "26 jobs.lease",
	}, got, problems.Error())
}

// Each change to a good document is refused with a message that names the fault.
func TestParseRefuses(t *testing.T) {
	for change, want := range map[string]string{
		"size = 10->size = 1":                                                    "lone VM",
		"size = 10->size = -1":                                                   "0 to 100000",
		"size = 10->min_racks = 1":                                               "pool.size: is missing",
		`window = "24h"->`:                                                       "budget.window: is missing",
		`window = "24h"->window = "9000h"`:                                       "8784h",
		"allowed = 0.02->":                                                       "budget.allowed: is missing",
		"allowed = 0.02->allowed = nan":                                          "over 0 and under 1",
		"allowed = 0.02->allowed = 1":                                            "over 0 and under 1",
		"allowed = 0.02->allowed = 0.00001":                                      "not one VM could ever be drained",
		"allowed = 0.02->allowed = 0.02\nmax_unavailable = 0":                    "1 to 9",
		`team = "loans"->team = "loans-"`:                                        "no dash at an end",
		"$->[[route]]\nprefix = \"/a/\"":                                         "no slash at the end",
		"$->[[route]]\nprefix = \"/a/../b\"":                                     "no . or .. element",
		"$->[[route]]\nclass = \"long\"":                                         "route[0].prefix: is missing",
		"$->[[route]]\nprefix = \"/a\"\ndeadline = \"31s\"":                      "limits.drain cuts requests after 30s",
		"$->[[route]]\nprefix = \"/a\"\nmax_body = -1":                           "0 to 1073741824",
		"$->[[quota]]\nteam = \"a\"\ncores = 1":                                  "no cores or no memory",
		"$->[[quota]]\nteam = \"a\"\ncores = inf\nmemory_mb = 1":                 "0 to 1000000 cores",
		"$->[jobs]\nurgent_cores = 1e300":                                        "0 to 1000000 cores",
		"$->[jobs]\non_drain = \"kill\"":                                         `"wait" or "checkpoint" or "skip"`,
		"$->[limits]\ndrain = \"0s\"":                                            "a duration from 1s",
		"size = 10->size = 10\nmin_cores = 4\n[jobs]\nurgent_cores = 41\n[pool]": "pool",
		"$->" + strings.Repeat("#", document.MaxText):                            "at most 32768",
		"$->x = ": "not valid TOML",
	} {
		from, to, _ := strings.Cut(change, "->")
		text := minimal + to
		if from != "$" {
			text = strings.Replace(minimal, from, to, 1)
			require.NotEqual(t, minimal, text, change)
		}
		_, problems := document.Parse("b.toml", []byte(text))
		assert.ErrorContains(t, problems.Err(), want, change)
	}
}

// A mistyped value decodes to zero or to its default. Only its line must be
// reported: checking a valid key against that value would point the team to the
// wrong line. The service's name is kept for the message.
func TestMistypedValueIsTheOnlyProblem(t *testing.T) {
	for change, key := range map[string]string{
		"size = 10->size = \"ten\"\nmin_zones = 3":                                "pool.size",
		"size = 10->min_zones = 3":                                                "pool.size",
		"allowed = 0.02->allowed = 0.02\nmax_unavailable = \"1\"":                 "budget.max_unavailable",
		"$->[limits]\nslots = \"2\"\nconnections = 4":                             "limits.slots",
		"$->[limits]\ndrain = 60\n[[route]]\nprefix = \"/a\"\ndeadline = \"40s\"": "limits.drain",
		"$->[[quota]]\nteam = \"a\"\ncores = \"1\"\nmemory_mb = 1":                "quota[0].cores",
	} {
		from, to, _ := strings.Cut(change, "->")
		text := minimal + to
		if from != "$" {
			text = strings.Replace(minimal, from, to, 1)
		}
		doc, problems := document.Parse("b.toml", []byte(text))
		require.Len(t, problems, 1, problems.Error())
		assert.Equal(t, key, problems[0].Key)
		assert.Equal(t, document.Document{Service: "booking"}, doc)
	}
	doc, _ := document.Parse("b.toml", []byte("service = \"Booking\"\n"))
	assert.Empty(t, doc.Service, "an invalid service name must not be returned")
}

func TestParseAcceptsAnEmptyPool(t *testing.T) {
	_, problems := document.Parse("b.toml", []byte(strings.Replace(minimal, "size = 10", "size = 0", 1)))
	assert.NoError(t, problems.Err())
}

// A broken template can yield a document with thousands of mistakes. Every node
// parses it when it applies the log, so parsing must stop after MaxProblems.
func TestParseStopsAfterManyMistakes(t *testing.T) {
	for _, unit := range []string{"[[quota]]\nteam = 1\n", "[[quota]]\nx = 1\n", "[[quota]]\nteam = \"-\"\n"} {
		_, problems := document.Parse("b.toml", []byte(minimal+strings.Repeat(unit, 1000)))
		assert.Len(t, problems, tomlfile.MaxProblems)
	}
}

// Whatever a text holds, parsing must end and be deterministic, and a document
// without problems must be usable for planning.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(minimal + "[[route]]\nprefix=\"/a\"\n[[quota]]\nteam=\"x\"\ncores=1\nmemory_mb=1\n"))
	f.Add([]byte("[budget]\nallowed = nan\nwindow = \"1h\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, problems := document.Parse("f.toml", text)
		again, same := document.Parse("f.toml", text)
		assert.Equal(t, doc, again)
		assert.Equal(t, problems, same)
		if len(problems) > 0 {
			return
		}
		assert.True(t, document.ValidName(doc.Service))
		assert.True(t, doc.Budget.Allowed > 0 && doc.Budget.Allowed < 1)
		assert.False(t, doc.Pool.Size > 0 && doc.Budget.MaxUnavailable >= doc.Pool.Size)
	})
}

// BenchmarkParse parses an example and a text of MaxText bytes with as many
// unknown keys as fit.
func BenchmarkParse(b *testing.B) {
	example, err := os.ReadFile("../../examples/ramcharan/booking.toml")
	require.NoError(b, err)
	worst := []byte(minimal + strings.Repeat("[[quota]]\nx=1\n", (document.MaxText-len(minimal))/14))
	for name, text := range map[string][]byte{"example": example, "worst": worst} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				document.Parse("b.toml", text)
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

package capacity

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

func TestMain(m *testing.M) { os.Exit(testkit.Main(m)) }

// Parameters of the measurements.
const (
	settleTime  = 45 * time.Second // by then the first snapshot has been published and read
	measureTime = 20 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// submitBatch is the number of jobs that one append submits.
	submitBatch = 250
)

// usage holds the resources that a process has used since its start.
type usage struct {
	cpu   time.Duration
	bytes int64 // read and written by system calls, sockets included
	rss   int64 // current resident set
	peak  int64
}

func usageOf(tb testing.TB, p *testkit.Process) usage {
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(dir + "stat")
	require.NoError(tb, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(tb, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(tb, err)
	io := readNumbers(tb, dir+"io")
	status := readNumbers(tb, dir+"status")
	return usage{
		cpu:   time.Duration(user+system) * clockTick,
		bytes: io["rchar"] + io["wchar"],
		rss:   status["VmRSS"] << 10,
		peak:  status["VmHWM"] << 10,
	}
}

// readNumbers reads the lines of the form "name: number" of a file.
func readNumbers(tb testing.TB, path string) map[string]int64 {
	file, err := os.Open(path)
	require.NoError(tb, err)
	defer file.Close()
	values := map[string]int64{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		first, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		if v, err := strconv.ParseInt(first, 10, 64); err == nil {
			values[name] = v
		}
	}
	return values
}

// seedLog appends the log of an idle fleet as the first entries of the platform's
// log.
func seedLog(tb testing.TB, s *testkit.Standin) *fleet.History {
	h := fleet.NewSteadyStateHistory(s.List())
	const batch = 500
	for i := 0; i < len(h.Entries); i += batch {
		_, err := s.Client.Append(tb.Context(), settings.DefaultStream, h.Entries[i:min(i+batch, len(h.Entries))])
		require.NoError(tb, err)
		time.Sleep(time.Second / 50) // below the limit on the rate of appends
	}
	return h
}

// nodeZones returns the zones of n entry VMs.
func nodeZones(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("zone-%c", 'a'+i%fleet.Zones))
	}
	return list
}

// load holds the parameters of one benchmark of the control plane.
type load struct{ vms, nodes, tasks int }

// BenchmarkNode measures what the daemons of one entry VM use while the fleet is
// idle, as the mean over all entry VMs: processor time, memory, and bytes read and
// written by system calls, nearly all of them socket payload.
func BenchmarkNode(b *testing.B) {
	for _, l := range []load{{1000, 3, 0}, {1000, 8, 0}, {1000, 24, 0}, {4000, 3, 0}, {4000, 8, 0}, {4000, 24, 0}} {
		b.Run(fmt.Sprintf("vms=%d/nodes=%d", l.vms, l.nodes), func(b *testing.B) { measureNode(b, l) })
	}
}

// BenchmarkTasks measures the same while a constant set of tasks runs.
func BenchmarkTasks(b *testing.B) {
	for _, l := range []load{{1000, 8, 0}, {1000, 8, 500}, {1000, 8, 2000}} {
		b.Run(fmt.Sprintf("tasks=%d", l.tasks), func(b *testing.B) { measureNode(b, l) })
	}
}

// submitJobs submits jobs of one hour, spread over the pools, and waits until all
// of them run.
func submitJobs(b *testing.B, c *testkit.Cluster, jobs int) {
	var entries [][]byte
	for i := range jobs {
		h := fleet.NewHistory()
		rec := h.Record(record.SubjectJob, fmt.Sprintf("job-%05d", i), record.JobSubmit{
			Service: fleet.Service(i % fleet.Pools), Team: fmt.Sprintf("team-%03d", i%fleet.Pools),
			MilliCores: 1000, MemoryMB: 1024, RunTime: time.Hour, Repeatable: true,
		})
		rec.ID, rec.Seen = ulid.Make().String(), 1
		data, err := record.Encode(rec)
		require.NoError(b, err)
		entries = append(entries, data)
	}
	for part := range slices.Chunk(entries, submitBatch) {
		_, err := c.Standin.Client.Append(b.Context(), settings.DefaultStream, part)
		require.NoError(b, err)
	}
	require.Eventually(b, func() bool {
		usage, err := c.Standin.Client.Usage(b.Context())
		return err == nil && len(usage) >= jobs
	}, time.Minute, time.Second)
}

// startCluster starts a stand-in with an idle fleet and the daemons of entry VMs.
func startCluster(b *testing.B, vms, nodes int, before func(*testkit.Standin)) *testkit.Cluster {
	all := []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
	c := testkit.Start(b, testkit.Options{
		Nodes:       nodeZones(nodes),
		Fleet:       []testkit.Group{{Prefix: "vm", Count: vms, Zones: all, RackSize: fleet.PerRack, BootSeconds: 1}},
		Entry:       testkit.Settings{"log.level": `"error"`},
		Steward:     testkit.Settings{"log.level": `"error"`, "planning.interval": `"1s"`, "planning.list_interval": `"2s"`},
		Standin:     testkit.Settings{"log_level": `"warn"`, "log.retention_entries": "1000000"},
		Direct:      true,
		BeforeNodes: before,
	})
	c.AwaitReady()
	return c
}

func measureNode(b *testing.B, l load) {
	c := startCluster(b, l.vms, l.nodes, func(s *testkit.Standin) { seedLog(b, s) })
	if l.tasks > 0 {
		submitJobs(b, c, l.tasks)
	}
	time.Sleep(settleTime)
	for b.Loop() {
		var entries, stewards []usage
		for _, n := range c.Nodes {
			entries = append(entries, usageOf(b, n.Entry))
			stewards = append(stewards, usageOf(b, n.Steward))
		}
		began := time.Now()
		time.Sleep(measureTime)
		took := time.Since(began)
		var entry, steward usage
		for i, n := range c.Nodes {
			entry = sum(entry, since(entries[i], usageOf(b, n.Entry)))
			steward = sum(steward, since(stewards[i], usageOf(b, n.Steward)))
		}
		report(b, "entry", entry, took, l.nodes)
		report(b, "steward", steward, took, l.nodes)
	}
}

func since(a, b usage) usage {
	return usage{cpu: b.cpu - a.cpu, bytes: b.bytes - a.bytes, rss: b.rss, peak: b.peak}
}

func sum(a, b usage) usage {
	return usage{cpu: a.cpu + b.cpu, bytes: a.bytes + b.bytes, rss: a.rss + b.rss, peak: max(a.peak, b.peak)}
}

func report(b *testing.B, role string, u usage, took time.Duration, nodes int) {
	n := float64(nodes)
	b.ReportMetric(100*u.cpu.Seconds()/took.Seconds()/n, role+"-%core")
	b.ReportMetric(float64(u.bytes)/took.Seconds()/n/1e3, role+"-kB/s")
	b.ReportMetric(float64(u.rss)/n/1e6, role+"-MB")
	b.ReportMetric(float64(u.peak)/1e6, role+"-peak-MB")
}

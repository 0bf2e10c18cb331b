package proof

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// BenchmarkOwnerStarts measures the processor time that a node uses per task start when it owns a
// service at peak load: quick jobs of eight tasks on 24 workers, some 480 starts a second. Run it
// with -benchtime 1x. If the environment variable OWNER_PROFILE names a file, a CPU profile of the
// node is written to it.
func BenchmarkOwnerStarts(b *testing.B) {
	const (
		jobsPerS     = 60
		tasks        = 8
		taskDuration = 800 * time.Millisecond
		loadDuration = 10 * time.Second
	)
	c := testkit.StartJobs(b, standin.Options{
		Services: []string{"booking"}, PerService: 24, Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}, Partitions: 12,
	}, 1)
	spec := testkit.Chain(taskDuration, tasks)
	for range b.N {
		doneBefore, cpuBefore := c.Platform.DoneTasks(), processorTime(b, c.Nodes[0].PID())
		profile := startProfile(b, c.Nodes[0].Metrics, loadDuration-2*time.Second)
		startedAt := time.Now()
		tick := time.NewTicker(time.Second / jobsPerS)
		for time.Since(startedAt) < loadDuration {
			<-tick.C
			id := c.NewID()
			go c.Call(c.Nodes[0], http.MethodPost, standin.QueuePrefix("booking")+string(id), testkit.Body(b, spec))
		}
		tick.Stop()
		time.Sleep(2 * taskDuration)
		cpu := processorTime(b, c.Nodes[0].PID()) - cpuBefore
		done := c.Platform.DoneTasks() - doneBefore
		require.NoError(b, <-profile)
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(done)/loadDuration.Seconds(), "starts/s")
		b.ReportMetric(float64(cpu.Microseconds())/float64(done), "core-us/start")
	}
}

// startProfile takes a CPU profile of a node for duration and writes it to the file named by
// OWNER_PROFILE. The returned channel gets the error, nil at once if the variable is not set.
func startProfile(b *testing.B, address string, duration time.Duration) <-chan error {
	done := make(chan error, 1)
	file := os.Getenv("OWNER_PROFILE")
	if file == "" {
		done <- nil
		return done
	}
	go func() {
		resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", address, int(duration.Seconds())))
		if err != nil {
			done <- err
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err == nil {
			err = os.WriteFile(file, data, 0o600)
		}
		done <- err
	}()
	return done
}

// processorTime returns the processor time that a process has used, read from /proc.
func processorTime(b *testing.B, pid int) time.Duration {
	const ticksPerS = 100
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * time.Second / ticksPerS
}

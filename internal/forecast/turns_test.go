package forecast_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// placeJob places a job of the pool on its first VM and returns the VM's ID.
func placeJob(t *testing.T, r *forecast.Run, service string, runTime time.Duration) string {
	t.Helper()
	svc := r.State.Services[service]
	vm := ""
	for id := range r.State.PoolVMs(service) {
		if vm == "" || id < vm {
			vm = id
		}
	}
	job := record.Subject{Kind: record.SubjectJob, Name: "long"}
	out := r.Append(job, record.JobSubmit{Service: service, Team: svc.Doc.Quotas[0].Team, MilliCores: 1000, MemoryMB: 1024, RunTime: runTime})
	require.Equal(t, ledger.Effective, out.Status, out.Reason)
	out = r.Append(job, record.JobPlace{Worker: vm, MilliCores: 1000, MemoryMB: 1024, Attempt: 1})
	require.Equal(t, ledger.Effective, out.Status, out.Reason)
	return vm
}

// returnedVMs counts the VMs that have completed their turn.
func returnedVMs(r *forecast.Run) int {
	n := 0
	for _, progress := range r.State.Waves["w"].VMs {
		if progress == ledger.WaveBack {
			n++
		}
	}
	return n
}

// A job runs on the VM whose turn would come first. With on_drain = "skip" the
// wave must maintain the other VMs, never drain that VM, and skip it with a reason
// at the deadline. With "wait" the VM's turn must be the last, and the drain's
// estimate must include the job.
func TestLongJobsSkipOrDelayTheTurn(t *testing.T) {
	t.Run("skip", func(t *testing.T) {
		r := startRun(t, "feldkamm", 0)
		jobVM := placeJob(t, r, "export", 24*time.Hour)
		startWave(t, r, 3*time.Hour, "export")
		r.AdvanceTo(r.Now.Add(2 * time.Hour))
		assert.Equal(t, 8, returnedVMs(r))
		assert.Equal(t, ledger.WaveRunning, r.State.Waves["w"].Status)
		for range 60 {
			r.AdvanceTo(r.Now.Add(time.Minute))
		}
		assert.Equal(t, ledger.WaveDone, r.State.Waves["w"].Status)
		assert.Contains(t, r.State.Waves["w"].Skips[jobVM], "may not be disturbed")
		assert.Zero(t, r.State.VMs[jobVM].Drains)
	})
	t.Run("wait", func(t *testing.T) {
		r := startRun(t, "feldkamm", 0)
		jobVM := placeJob(t, r, "conversion", 2*time.Hour)
		startWave(t, r, 24*time.Hour, "conversion")
		for r.State.VMs[jobVM].Drain == nil {
			r.AdvanceTo(r.Now.Add(time.Minute))
		}
		assert.Equal(t, 10, returnedVMs(r))
		assert.GreaterOrEqual(t, r.State.VMs[jobVM].Drain.Estimate, 90*time.Minute)
		r.AdvanceTo(r.Now.Add(2 * time.Hour))
		assert.Equal(t, ledger.WaveDone, r.State.Waves["w"].Status, "the wave must end once the job has ended")
	})
}

// Twelve turns of two minutes each, in racks that may be out together. With a day
// left a wave must leave one unit of max_unavailable for failures; with ten
// minutes left it must use all that the budget allows, and not more.
func TestDeadlineSetsParallelDrains(t *testing.T) {
	for deadline, want := range map[time.Duration]int{24 * time.Hour: 1, 10 * time.Minute: 2} {
		t.Run(fmt.Sprint(deadline), func(t *testing.T) {
			r := startRun(t, "ramcharan", 0)
			svc := r.State.Services["booking"]
			publish(t, r, "booking", strings.Replace(svc.Text, "one_domain = true", "one_domain = false", 1))
			startWave(t, r, deadline, "booking")
			maxShort := 0
			for r.State.Waves["w"].Status == ledger.WaveRunning {
				r.AdvanceTo(r.Now.Add(10 * time.Second))
				maxShort = max(maxShort, r.State.Unavailability("booking").Short)
			}
			assert.Equal(t, want, maxShort)
		})
	}
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// saturatedService is a service whose workers are full, with jobs that wait.
type saturatedService struct {
	*rig
	running        []scheduler.StartOrder
	lastExitNumber map[string]int64 // of each worker, how many it has listed
	jobCount       int
}

func newSaturatedService(t testing.TB, workers, waitingJobs int) *saturatedService {
	f := &saturatedService{rig: newRig(t), lastExitNumber: map[string]int64{}}
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("worker-%03d", i))
	}
	f.acceptStarts(f.syncWorkers(ids...))
	for range waitingJobs + workers {
		f.submitJob()
	}
	for range 50 {
		f.acceptStarts(f.step(10 * time.Millisecond).Starts)
	}
	return f
}

// submitJob submits a quick job of two steps.
func (f *saturatedService) submitJob() {
	f.jobCount++
	first := batchStep(8, 1800)
	second := first
	second.DependsOn = []int{0}
	f.submit(fmt.Sprintf("%016d", f.jobCount), first, second)
}

func (f *saturatedService) acceptStarts(starts []scheduler.StartOrder) {
	for _, s := range starts {
		f.answerStart(s, workload.WorkerOK)
	}
	f.running = append(f.running, starts...)
}

// completeOldestRun ends the oldest run and takes what is started in its place.
func (f *saturatedService) completeOldestRun() {
	oldest := f.running[0]
	f.running = f.running[1:]
	workerID := oldest.Worker.ID
	f.lastExitNumber[workerID]++
	report := exitReport(f.lastExitNumber[workerID], oldest, workload.ExitDone)
	for _, s := range f.running {
		if s.Worker.ID == workerID {
			report.Running = append(report.Running, workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
		}
	}
	f.answerPoll(workerID, f.now, report)
	f.acceptStarts(f.step(3 * time.Millisecond).Starts)
}

// planWork is what planning has cost so far.
func (f *saturatedService) planWork() int {
	return f.core.Counts.RankedJobs + f.core.Counts.PlacementChecks
}

// Callers see starts slow down the more jobs wait, beside workers that come free.
//
// A run ends and one of the waiting jobs' tasks is started in its place. If the owner ranks
// all of them for that, and looks for runs that could give way to each, a start costs as
// much as there are jobs waiting. A peak then leaves an owner that can only plan.
func TestCostOfAStartDoesNotGrowWithTheBacklog(t *testing.T) {
	const workers, starts = 20, 300
	costPerStart := func(waiting int) float64 {
		f := newSaturatedService(t, workers, waiting)
		before := f.planWork()
		for range starts {
			f.completeOldestRun()
		}
		return float64(f.planWork()-before) / starts
	}
	smallBacklog, largeBacklog := costPerStart(50), costPerStart(2000)
	assert.Less(t, largeBacklog, 3*smallBacklog, "jobs, workers and runs looked at for a start, with 50 jobs waiting and with 2,000")
}

// BenchmarkStartBesideABacklog measures an end and the start in its place, on 100
// workers, with more and more jobs waiting.
func BenchmarkStartBesideABacklog(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f := newSaturatedService(b, 100, waiting)
			b.ResetTimer()
			for range b.N {
				f.completeOldestRun()
			}
		})
	}
}

// A hundred jobs wait for a label that no worker has, and one with more work for
// nothing but room, which there is. It starts within two rankings, though a plan leaves
// a service alone after as many steps that found no room.
func TestUnplaceableJobsDoNotDelayAPlaceableOne(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	unplaceable := batchStep(1, 1000)
	unplaceable.RequiredLabel = "none has it"
	for i := range 100 {
		r.submit(fmt.Sprintf("%016d", i), unplaceable)
	}
	job := r.submit("0000000000000200", batchStep(1, 2000))
	var starts []scheduler.StartOrder
	for range 30 {
		starts = append(starts, r.step(10*time.Millisecond).Starts...)
	}
	if assert.Len(t, starts, 1) {
		assert.Equal(t, job, starts[0].Start.Task.Job)
	}
}

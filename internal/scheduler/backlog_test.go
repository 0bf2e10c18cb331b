package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// saturatedService is a service whose workers are full while jobs wait.
type saturatedService struct {
	*rig
	running          []scheduler.StartOrder
	lastExitSequence map[string]int64 // by worker
	jobCount         int
}

func newSaturatedService(t testing.TB, workers, waitingJobs int) *saturatedService {
	f := &saturatedService{rig: newRig(t), lastExitSequence: map[string]int64{}}
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

const tasksPerJob = 16

// submitJob submits a quick job of two steps.
func (f *saturatedService) submitJob() {
	f.jobCount++
	first := batchStep(tasksPerJob/2, 1800)
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

// completeOldestRun ends the oldest run and accepts the starts that follow.
func (f *saturatedService) completeOldestRun() {
	oldest := f.running[0]
	f.running = f.running[1:]
	workerID := oldest.Worker.ID
	f.lastExitSequence[workerID]++
	report := exitReport(f.lastExitSequence[workerID], oldest, workload.ExitDone)
	for _, s := range f.running {
		if s.Worker.ID == workerID {
			report.Running = append(report.Running, workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
		}
	}
	f.answerPoll(workerID, f.now, report)
	f.acceptStarts(f.step(3 * time.Millisecond).Starts)
}

// planWork returns the work of all plans so far: the sum of ranked jobs and placement checks.
func (f *saturatedService) planWork() int {
	return f.core.Counts.RankedJobs + f.core.Counts.PlacementChecks
}

// A run exits and a task of a waiting job starts in its place. If the owner ranked all waiting jobs
// for that and searched for preemptible runs for each, the cost of a start would grow with the
// backlog: starts would slow down although workers are free, and after a peak the owner would spend
// most of its time on plans.
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
	assert.Less(t, largeBacklog, 3*smallBacklog, "plan work per start with 2,000 jobs waiting must stay below three times that with 50")
}

// BenchmarkStartBesideABacklog measures an exit and the start that follows, with 100 workers and
// backlogs of several sizes.
func BenchmarkStartBesideABacklog(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f := newSaturatedService(b, 100, waiting)
			b.ResetTimer()
			for i := range b.N {
				if i%tasksPerJob == 0 {
					f.submitJob() // the backlog stays as long as it is
				}
				f.completeOldestRun()
			}
		})
	}
}

// A hundred jobs wait for a label that no worker has. A plan ends its search for a service after
// fewer steps without a placement, but a placeable job with more work must still start within two
// rankings.
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

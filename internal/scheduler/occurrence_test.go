package scheduler_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// schedule returns a job of four steps that repeats, the first time at a time.
func schedule(occurrences int, first time.Time) workload.Spec {
	spec := workload.Spec{Payload: "work", Repeat: occurrences, StartAtMS: first.UnixMilli(), IntervalMS: time.Minute.Milliseconds()}
	for i := range 4 {
		step := batchStep(1, 1000)
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// heapOf returns the memory that a core keeps of jobs with a spec, in bytes.
func heapOf(t *testing.T, jobs int, spec workload.Spec) int {
	r := newRig(t)
	r.syncWorkers("w-1")
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	for i := range jobs {
		r.core.AddJob(workload.JobID(rune('a'+i)), &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: r.now.UnixMilli(), Spec: spec})
	}
	r.stepFor(time.Second)
	r.core.ServiceLoads(r.now)
	kept := heap() - before
	runtime.KeepAlive(r)
	return kept
}

// Guards against an owner that exceeds its memory because a schedule costs as much as all its occurrences together: it
// must cost no more than one with few of them, whether they are due later or all at once.
func TestOccurrencesThatWaitCostNoMemory(t *testing.T) {
	const jobs, few, many = 16, 300, 10_000
	for name, first := range map[string]time.Time{"due tomorrow": historyStart.Add(24 * time.Hour), "due in the past": historyStart.Add(-30 * 24 * time.Hour)} {
		t.Run(name, func(t *testing.T) {
			assert.Less(t, heapOf(t, jobs, schedule(many, first)), 2*heapOf(t, jobs, schedule(few, first))+1<<20)
		})
	}
}

// runSchedule runs the tasks of a schedule on one worker and returns how often each task has run. After half of them
// another owner takes over, with the progress that was stored.
func runSchedule(t *testing.T, spec workload.Spec) map[workload.TaskKey]int {
	ran := map[workload.TaskKey]int{}
	submission := &workload.Submission{Queue: "quick", Service: "service", AcceptedAtMS: historyStart.UnixMilli(), Spec: spec}
	const id = workload.JobID("00000000000000a1")
	tasks := len(spec.Steps) * spec.Occurrences()
	var stored *workload.Progress
	r := newRig(t)
	for epoch, stopAt := range []int{tasks / 2, tasks} {
		next := &rig{t: t, now: r.now, epoch: r.epoch + int64(epoch)}
		next.core = scheduler.New(testSettings(next.epoch), next.now, nil, false)
		next.core.SetConfig(testConfig)
		next.core.AddJob(id, submission)
		if stored != nil {
			next.core.RestoreProgress(id, stored)
		}
		next.setWorkers("w-1")
		r = next
		sequence := int64(0)
		var exited []workload.RunExit
		for len(ran) < stopAt || len(exited) > 0 {
			orders := r.core.Step(r.now)
			if orders.Write != nil {
				for _, record := range orders.Write.Records {
					if record.Progress != nil {
						stored = record.Progress
					}
				}
				r.core.HandleWriteResult()
			}
			for _, s := range orders.Starts {
				require.Less(t, r.now.Sub(historyStart), 10*time.Minute)
				r.answerStart(s, workload.WorkerOK)
				if len(ran) < stopAt { // else the run is lost with its owner
					ran[s.Start.Task]++
					sequence++
					exited = append(exited, workload.RunExit{Sequence: sequence, Task: s.Start.Task, Run: s.Start.Run, Reason: workload.ExitDone})
				}
			}
			for _, p := range orders.Polls {
				for len(exited) > 0 && exited[0].Sequence <= p.Poll.AckedUpTo {
					exited = exited[1:]
				}
				r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: p.Poll.Token, SentAt: r.now, Extra: p.Extra, AckedUpTo: p.Poll.AckedUpTo, Report: workload.PollReport{Exited: exited}, Answer: workload.WorkerAnswer{ClockMS: r.clockMS("w-1")}}, r.now)
			}
			r.now = r.now.Add(5 * time.Millisecond)
			if r.now.Sub(historyStart) > 10*time.Minute {
				require.Fail(t, "the schedule stands still", "%d of %d tasks have run", len(ran), tasks)
			}
		}
	}
	r.stepFor(time.Second)
	state, _ := r.core.JobState(id)
	assert.Equal(t, workload.Completed, state)
	return ran
}

// Guards against occurrences that are forgotten, or run twice, since they are not in memory all the time: more are due
// at once than may wait, and the owner changes in between.
func TestEachOccurrenceRunsOnce(t *testing.T) {
	spec := schedule(1500, historyStart.Add(-30*24*time.Hour))
	ran := runSchedule(t, spec)
	assert.Len(t, ran, 4*1500)
	for task, n := range ran {
		assert.Equal(t, 1, n, task)
	}
}

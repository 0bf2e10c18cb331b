package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// fullService is a service whose workers are full, with jobs that wait.
type fullService struct {
	*rig
	running []scheduler.StartOrder
	ends    map[string]int64 // of each worker, how many it has listed
	jobs    int
}

func newFullService(t testing.TB, workers, waiting int) *fullService {
	f := &fullService{rig: newRig(t), ends: map[string]int64{}}
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("worker-%03d", i))
	}
	f.take(f.ready(ids...))
	for range waiting + workers {
		f.job()
	}
	for range 50 {
		f.take(f.step(10 * time.Millisecond).Starts)
	}
	return f
}

// job submits a quick job of two steps.
func (f *fullService) job() {
	f.jobs++
	first := batch(8, 1800)
	second := first
	second.DependsOn = []int{0}
	f.submit(fmt.Sprintf("%016d", f.jobs), first, second)
}

func (f *fullService) take(starts []scheduler.StartOrder) {
	for _, s := range starts {
		f.started(s, workload.WorkerOK)
	}
	f.running = append(f.running, starts...)
}

// endOne ends the oldest run and takes what is started in its place.
func (f *fullService) endOne() {
	oldest := f.running[0]
	f.running = f.running[1:]
	id := oldest.Worker.ID
	f.ends[id]++
	held := end(f.ends[id], oldest, workload.EndDone)
	for _, s := range f.running {
		if s.Worker.ID == id {
			held.Running = append(held.Running, workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100})
		}
	}
	f.held(id, f.now, held)
	f.take(f.step(3 * time.Millisecond).Starts)
}

// planWork is what planning has cost so far.
func (f *fullService) planWork() int { return f.core.Counts.Ranked + f.core.Counts.Looks }

// Callers see starts slow down the more jobs wait, beside workers that come free.
//
// A run ends and one of the waiting jobs' tasks is started in its place. If the owner ranks
// all of them for that, and looks for runs that could give way to each, a start costs as
// much as there are jobs waiting. A peak then leaves an owner that can only plan.
func TestCostOfAStartDoesNotGrowWithWhatWaits(t *testing.T) {
	const workers, starts = 20, 300
	cost := func(waiting int) float64 {
		f := newFullService(t, workers, waiting)
		before := f.planWork()
		for range starts {
			f.endOne()
		}
		return float64(f.planWork()-before) / starts
	}
	few, many := cost(50), cost(2000)
	assert.Less(t, many, 3*few, "jobs, workers and runs looked at for a start, with 50 jobs waiting and with 2,000")
}

// BenchmarkStartBesideABacklog measures an end and the start in its place, on 100
// workers, with more and more jobs waiting.
func BenchmarkStartBesideABacklog(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f := newFullService(b, 100, waiting)
			b.ResetTimer()
			for range b.N {
				f.endOne()
			}
		})
	}
}

// A hundred jobs wait for a label that no worker has, and one with more work for
// nothing but room, which there is. It starts within two rankings, though a plan leaves
// a service alone after as many steps that found no room.
func TestJobStartsBehindManyThatFitNowhere(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	hopeless := batch(1, 1000)
	hopeless.Label = "none has it"
	for i := range 100 {
		r.submit(fmt.Sprintf("%016d", i), hopeless)
	}
	job := r.submit("0000000000000200", batch(1, 2000))
	var starts []scheduler.StartOrder
	for range 30 {
		starts = append(starts, r.step(10*time.Millisecond).Starts...)
	}
	if assert.Len(t, starts, 1) {
		assert.Equal(t, job, starts[0].Start.Task.Job)
	}
}

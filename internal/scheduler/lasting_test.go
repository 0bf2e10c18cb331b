package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Lasting tasks fail by themselves now and then, and such failures say nothing of
// their worker: however many there were, it goes on getting them.
func TestLastingTasksAreStartedAgainWhereverTheyFailed(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	lasting := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true}
	r.submit("0000000000000001", lasting)
	r.submit("0000000000000002", lasting)
	n := int64(0)
	for range 8 {
		starts := r.step(400 * time.Millisecond).Starts
		require.NotEmpty(t, starts)
		for _, s := range starts {
			r.started(s, workload.WorkerOK)
		}
		r.step(3 * time.Second)
		for _, s := range starts {
			n++
			r.held("w-1", r.now, end(n, s, workload.EndFailed))
		}
	}
}

// A VM is to be emptied, and one of two lasting tasks may be missing. They leave
// one after the other: the second one goes only when the first is fully at work
// elsewhere.
func TestEmptyingKeepsTheBudgetOfLastingTasks(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	r.submit("0000000000000001", workload.Step{Count: 2, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, MayMiss: 1})
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	home := starts[0].Worker.ID
	require.Equal(t, home, starts[1].Worker.ID, "lasting tasks lie together")
	running := func(s scheduler.StartOrder, percent int) workload.RunState {
		return workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}
	}
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	r.held(home, r.now.Add(time.Millisecond), workload.Held{Running: []workload.RunState{running(starts[0], 100), running(starts[1], 100)}})
	assert.Equal(t, workload.Occupied, r.core.Evacuate(home, r.now))
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	stopped, left := starts[0], starts[1]
	if stops[0].Task == starts[1].Start.Task {
		stopped, left = left, stopped
	}
	ended := end(1, stopped, workload.EndStopped)
	ended.Running = []workload.RunState{running(left, 100)}
	r.held(home, r.now.Add(time.Millisecond), ended)
	r.core.Evacuate(home, r.now)
	moved := r.step(20 * time.Millisecond)
	require.Len(t, moved.Starts, 1)
	require.NotEqual(t, home, moved.Starts[0].Worker.ID)
	r.started(moved.Starts[0], workload.WorkerOK)
	r.core.Evacuate(home, r.now)
	assert.Empty(t, r.step(20*time.Millisecond).Stops, "the first is not at work yet")
	r.held(moved.Starts[0].Worker.ID, r.now.Add(time.Millisecond), workload.Held{Running: []workload.RunState{running(moved.Starts[0], 100)}})
	r.core.Evacuate(home, r.now)
	assert.Len(t, r.step(20*time.Millisecond).Stops, 1)
}

// A serving task is over its target because of a filling one beside it. The
// filling one is slowed down, and let go again once the tail is well below.
func TestFillingTasksAreSlowedBesideServingOnes(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	serve := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, TargetMS: 100}
	fill := workload.Step{Count: 1, Need: workload.Resources{CPU: 4000, MemoryMB: 100}, Lasting: true, Fills: true}
	r.submit("0000000000000001", serve, fill)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	poll := func(tail float64) []scheduler.PaceOrder {
		var rows []workload.RunState
		for _, s := range starts {
			row := workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}
			if s.Start.Task.Step == 0 {
				row.Load = tail
			}
			rows = append(rows, row)
		}
		r.held("w-1", r.now.Add(time.Millisecond), workload.Held{Running: rows})
		paces := r.step(600 * time.Millisecond).Paces
		for _, p := range paces {
			r.core.Paced(scheduler.OrderResult{Worker: "w-1", Task: p.Task, Run: p.Run, Token: p.Token, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
		}
		return paces
	}
	paces := poll(150)
	require.Len(t, paces, 1)
	assert.Equal(t, 50, paces[0].Percent)
	assert.Equal(t, 1, paces[0].Task.Step)
	paces = poll(120)
	require.Len(t, paces, 1)
	assert.Equal(t, 25, paces[0].Percent)
	paces = poll(30)
	require.Len(t, paces, 1)
	assert.Equal(t, 40, paces[0].Percent)
}

// A service is full of short tasks, and a large lasting one has to start again.
// Each bit of room that comes free would go to short ones for ever: room is kept
// for it on one worker until it fits.
func TestLargeLastingTaskGetsRoomOnAFullService(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	n := 0
	fill := func() {
		n++
		r.submit("00000000000001"+string(rune('0'+n/10))+string(rune('0'+n%10)), batch(8, 1000))
	}
	running := map[string][]scheduler.StartOrder{}
	number := map[string]int64{}
	step := func() (lasting bool) {
		for _, s := range r.step(100 * time.Millisecond).Starts {
			r.started(s, workload.WorkerOK)
			lasting = lasting || s.Start.Task.Job == "0000000000000999"
			running[s.Worker.ID] = append(running[s.Worker.ID], s)
		}
		return lasting
	}
	fill()
	fill()
	fill()
	step()
	r.submit("0000000000000999", workload.Step{Count: 1, Need: workload.Resources{CPU: 6000, MemoryMB: 100}, Lasting: true})
	for round := range 40 {
		if step() {
			return
		}
		// One task ends on each worker in turn, and more jobs come.
		worker := []string{"w-1", "w-2"}[round%2]
		if len(running[worker]) == 0 {
			continue
		}
		done := running[worker][0]
		running[worker] = running[worker][1:]
		number[worker]++
		var held workload.Held
		for _, s := range running[worker] {
			held.Running = append(held.Running, workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100})
		}
		held.Finished = end(number[worker], done, workload.EndDone).Finished
		r.held(worker, r.now.Add(time.Millisecond), held)
		if round%3 == 0 {
			fill()
		}
	}
	t.Fatal("the lasting task never got room")
}

// A wave of maintenance reaches a VM whose worker got a lasting task from another VM of
// the same wave a moment before: the task moves twice, and a step bears only one move
// after the other. Lasting tasks lie together, but not on a worker that is about to leave,
// unless it is the only one; and not for longer than the word of it is repeated.
func TestLastingTasksAvoidWorkersThatAreAboutToLeave(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	lasting := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, MayMiss: 1}
	running := map[string][]workload.RunState{}
	place := func(id string) string {
		for _, w := range []string{"w-1", "w-2"} {
			r.held(w, r.now, workload.Held{Running: running[w]})
		}
		r.submit(id, lasting)
		starts := r.step(20 * time.Millisecond).Starts
		require.Len(t, starts, 1)
		s := starts[0]
		r.started(s, workload.WorkerOK)
		running[s.Worker.ID] = append(running[s.Worker.ID], workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100})
		return s.Worker.ID
	}
	home := place("0000000000000001")
	r.core.SetLeaving("service", []string{home}, r.now)
	other := place("0000000000000002")
	assert.NotEqual(t, home, other)
	r.core.SetLeaving("service", []string{home, other}, r.now)
	place("0000000000000003")
	r.core.SetLeaving("another", []string{other}, r.now)
	r.now = r.now.Add(2 * time.Second)
	r.core.SetLeaving("service", []string{other}, r.now)
	assert.Equal(t, home, place("0000000000000004"))
}

// A caller's step misses two of its lasting tasks at once, though it may miss one.
//
// A VM is to be emptied, and the stop of its task is lost on the way. Meanwhile the worker
// of another task of the step leaves, which nothing can put off. The stop is sent again
// once its time-out is over: the worker lists the task as running. It must wait until the
// other task is back at work elsewhere.
func TestStopThatWasLostIsNotSentAgainWhileAnotherTaskIsAway(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2", "w-3")
	r.submit("0000000000000001", workload.Step{Count: 2, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, MayMiss: 1, MaxPerWorker: 1})
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	first, second := starts[0], starts[1]
	works := func(s scheduler.StartOrder) workload.Held {
		return workload.Held{Running: []workload.RunState{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}}}
	}
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
		r.held(s.Worker.ID, r.now.Add(time.Millisecond), works(s))
	}
	r.core.Evacuate(first.Worker.ID, r.now)
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)

	list := []workload.Worker{first.Worker, second.Worker}
	list[1].Draining = true
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		if id != first.Worker.ID && id != second.Worker.ID {
			list = append(list, workload.Worker{ID: id, Service: "service", Address: id, Labels: first.Worker.Labels, Capacity: first.Worker.Capacity})
		}
	}
	r.core.SetWorkers(list, r.now)
	require.Len(t, r.step(20*time.Millisecond).Stops, 1, "the other worker leaves")
	r.core.Stopped(scheduler.OrderResult{Worker: first.Worker.ID, Task: stops[0].Task, Run: stops[0].Run, Token: stops[0].Token, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, r.now)
	r.now = r.now.Add(time.Second)
	again := func() int {
		r.core.Evacuate(first.Worker.ID, r.now)
		r.held(first.Worker.ID, r.now, works(first))
		n := 0
		for _, s := range r.step(20 * time.Millisecond).Stops {
			if s.Task == first.Start.Task {
				n++
			}
		}
		return n
	}
	assert.Zero(t, again(), "the other one is away")

	r.held(second.Worker.ID, r.now.Add(time.Millisecond), end(1, second, workload.EndStopped))
	moved := r.step(20 * time.Millisecond).Starts
	require.Len(t, moved, 1)
	r.started(moved[0], workload.WorkerOK)
	assert.Zero(t, again(), "the other one is not at work yet")
	r.held(moved[0].Worker.ID, r.now.Add(time.Millisecond), works(moved[0]))
	assert.Equal(t, 1, again())
}
